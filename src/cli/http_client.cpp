#include "cli/http_client.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace Tanagertally {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::chrono::seconds ConnectTimeout(3); ///< Timeout of opening a connection.
constexpr std::uint64_t MaxAnswerBytes = 256ULL * 1024 * 1024; ///< Maximum length of a reply body.
constexpr std::string_view HttpScheme = "http://";

http::request<http::string_body> toRequest(const ServerAddress &server, const HttpCall &call)
{
    http::request<http::string_body> request(http::string_to_verb(call.method), call.target, 11);
    request.set(http::field::host, server.host + ":" + server.port);
    request.set(http::field::user_agent, "tanagertally");
    request.set(http::field::connection, "close");
    for (const HttpHeader &header : call.headers) {
        request.set(header.name, header.value);
    }
    if (!call.body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

/** The connection of one call. Its operations are asynchronous on a private io_context because synchronous ones have no timeout. */
class ClientConnection
{
public:
    ClientConnection()
        : stream(this->io)
    {
    }

    error_code connect(const ServerAddress &server)
    {
        error_code result;
        boost::asio::ip::tcp::resolver resolver(this->io);
        const auto endpoints = resolver.resolve(server.host, server.port, result);
        if (result) {
            return result;
        }
        this->stream.expires_after(ConnectTimeout);
        this->stream.async_connect(endpoints, [&](const error_code &error, const auto & /*endpoint*/) { result = error; });
        this->run();
        return result;
    }

    /** @return The error, if any; `written` is set to the number of bytes passed to the operating system. */
    error_code write(const http::request<http::string_body> &request, Duration timeout, std::size_t &written)
    {
        error_code result;
        this->stream.expires_after(timeout);
        http::async_write(this->stream, request, [&](const error_code &error, std::size_t bytes) {
            result = error;
            written = bytes;
        });
        this->run();
        return result;
    }

    error_code read(http::response_parser<http::string_body> &parser)
    {
        error_code result;
        boost::beast::flat_buffer buffer;
        http::async_read(this->stream, buffer, parser, [&](const error_code &error, std::size_t /*bytes*/) { result = error; });
        this->run();
        return result;
    }

private:
    void run()
    {
        this->io.restart();
        this->io.run();
    }

    boost::asio::io_context io; ///< Run to completion by each operation.
    boost::beast::tcp_stream stream;
};

} // namespace

Result<ServerAddress> parseServerAddress(std::string_view text)
{
    std::string_view rest = text;
    if (rest.starts_with(HttpScheme)) {
        rest.remove_prefix(HttpScheme.size());
    }
    if (rest.ends_with('/')) {
        rest.remove_suffix(1);
    }
    const std::size_t colon = rest.rfind(':');
    const bool hasHostAndPort = colon != std::string_view::npos && colon > 0 && colon + 1 < rest.size();
    const bool hasNumericPort = hasHostAndPort && rest.substr(colon + 1).find_first_not_of("0123456789") == std::string_view::npos;
    if (!hasNumericPort) {
        return makeError(ErrorCode::BadInput, "\"" + std::string(text) + "\" is not a server address of the form IP:port", "--server");
    }
    return ServerAddress{std::string(rest.substr(0, colon)), std::string(rest.substr(colon + 1))};
}

HttpCallResult sendRequest(const ServerAddress &server, const HttpCall &call)
{
    ClientConnection connection;
    const error_code connectError = connection.connect(server);
    if (connectError) {
        return HttpFailure{false, false, "can't connect to " + server.host + ":" + server.port + ": " + connectError.message()};
    }
    std::size_t written = 0;
    const error_code writeError = connection.write(toRequest(server, call), call.timeout, written);
    // The reply is read even if writing failed: a server may refuse a request before it has read all of it.
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    const error_code readError = connection.read(parser);
    if (readError) {
        const error_code &firstError = writeError ? writeError : readError;
        return HttpFailure{written > 0, firstError == boost::beast::error::timeout, "the connection was lost: " + firstError.message()};
    }
    return HttpAnswer{parser.get().result_int(), std::move(parser.get().body())};
}

} // namespace Tanagertally
