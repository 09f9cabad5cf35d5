/** Admission of connections and requests at one listener. */
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
 * Counts the connections of one listener in all and by remote address, and meters requests by remote address.
 * Thread safety: all methods may be called from any thread.
 */
class HttpGate : public std::enable_shared_from_this<HttpGate>
{
public:
    /** The place of one open connection, given up when it is destroyed. */
    class Place
    {
    public:
        /** Take a place that has been counted already. */
        Place(std::shared_ptr<HttpGate> countingGate, boost::asio::ip::address remoteAddress);
        ~Place();
        Place(Place &&other) noexcept = default;
        Place &operator=(Place &&other) = delete;
        Place(const Place &) = delete;
        Place &operator=(const Place &) = delete;

    private:
        std::shared_ptr<HttpGate> gate; ///< Where it is counted; null once moved from.
        boost::asio::ip::address remote; ///< Remote address of the connection.
    };

    /** A connection's place and, if it is one too many, the refusal that it gets before it is closed. */
    struct Admission {
        Place place; ///< Its place.
        std::optional<HttpRefusal> refusal; ///< Set if the connection is only let in to be refused.
    };

    /** Make a gate with the limits of a listener. */
    explicit HttpGate(const HttpLimits &listenerLimits);

    /**
     * Count a new connection.
     * @param remote Its remote address.
     * @return Its place, or nothing if the connection has to be closed at once without a reply.
     */
    std::optional<Admission> admitConnection(const boost::asio::ip::address &remote);

    /**
     * Count a request against the rate of its remote address.
     * @return Whether the request is within the rate.
     */
    bool admitRequest(const boost::asio::ip::address &remote, std::chrono::steady_clock::time_point now);

private:
    /** Requests that a remote address may still send, as of an instant. */
    struct Bucket {
        double tokens = 0; ///< Requests that may come at once.
        std::chrono::steady_clock::time_point filled; ///< When `tokens` was computed.
    };

    void release(const boost::asio::ip::address &remote);
    void dropFullBuckets(std::chrono::steady_clock::time_point now);

    HttpLimits limits; ///< Limits of the listener.
    std::mutex mutex; ///< Guards what follows.
    std::size_t connections = 0; ///< Connections open.
    std::map<boost::asio::ip::address, std::size_t> connectionsByAddress; ///< Connections open by remote address.
    std::map<boost::asio::ip::address, Bucket> buckets; ///< Request rates of remote addresses that were seen lately.
};

} // namespace Tanagertally
