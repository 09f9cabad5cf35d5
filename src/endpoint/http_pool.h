/** Pool of persistent HTTP connections to one address. */
#pragma once

#include "endpoint/http_connection.h"

#include <deque>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Tanagertally {

/**
 * Pool of HTTP connections to one address, used by the endpoint and the platform adapters.
 *
 * A connection carries one request at a time. The connection that became idle last is reused first. When all connections are
 * busy, requests wait in a bounded queue.
 * Thread safety: executor() may be called from any thread; all other methods are called on the strand that it returns.
 */
class HttpPool : public std::enable_shared_from_this<HttpPool>
{
    /** Restricts the public constructor to create(). */
    struct Passkey {
    };

public:
    /**
     * Make a pool. Connections are opened on demand.
     * @param io Runs the connections. Any number of threads may run it.
     * @param serverAddress Address of the server.
     * @param limits Limits of the pool and its connections.
     */
    static std::shared_ptr<HttpPool> create(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint serverAddress,
                                            HttpPoolOptions limits);

    HttpPool(Passkey, boost::asio::io_context &io, boost::asio::ip::tcp::endpoint serverAddress, HttpPoolOptions limits);

    /** @return The strand that runs all handlers of this pool. */
    const HttpStrand &executor() const
    {
        return this->strand;
    }

    /** Send a request, or queue it until a connection is free. Its handler is called exactly once, possibly from within this call. */
    void start(HttpCall call);

    /**
     * Send a request on a new connection that is closed afterwards. The connection does not count against the limit.
     * @pre The request has a deadline.
     */
    void startOnNewConnection(HttpCall call);

    /**
     * Abort a request. A queued request ends as NotSent; a request in flight ends as HttpConnection::abort() describes. No effect
     * on a request that has ended.
     * @param id Identifier of the request.
     * @param reason Error text of its result.
     */
    void abort(HttpCallId id, std::string_view reason);

    /** Change the address for new connections and close idle ones; requests in flight finish. */
    void setAddress(boost::asio::ip::tcp::endpoint newAddress);

    /** Close idle connections, end queued requests as NotSent and reject new ones; requests in flight finish. */
    void close();

private:
    /** A connection without a request. */
    struct IdleConnection {
        std::shared_ptr<HttpConnection> connection;
        SteadyTimePoint idleSince; ///< Time at which its last response was complete.
    };

    void sendOn(const std::shared_ptr<HttpConnection> &connection, HttpCall call);
    void returnConnection(const std::shared_ptr<HttpConnection> &connection, const boost::asio::ip::tcp::endpoint &connectedAddress);
    void startNextWaiting();
    std::shared_ptr<HttpConnection> acquireConnection(const HttpCall &call);
    std::shared_ptr<HttpConnection> acquireIdle(std::optional<Duration> maxIdle);
    std::shared_ptr<HttpConnection> openConnection();
    void enqueue(HttpCall call);
    void closeIdle();
    void sweepIdle();
    void scheduleSweep();
    void expireWaiting();
    void scheduleExpiry();

    HttpStrand strand; ///< Runs all handlers of the pool and its connections.
    boost::asio::ip::tcp::endpoint address; ///< Address for new connections.
    HttpPoolOptions options; ///< Limits of the pool and its connections.
    std::vector<IdleConnection> idle; ///< Idle connections in the order in which they became idle.
    std::deque<HttpCall> waiting; ///< Requests that wait for a connection, first in first out.
    std::unordered_map<HttpCallId, std::weak_ptr<HttpConnection>> inFlight; ///< Connections of the requests in flight.
    std::uint32_t openConnections = 0; ///< Connections that count against the limit.
    boost::asio::steady_timer sweepTimer; ///< Time of the next sweepIdle().
    boost::asio::steady_timer expiryTimer; ///< Earliest deadline of a waiting request.
    bool sweepScheduled = false; ///< Whether sweepTimer is running.
    bool closed = false; ///< Whether close() was called; new requests are rejected.
};

} // namespace Tanagertally
