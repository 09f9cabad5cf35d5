/** Lifecycle of a client connection; its state determines what is known about the delivery of a request. */
#pragma once

#include "endpoint/http_type.h"

#include <memory>

namespace Tanagertally {

/** State of a client connection. */
enum class ConnectionState : std::uint8_t {
    Unconnected, ///< The connection has not been opened.
    Connecting, ///< The connection is being opened for its first request.
    Writing, ///< A request is being written.
    AwaitingResponse, ///< The request is written and its response is incomplete.
    Idle, ///< The connection is open without a request.
    Closed, ///< Final state; a closed connection is not reopened.
};

/**
 * State machine of one connection; its transition table is in connection_lifecycle.cpp.
 * An event without a transition from the current state has no effect.
 * Thread safety: none; all methods are called on the strand of the connection.
 */
class ConnectionLifecycle
{
public:
    ConnectionLifecycle();
    ~ConnectionLifecycle();
    ConnectionLifecycle(const ConnectionLifecycle &) = delete;
    ConnectionLifecycle &operator=(const ConnectionLifecycle &) = delete;

    /** Go to Connecting. @pre Unconnected. */
    void startConnecting();

    /** Go to Writing, for the first request. @pre Connecting. */
    void finishConnecting();

    /** Go to Writing, for the next request. @pre Idle. */
    void startWriting();

    /** Go to AwaitingResponse, once the kernel has accepted the whole request. @pre Writing. */
    void finishWriting();

    /**
     * Go to Idle, or to Closed if the connection is not reusable, once a complete response has been read.
     * @param reusable Whether another request may be sent on the connection.
     * @pre AwaitingResponse.
     */
    void finishResponse(bool reusable);

    /**
     * Go to Closed because the connection failed or was aborted.
     * @param bytesWritten Bytes of the request that the kernel accepted; used only in state Writing.
     */
    void closeAfterFailure(std::size_t bytesWritten);

    ConnectionState state() const;

    /** @return What is known about the delivery of the last request; valid once it has been answered or has failed. */
    Delivery delivery() const;

private:
    class Machine;
    std::unique_ptr<Machine> machine; ///< Boost.MSM back end.
};

} // namespace Tanagertally
