/** Life cycle of a client connection, and the evidence about a request that follows from it. */
#pragma once

#include "endpoint/http_type.h"

#include <memory>

namespace Tanagertally {

/** Where a connection stands. */
enum class ConnectionState : std::uint8_t {
    Unconnected, ///< Not opened yet.
    Connecting, ///< Opening, with a request to send.
    Writing, ///< Sending a request.
    AwaitingAnswer, ///< The request is written and its answer is not whole yet.
    Idle, ///< Open, without a request.
    Closed, ///< Never used again.
};

/**
 * State machine of one connection; its transition table is in connection_life.cpp.
 * Thread safety: none; its connection's strand owns it.
 */
class ConnectionLife
{
public:
    ConnectionLife();
    ~ConnectionLife();
    ConnectionLife(const ConnectionLife &) = delete;
    ConnectionLife &operator=(const ConnectionLife &) = delete;

    /** Opening begins. @pre Unconnected. */
    void open();

    /** The connection is open. @pre Connecting. */
    void connected();

    /** The next request is about to be written. @pre Idle. */
    void reuse();

    /** The whole request was handed to the kernel. @pre Writing. */
    void written();

    /**
     * A whole answer came.
     * @param reusable Whether another request may be sent.
     * @pre AwaitingAnswer.
     */
    void answered(bool reusable);

    /**
     * The connection failed or was given up.
     * @param bytesWritten Bytes of the request that the kernel took; looked at only while writing.
     */
    void failed(std::size_t bytesWritten);

    /** @return Where the connection stands. */
    ConnectionState state() const;

    /** @return What is known about the delivery of the last request; meaningful once it has been answered or has failed. */
    Delivery delivery() const;

private:
    class Machine;
    std::unique_ptr<Machine> machine; ///< The Boost.MSM machine.
};

} // namespace Tanagertally
