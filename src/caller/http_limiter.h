/** Connection limits and request rate limit of one listener. */
#pragma once

#include "caller/http_type.h"

#include <boost/asio/ip/address.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace Tanagertally {

/**
 * Limits the connections of one listener in total and per remote address, and the request rate per remote address by a token
 * bucket.
 * Thread safety: all methods may be called from any thread.
 */
class HttpLimiter : public std::enable_shared_from_this<HttpLimiter>
{
public:
    /** Counts one open connection until it is destroyed. */
    class Permit
    {
    public:
        /** Creates the permit of a connection that is already counted. */
        Permit(std::shared_ptr<HttpLimiter> countingLimiter, boost::asio::ip::address remoteAddress);
        ~Permit();
        Permit(Permit &&other) noexcept = default;
        Permit &operator=(Permit &&other) = delete;
        Permit(const Permit &) = delete;
        Permit &operator=(const Permit &) = delete;

    private:
        std::shared_ptr<HttpLimiter> limiter; ///< Limiter that counts the connection; null once moved from.
        boost::asio::ip::address remote; ///< Remote IP address of the connection.
    };

    /** Permit of a connection. A connection over a limit also gets a refusal to send before it is closed. */
    struct Admission {
        Permit permit; ///< Counts the connection while it is open.
        std::optional<HttpRefusal> refusal; ///< Set if the connection is over a limit: it gets this reply and is closed.
    };

    /** Creates a limiter with the limits of a listener. */
    explicit HttpLimiter(const HttpLimits &listenerLimits);

    /**
     * Counts a new connection.
     * @param remote Remote IP address of the connection.
     * @return Its permit, or nothing if the connection must be closed at once without a reply.
     */
    std::optional<Admission> admitConnection(const boost::asio::ip::address &remote);

    /**
     * Counts a request against the rate limit of its remote address.
     * @return Whether the request is within the limit.
     */
    bool admitRequest(const boost::asio::ip::address &remote, std::chrono::steady_clock::time_point now);

private:
    /** Token bucket of one remote address. */
    struct Bucket {
        double tokens = 0; ///< Requests that may be sent at once, as of `filledAt`.
        std::chrono::steady_clock::time_point filledAt; ///< Time of the last refill.
    };

    void releaseConnection(const boost::asio::ip::address &remote);
    void dropFullBuckets(std::chrono::steady_clock::time_point now);

    HttpLimits limits; ///< Limits of the listener.
    std::mutex mutex; ///< Guards all members below.
    std::size_t connections = 0; ///< Open connections, those over a limit included.
    std::map<boost::asio::ip::address, std::size_t> connectionsByAddress; ///< Open connections per remote address; none is 0.
    std::map<boost::asio::ip::address, Bucket> buckets; ///< Buckets per remote address; an address without a bucket has a full one.
};

} // namespace Tanagertally
