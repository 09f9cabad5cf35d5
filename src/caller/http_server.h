/** The HTTP/1.1 server of all services: one listener with limits, whose handler may defer replies. */
#pragma once

#include "caller/http_session.h"
#include "caller/net_address_func.h"
#include "core/result_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>

namespace Tanagertally {

/**
 * One listener. Connections are persistent; the requests of a connection are served one at a time, in order.
 * Thread safety: see each method. Other threads must run the io_context while the server is open.
 */
template<HttpHandler Handler>
class HttpServer
{
public:
    /**
     * Starts listening.
     * @param io Runs all I/O of the server; must outlive it.
     * @param events Queue that receives the events; must outlive the server.
     * @param handler Turns requests into replies or events.
     * @param listen Listen address; port 0 for any free port.
     * @param limits Limits of the listener.
     * @return The server, or BadInput for a malformed address, or Unavailable if it can't be bound.
     */
    static Result<std::unique_ptr<HttpServer>> create(boost::asio::io_context &io, typename Handler::Events &events,
                                                      std::shared_ptr<Handler> handler, const NetAddress &listen, const HttpLimits &limits)
    {
        Result<Tcp::endpoint> endpoint = parseNetAddress(listen, "listen");
        if (endpoint.has_error()) {
            return endpoint.error();
        }
        auto shared = std::make_shared<SharedState>(std::move(handler), events, limits);
        auto listener = std::make_shared<Listener>(io, std::move(shared));
        boost::system::error_code error;
        openAcceptor(listener->acceptor, endpoint.value(), error);
        if (error) {
            return makeError(ErrorCode::Unavailable, "can't listen at " + listen.value + ": " + error.message(), "listen");
        }
        boost::asio::post(listener->acceptor.get_executor(), [listener] { listener->accept(); });
        return std::unique_ptr<HttpServer>(new HttpServer(std::move(listener)));
    }

    ~HttpServer()
    {
        this->close();
    }
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** @return The listen address, with the port that was bound. Thread safety: any thread. */
    NetAddress address() const
    {
        return formatNetAddress(this->localEndpoint);
    }

    /**
     * Sends the reply to a call, or drops it if the connection is closed. Doesn't block. Thread safety: any thread.
     * @param id The call.
     * @param makeReply Returns the HttpReply; called on an I/O thread.
     */
    template<typename MakeReply>
    void reply(RequestId id, MakeReply makeReply)
    {
        SharedState &shared = *this->listener->shared;
        WorkCounter::Token token = shared.unwrittenReplies.acquireToken();
        if (const auto session = shared.calls.removeCall(id)) {
            session->deliverReply(id, std::move(makeReply), std::move(token));
        }
    }

    /** Closes each connection after its next reply; new ones are still accepted. Doesn't block. Thread safety: any thread. */
    void closeAfterReplies()
    {
        this->listener->shared->isStopping = true;
    }

    /** Closes the connections without a request in progress. Doesn't block. Thread safety: any thread. */
    void closeIdle()
    {
        for (const auto &session : this->listener->shared->calls.openSessions()) {
            session->stopIfIdle();
        }
    }

    /** Stops accepting connections, and closes each open one after its next reply. Doesn't block. Thread safety: any thread. */
    void stopAccepting()
    {
        this->listener->shared->isStopping = true;
        boost::asio::post(this->listener->acceptor.get_executor(), [openListener = this->listener] { openListener->drainAndClose(); });
    }

    /**
     * Drops all calls, and makes close() and the destructor do nothing, so that a process can exit without waiting for connections.
     * @pre No thread runs the io_context any more. Thread safety: any thread.
     */
    void abandon()
    {
        this->isClosed = true;
        this->listener->shared->calls.close();
    }

    /**
     * Closes the listener and all connections. Returns when the replies passed to reply() are written, or after 2 s. No event
     * is pushed after that.
     * Thread safety: any thread that doesn't run the io_context.
     */
    void close()
    {
        if (this->isClosed.exchange(true)) {
            return;
        }
        this->stopAccepting();
        SharedState &shared = *this->listener->shared;
        const auto deadline = std::chrono::steady_clock::now() + FlushTimeout;
        shared.unwrittenReplies.waitUntilIdle(deadline);
        for (const auto &session : shared.calls.close()) {
            session->stop();
        }
        shared.openConnections.waitUntilIdle(deadline);
    }

private:
    using Tcp = boost::asio::ip::tcp;
    using SharedState = HttpSharedState<Handler>;

    static constexpr std::chrono::seconds FlushTimeout{2}; ///< Longest duration of close().

