/** One server side HTTP/1.1 connection, which can be closed or fall silent at any moment. */
#pragma once

#include "http_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <atomic>
#include <optional>

namespace Tanagertally::Standins {

/**
 * One connection; it serves one request at a time.
 * Thread safety: methods run on the connection's strand, but for those marked "any thread".
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    /**
     * Take over an accepted socket.
     * @param socket Socket whose executor is a strand.
     * @param handlers What to do with requests.
     * @param closed Called once, when the connection closes.
     */
    HttpConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<const HttpHandlers> handlers, std::function<void()> closed);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /** Begin to read. Any thread, once. */
    void start();

    /** @return The request being served. @pre One is being served. */
    const HttpRequest &request() const;

    /** @return A header field of the request being served; empty if it has none. */
    std::string header(std::string_view name) const;

    /** Answer the request being served; nothing is written if the connection is closed or silent. */
    void reply(HttpReply reply);

    /** Close the connection without an answer. */
    void drop();

    /** Never answer the request being served nor a later one; the connection goes on to accept bytes. */
    void swallow();

    /** Make the connection silent: it accepts bytes and never answers. Any thread. */
    void silence();

    /** Close the connection. Any thread. */
    void close();

    /** Call a function on the strand after a time, also if the connection is closed by then. */
    void later(Duration delay, std::function<void()> function);

    /** Call a function on the strand. Any thread. */
    void post(std::function<void()> function);

    /** @return Whether the connection is silent. Any thread. */
    bool isSilent() const;

    std::string client; ///< Name of the client if it gave one; on the strand only.

private:
    void read();
    void watch();
    void clientMayHaveClosed(std::uint64_t served);
    void shut();

    boost::asio::ip::tcp::socket socket; ///< The socket.
    std::shared_ptr<const HttpHandlers> handlers; ///< What to do with requests.
    std::function<void()> closed; ///< Told at the end.
    boost::beast::flat_buffer buffer; ///< Bytes read ahead.
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser; ///< Parser of the present request.
    HttpRequest present; ///< Request being served.
    boost::beast::http::response<boost::beast::http::string_body> response; ///< Answer being written.
    std::uint64_t requests = 0; ///< Requests read.
    bool serving = false; ///< Whether a request is being served.
    bool open = true; ///< Whether the socket is open.
    std::atomic<bool> silent = false; ///< Whether nothing is answered any more.
};

} // namespace Tanagertally::Standins
