/** Requests and results of the HTTP client that the endpoint and the platform adapters share. */
#pragma once

#include "blackboard/job_type.h"
#include "core/strong_type.h"
#include "core/time_type.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional/optional.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace Tanagertally {

using HttpStrand = boost::asio::strand<boost::asio::io_context::executor_type>; ///< Executor that serializes the handlers of one pool.
using HttpSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, HttpStrand>; ///< TCP socket whose handlers run on a strand.
using SteadyTimePoint = std::chrono::steady_clock::time_point; ///< Time point of the steady clock.

/** BodyWriter for Beast that serializes a Payload as one buffer without copying it. */
class PayloadWriter
{
public:
    using const_buffers_type = boost::asio::const_buffer; ///< Buffer that holds the whole body.

    template<bool IsRequest, typename Fields>
    explicit PayloadWriter(const boost::beast::http::header<IsRequest, Fields> &, const Payload &content)
        : body(content)
    {
    }
    void init(boost::beast::error_code &error)
    {
        error = {};
    }
    boost::optional<std::pair<const_buffers_type, bool>> get(boost::beast::error_code &error)
    {
        error = {};
        if (!this->body) {
            return boost::none;
        }
        return std::pair(const_buffers_type(this->body->data(), this->body->size()), false);
    }

private:
    const Payload &body; ///< Owned by the message.
};

/** Beast Body type that holds a Payload; a null payload is an empty body. */
struct PayloadBody {
    using value_type = Payload; ///< Type of a message's body() member.
    using writer = PayloadWriter; ///< Serializer of the body.

    /** @return Length of the body in bytes. */
    static std::uint64_t size(const value_type &body)
    {
        return body ? body->size() : 0;
    }
};

using HttpClientRequest = boost::beast::http::request<PayloadBody>; ///< Request to send.
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>; ///< Response as received.

/** Delivery status of a request. */
enum class Delivery : std::uint8_t {
    NotSent, ///< The kernel accepted no byte of the request.
    Lost, ///< Part of the request may have been delivered, and no complete response was received.
    Answered, ///< A complete response was received.
};

/** Result of a request. */
struct HttpResult {
    Delivery delivery = Delivery::NotSent; ///< Delivery status of the request.
    HttpResponse answer; ///< The response; valid only if `delivery` is Answered.
    std::string error; ///< Reason for the missing response; empty if there is one.
    Duration roundTrip{}; ///< Time from the start of writing the request to the end of the response; zero without a response.
};

using HttpResultHandler = std::function<void(HttpResult)>; ///< Receives the result of one request.
using HttpCallId = StrongInt<struct HttpCallIdTag>; ///< Identifies a request to a pool; assigned by the caller.

/** Request to a connection pool. */
struct HttpCall {
    HttpCallId id; ///< Unique among the unfinished requests of the pool.
    HttpClientRequest request;
    std::optional<Duration> maxIdle; ///< Longest idle time of a reused connection; unset for no limit.
    std::optional<SteadyTimePoint> deadline; ///< Time at which the request is aborted; unset for no limit.
    Duration progressTime{}; ///< Each part of the body that arrives moves the deadline to at least this much later; 0 for a fixed one.
    HttpResultHandler done; ///< Called exactly once with the result, on the strand of the pool.
};

/** Limits of one connection. */
struct HttpConnectionOptions {
    Duration connectTimeout = std::chrono::milliseconds(500); ///< Time after which connecting fails.
    std::size_t maxAnswerBytes = std::size_t(1) << 20; ///< Limit of the body of a response.
    std::size_t readBufferBytes = 2'048; ///< Size of the read buffer, and so the most that is read in one turn of the event loop.
};

/** Limits of one pool. */
struct HttpPoolOptions {
    HttpConnectionOptions connection; ///< Limits of each connection.
    std::uint32_t maxConnections = 60; ///< Limit of open connections, idle ones included.
    std::uint32_t maxWaiting = 256; ///< Limit of requests that wait for a connection.
    Duration idleTimeout = std::chrono::seconds(60); ///< Time after which an idle connection is closed.
};

} // namespace Tanagertally