    /** Accepts connections. Its methods run on the strand of the acceptor. */
    struct Listener : std::enable_shared_from_this<Listener> {
        static constexpr std::chrono::milliseconds HandshakeGracePeriod{50}; ///< Time for pending TCP handshakes to complete.
        static constexpr std::chrono::milliseconds AcceptRetryInterval{100}; ///< Delay after a failed accept.

        boost::asio::io_context &io; ///< Runs the I/O of the connections.
        Tcp::acceptor acceptor; ///< The listening socket.
        boost::asio::steady_timer retryTimer; ///< Delay after a failed accept, and in drainAndClose().
        std::shared_ptr<SharedState> shared; ///< Shared with the connections.

        Listener(boost::asio::io_context &context, std::shared_ptr<SharedState> sharedState)
            : io(context)
            , acceptor(boost::asio::make_strand(context))
            , retryTimer(this->acceptor.get_executor())
            , shared(std::move(sharedState))
        {
        }

        void accept()
        {
            this->acceptor.async_accept(boost::asio::make_strand(this->io),
                                        [self = this->shared_from_this()](const boost::system::error_code &error, Tcp::socket socket) {
                                            self->onAccepted(error, std::move(socket));
                                        });
        }

        void onAccepted(const boost::system::error_code &error, Tcp::socket socket)
        {
            if (!error) {
                this->startSession(std::move(socket));
            }
            if (!this->acceptor.is_open()) {
                return;
            }
            if (error) {
                this->retryTimer.expires_after(AcceptRetryInterval);
                this->retryTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &) { self->accept(); });
                return;
            }
            this->accept();
        }

        /**
         * Drops new connections, serves those whose handshake is complete or pending, and then closes the listening socket.
         * Closing it at once would reset connections that the kernel has accepted and this process has not.
         */
        void drainAndClose()
        {
            this->dropNewHandshakes();
            this->retryTimer.expires_after(HandshakeGracePeriod);
            this->retryTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &) {
                boost::system::error_code ignored;
                self->serveAcceptedConnections();
                self->acceptor.close(ignored);
            });
        }

        /** Makes the kernel drop the first packet of each handshake (SYN without ACK); the client's retransmission is refused later. */
        void dropNewHandshakes()
        {
            constexpr std::uint32_t FlagsOffset = 13; // Offset of the flags byte in the TCP header.
            constexpr std::uint32_t SynAndAck = 0x12;
            constexpr std::uint32_t Syn = 0x02;
            constexpr std::uint32_t WholePacket = 0xffffffff;
            std::array<sock_filter, 5> program{
                {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset), BPF_STMT(BPF_ALU | BPF_AND | BPF_K, SynAndAck),
                 BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, Syn, 1, 0), BPF_STMT(BPF_RET | BPF_K, WholePacket), BPF_STMT(BPF_RET | BPF_K, 0)}};
            const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
            setsockopt(this->acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
        }

        /** Serves the connections that the kernel has already accepted. */
        void serveAcceptedConnections()
        {
            boost::system::error_code error;
            this->acceptor.non_blocking(true, error);
            while (!error) {
                Tcp::socket socket = this->acceptor.accept(boost::asio::make_strand(this->io), error);
                if (!error) {
                    this->startSession(std::move(socket));
                }
            }
        }

        void startSession(Tcp::socket socket)
        {
            boost::system::error_code error;
            const Tcp::endpoint remote = socket.remote_endpoint(error);
            if (error) {
                return;
            }
            std::optional<HttpLimiter::Admission> admission = this->shared->limiter->admitConnection(remote.address());
            if (!admission) {
                return;
            }
            if (admission->refusal == HttpRefusal::TooManyConnections && this->shared->limits.evictsConnections) {
                if (const auto oldest = this->shared->occupancy.extractOldest()) {
                    oldest->stopUnlessCalling();
                    admission->refusal.reset();
                }
            }
            std::make_shared<HttpSession<Handler>>(this->shared, std::move(socket), std::move(*admission), remote.address())->start();
        }
    };

    static void openAcceptor(Tcp::acceptor &acceptor, const Tcp::endpoint &endpoint, boost::system::error_code &error)
    {
        acceptor.open(endpoint.protocol(), error);
        if (!error) {
            acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        }
        if (!error) {
            acceptor.bind(endpoint, error);
        }
        if (!error) {
            acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
        }
    }

    explicit HttpServer(std::shared_ptr<Listener> openListener)
        : listener(std::move(openListener))
        , localEndpoint(this->listener->acceptor.local_endpoint())
    {
    }

    std::shared_ptr<Listener> listener; ///< Accepts connections; holds the state shared with them.
    Tcp::endpoint localEndpoint; ///< Endpoint that was bound.
    std::atomic<bool> isClosed = false; ///< Whether close() or abandon() was called.
};

} // namespace Tanagertally
