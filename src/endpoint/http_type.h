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

using HttpStrand = boost::asio::strand<boost::asio::io_context::executor_type>; ///< Serializes the handlers of one pool.
using HttpSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, HttpStrand>; ///< Socket on such a strand.
using SteadyTimePoint = std::chrono::steady_clock::time_point; ///< An instant on the steady clock.

/** Hands a Payload to Beast's serializer as one buffer, without copying it. */
class PayloadWriter
{
public:
    using const_buffers_type = boost::asio::const_buffer; ///< One buffer holds the whole body.

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

/** Beast body of a message that holds a Payload; a null payload is an empty body. */
struct PayloadBody {
    using value_type = Payload; ///< What a message of this body holds.
    using writer = PayloadWriter; ///< Serializes it.

    /** @return Length of the body in bytes. */
    static std::uint64_t size(const value_type &body)
    {
        return body ? body->size() : 0;
    }
};

using HttpClientRequest = boost::beast::http::request<PayloadBody>; ///< A request to send.
using HttpAnswer = boost::beast::http::response<boost::beast::http::string_body>; ///< An answer as received.

/** What is known about the delivery of a request. */
enum class Delivery : std::uint8_t {
    NotSent, ///< No byte of it was handed to the kernel.
    Lost, ///< A byte of it may have been delivered, and no whole answer came.
    Answered, ///< A whole answer came.
};

/** How a request ended. */
struct HttpResult {
    Delivery delivery = Delivery::NotSent; ///< What is known about its delivery.
    HttpAnswer answer; ///< The answer; meaningless unless answered.
    std::string error; ///< Why there is no answer; empty if there is one.
    Duration roundTrip{}; ///< Time from writing the request to the end of the answer.
};

using HttpResultHandler = std::function<void(HttpResult)>; ///< Takes the result of one request.
using HttpCallId = StrongInt<struct HttpCallIdTag>; ///< A request to a pool, numbered by the pool's user.

/** A request to a pool. */
struct HttpCall {
    HttpCallId id; ///< Unique among the pool's unfinished requests.
    HttpClientRequest request; ///< What to send.
    std::optional<Duration> maxIdle; ///< Use no connection that has been idle for longer; unset for any.
    std::optional<SteadyTimePoint> deadline; ///< When the request is given up; unset for never.
    HttpResultHandler done; ///< Called exactly once, on the pool's strand.
};

/** Limits of one connection. */
struct HttpConnectionOptions {
    Duration connectTimeout = std::chrono::milliseconds(500); ///< Time after which connecting is given up.
    std::size_t maxAnswerBytes = std::size_t(1) << 20; ///< Longest body of an answer.
};

/** Limits of one pool. */
struct HttpPoolOptions {
    HttpConnectionOptions connection; ///< Limits of each connection.
    std::uint32_t maxConnections = 60; ///< Most connections, idle ones included.
    std::uint32_t maxWaiting = 256; ///< Most requests that wait for a connection.
    Duration idleTimeout = std::chrono::seconds(60); ///< Time after which an idle connection is closed.
};

} // namespace Tanagertally
