/** Persistent connections to one address, one request at a time on each. */
#pragma once

#include "endpoint/http_connection.h"

#include <deque>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Tanagertally {

/**
 * Pool of connections to one address, used by the endpoint and the platform adapters.
 *
 * The connection that became idle last is reused first. When all connections are busy, requests wait in a bounded queue.
 * Thread safety: executor() may be called from any thread; all other methods are called on the strand that it returns.
 */
class HttpPool : public std::enable_shared_from_this<HttpPool>
{
    /** Keeps the constructor to create(). */
    struct Passkey {
    };

public:
    /**
     * Make a pool; connections are opened as they are needed.
     * @param io Runs the connections; by any number of threads.
     * @param peer Where to connect.
     * @param limits Limits of the pool and its connections.
     */
    static std::shared_ptr<HttpPool> create(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint peer, HttpPoolOptions limits);

    HttpPool(Passkey, boost::asio::io_context &io, boost::asio::ip::tcp::endpoint peer, HttpPoolOptions limits);

    /** @return The strand that everything in this pool runs on. */
    const HttpStrand &executor() const
    {
        return this->strand;
    }

    /** Send a request, or let it wait for a connection. Its handler is called exactly once, maybe from within this call. */
    void start(HttpCall call);

    /**
     * Send a request on a new connection of its own, which is closed afterwards.
     * @pre It has a deadline.
     */
    void startAlone(HttpCall call);

    /**
     * Give up a request: its connection is closed and its handler called by the evidence; no effect if it has ended.
     * @param id The request.
     * @param reason Error text of its result.
     */
    void abort(HttpCallId id, std::string_view reason);

    /** Connect to another address from now on; idle connections close, requests in flight finish. */
    void setAddress(boost::asio::ip::tcp::endpoint newAddress);

    /** Close idle connections, end waiting requests and start nothing any more; requests in flight finish. */
    void close();

private:
    /** A connection without a request. */
    struct IdleConnection {
        std::shared_ptr<HttpConnection> connection; ///< The connection.
        SteadyTimePoint since; ///< When its last answer came.
    };

    void run(const std::shared_ptr<HttpConnection> &connection, HttpCall call);
    void release(const std::shared_ptr<HttpConnection> &connection, const boost::asio::ip::tcp::endpoint &openedTo);
    void startWaiting();
    std::shared_ptr<HttpConnection> connectionFor(const HttpCall &call);
    std::shared_ptr<HttpConnection> takeIdle(std::optional<Duration> maxIdle);
    std::shared_ptr<HttpConnection> openConnection();
    void enqueue(HttpCall call);
    void closeIdle();
    void sweepIdle();
    void scheduleSweep();
    void expireWaiting();
    void scheduleExpiry();

    HttpStrand strand; ///< Everything runs on it.
    boost::asio::ip::tcp::endpoint address; ///< Where to connect.
    HttpPoolOptions options; ///< Limits.
    std::vector<IdleConnection> idle; ///< Idle connections, the latest at the back.
    std::deque<HttpCall> waiting; ///< Requests that wait for a connection, in order.
    std::unordered_map<HttpCallId, std::weak_ptr<HttpConnection>> inFlight; ///< Connection of each request in flight.
    std::uint32_t openConnections = 0; ///< Connections that count against the limit.
    boost::asio::steady_timer sweepTimer; ///< Next look at the idle connections.
    boost::asio::steady_timer expiryTimer; ///< Earliest deadline of a waiting request.
    bool sweepScheduled = false; ///< Whether the sweep timer runs.
    bool closed = false; ///< Whether nothing is started any more.
};

} // namespace Tanagertally
