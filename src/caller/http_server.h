/** The HTTP/1.1 server that both services use: one listener with limits, whose replies may come later. */
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
 * One listener. Connections are persistent; requests on one connection are served one after another, in their order.
 * Thread safety: see each method. The io_context has to be run by other threads while the server is open.
 */
template<HttpHandler Handler>
class HttpServer
{
public:
    /**
     * Start listening.
     * @param io Its threads do the traffic; has to outlive the server.
     * @param events Where events go; has to outlive the server.
     * @param handler Makes replies and events of requests.
     * @param listen Where to listen; port 0 for any free port.
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
        auto core = std::make_shared<Core>(std::move(handler), events, limits);
        auto listener = std::make_shared<Listener>(io, std::move(core));
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

    /** @return The address that was bound. Thread safety: any thread. */
    NetAddress address() const
    {
        return formatNetAddress(this->local);
    }

    /**
     * Hand over the reply to a call; dropped if its connection is gone. Doesn't block. Thread safety: any thread.
     * @param id The call.
     * @param makeReply Returns the HttpReply; called on a traffic thread.
     */
    template<typename MakeReply>
    void reply(RequestId id, MakeReply makeReply)
    {
        Core &core = *this->listener->core;
        WorkCount::Token token = core.writing.begin();
        if (const auto session = core.calls.take(id)) {
            session->deliver(id, std::move(makeReply), std::move(token));
        }
    }

    /** Let each open connection end with its next reply; new ones are still accepted. Doesn't block. Thread safety: any thread. */
    void closeAfterReplies()
    {
        this->listener->core->stopping = true;
    }

    /** Close the connections without a request in progress. Doesn't block. Thread safety: any thread. */
    void closeIdle()
    {
        for (const auto &session : this->listener->core->calls.openSessions()) {
            session->stopIfIdle();
        }
    }

    /** Accept no more connections; each open one ends with its next reply. Doesn't block. Thread safety: any thread. */
    void stopAccepting()
    {
        this->listener->core->stopping = true;
        boost::asio::post(this->listener->acceptor.get_executor(), [kept = this->listener] { kept->drainAndClose(); });
    }

    /**
     * Leave everything as it is, for a process that ends: nothing is waited for.
     * @pre The io_context isn't run any more. Thread safety: any thread.
     */
    void abandon()
    {
        this->isClosed = true;
    }

    /**
     * Close everything. Returns when the replies handed over have been written, or after 2 s. No event is pushed any more
     * after that.
     * Thread safety: any thread that doesn't run the io_context.
     */
    void close()
    {
        if (this->isClosed.exchange(true)) {
            return;
        }
        this->stopAccepting();
        Core &core = *this->listener->core;
        const auto deadline = std::chrono::steady_clock::now() + FlushTimeout;
        core.writing.waitUntilIdle(deadline);
        for (const auto &session : core.calls.close()) {
            session->stop();
        }
        core.open.waitUntilIdle(deadline);
    }

private:
    using Tcp = boost::asio::ip::tcp;
    using Core = HttpCore<Handler>;

    static constexpr std::chrono::seconds FlushTimeout{2}; ///< Longest time that close() takes.

    /** The accepting side. Its methods run on the strand of the acceptor. */
    struct Listener : std::enable_shared_from_this<Listener> {
        static constexpr std::chrono::milliseconds HandshakeTime{50}; ///< Time for handshakes under way to end.
        static constexpr std::chrono::milliseconds RetryInterval{100}; ///< Pause after a failed accept.

        boost::asio::io_context &io; ///< Runs the connections.
        Tcp::acceptor acceptor; ///< The listening socket.
        boost::asio::steady_timer retryTimer; ///< Runs after a failed accept.
        std::shared_ptr<Core> core; ///< Shared by the connections.

        Listener(boost::asio::io_context &context, std::shared_ptr<Core> shared)
            : io(context)
            , acceptor(boost::asio::make_strand(context))
            , retryTimer(this->acceptor.get_executor())
            , core(std::move(shared))
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
                this->serve(std::move(socket));
            }
            if (!this->acceptor.is_open()) {
                return;
            }
            if (error) {
                this->retryTimer.expires_after(RetryInterval);
                this->retryTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &) { self->accept(); });
                return;
            }
            this->accept();
        }

        /**
         * Let in no new connection, serve those whose handshake is done or under way, and then close the listening socket.
         * Closing it at once would reset connections that the system has accepted and this process has not.
         */
        void drainAndClose()
        {
            this->refuseHandshakes();
            this->retryTimer.expires_after(HandshakeTime);
            this->retryTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &) {
                boost::system::error_code ignored;
                self->serveAccepted();
                self->acceptor.close(ignored);
            });
        }

        /** Have the system drop each first packet of a handshake (SYN without ACK); the other side tries again and is refused then. */
        void refuseHandshakes()
        {
            constexpr std::uint32_t FlagsOffset = 13; // In the TCP header.
            constexpr std::uint32_t SynAndAck = 0x12;
            constexpr std::uint32_t Syn = 0x02;
            constexpr std::uint32_t WholePacket = 0xffffffff;
            std::array<sock_filter, 5> program{
                {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset), BPF_STMT(BPF_ALU | BPF_AND | BPF_K, SynAndAck),
                 BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, Syn, 1, 0), BPF_STMT(BPF_RET | BPF_K, WholePacket), BPF_STMT(BPF_RET | BPF_K, 0)}};
            const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
            setsockopt(this->acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
        }

        /** Serve the connections that the system has accepted already. */
        void serveAccepted()
        {
            boost::system::error_code error;
            this->acceptor.non_blocking(true, error);
            while (!error) {
                Tcp::socket socket = this->acceptor.accept(boost::asio::make_strand(this->io), error);
                if (!error) {
                    this->serve(std::move(socket));
                }
            }
        }

        void serve(Tcp::socket socket)
        {
            boost::system::error_code error;
            const Tcp::endpoint remote = socket.remote_endpoint(error);
            if (error) {
                return;
            }
            std::optional<HttpGate::Admission> admission = this->core->gate->admitConnection(remote.address());
            if (!admission) {
                return;
            }
            std::make_shared<HttpSession<Handler>>(this->core, std::move(socket), std::move(*admission), remote.address())->start();
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
        , local(this->listener->acceptor.local_endpoint())
    {
    }

    std::shared_ptr<Listener> listener; ///< The accepting side, and the connections' shared state.
    Tcp::endpoint local; ///< The address that was bound.
    std::atomic<bool> isClosed = false; ///< Whether close() was called.
};

} // namespace Tanagertally
