/** One connection of the HTTP server: a state machine that reads one request at a time and writes its reply. */
#pragma once

#include "caller/http_core.h"
#include "caller/http_wire_func.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <optional>

namespace Tanagertally {

/**
 * One connection. While a call awaits its reply, one read stays outstanding, so that a caller who closes the connection is
 * noticed; what it reads is the start of the next request.
 * Thread safety: all methods but start(), deliver() and stop() run on the strand of the socket.
 */
template<HttpHandler Handler>
class HttpSession : public std::enable_shared_from_this<HttpSession<Handler>>
{
public:
    using Socket = boost::asio::ip::tcp::socket; ///< Its executor has to be a strand.

    /** Make the session of an accepted connection; call start() next. */
    HttpSession(std::shared_ptr<HttpCore<Handler>> sharedCore, Socket acceptedSocket, HttpGate::Admission admission,
                boost::asio::ip::address remoteAddress)
        : core(std::move(sharedCore))
        , openToken(this->core->open.begin())
        , socket(std::move(acceptedSocket))
        , timer(this->socket.get_executor())
        , place(std::move(admission.place))
        , refusal(admission.refusal)
        , remote(std::move(remoteAddress))
    {
    }

    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    ~HttpSession()
    {
        this->core->calls.remove(this);
    }

    /** Begin to serve. Thread safety: any thread. */
    void start()
    {
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->onStarted(); });
    }

    /**
     * Hand over the reply to a call that was taken out of the list of calls.
     * @param id The call.
     * @param makeReply Makes the reply; called on the strand.
     * @param token Kept until the reply is written. Thread safety: any thread.
     */
    template<typename MakeReply>
    void deliver(RequestId id, MakeReply makeReply, WorkCount::Token token)
    {
        boost::asio::post(this->socket.get_executor(),
                          [self = this->shared_from_this(), id, make = std::move(makeReply), kept = std::move(token)]() mutable {
                              self->onDelivered(id, std::move(make), std::move(kept));
                          });
    }

    /** Close the connection if no byte of a request has come. Thread safety: any thread. */
    void stopIfIdle()
    {
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
            if (self->phase == Phase::Idle) {
                self->shut();
            }
        });
    }

    /** Close the connection whatever it does. Thread safety: any thread. */
    void stop()
    {
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->shut(); });
    }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    static constexpr std::size_t ReadChunkBytes = 8192; ///< Most bytes taken by one read.
    static constexpr std::size_t MaxPipelinedBytes = 16384; ///< Bytes of later requests held while one is served.

    /** What the connection is doing. */
    enum class Phase : std::uint8_t {
        Idle, ///< No byte of the next request has come.
        Header, ///< Reading a header.
        Body, ///< Reading a body.
        Waiting, ///< Awaiting the reply to a call.
        Writing, ///< Writing a reply.
        Lingering, ///< The last reply is written; waiting for the caller to close.
        Closed, ///< The socket is closed.
    };

    void onStarted()
    {
        if (!this->core->calls.open(this->shared_from_this())) {
            this->shut();
            return;
        }
        boost::system::error_code ignored;
        this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        this->socket.non_blocking(true, ignored);
        if (this->refusal) {
            this->refuse(*this->refusal);
            return;
        }
        this->becomeIdle();
    }

    void becomeIdle()
    {
        this->phase = Phase::Idle;
        if (this->buffer.size() > 0) {
            this->beginRequest();
            return;
        }
        if (this->callerClosed) {
            this->shut();
            return;
        }
        this->setDeadline(this->core->limits.idleTimeout);
        this->armRead();
    }

    void beginRequest()
    {
        this->phase = Phase::Header;
        this->form = HttpReplyForm();
        this->parser.emplace();
        this->parser->header_limit(this->core->limits.maxHeaderBytes);
        this->parser->body_limit(this->core->limits.maxBodyBytes);
        this->setDeadline(this->core->limits.headerTimeout);
        this->parse();
    }

    /** Feed the parser with what was read; go on reading, refuse or dispatch. */
    void parse()
    {
        while (this->phase != Phase::Closed && this->buffer.size() > 0 && !this->parser->is_done()) {
            boost::system::error_code error;
            const std::size_t used = this->parser->put(this->buffer.data(), error);
            this->buffer.consume(used);
            if (error == boost::beast::http::error::need_more) {
                break;
            }
            if (error) {
                this->refuse(refusalOfParserError(error));
                return;
            }
            if (this->phase == Phase::Header && this->parser->is_header_done()) {
                this->onHeaderRead();
            }
        }
        if (this->parser->is_done() && this->phase != Phase::Closed) {
            this->dispatch();
            return;
        }
        if (this->callerClosed) {
            this->shut();
            return;
        }
        this->armRead();
    }

    void onHeaderRead()
    {
        this->phase = Phase::Body;
        const HttpRequest &request = this->parser->get();
        this->form.version = request.version();
        this->form.keepAlive = request.keep_alive();
        this->form.headOnly = request.method() == boost::beast::http::verb::head;
        this->setDeadline(this->core->limits.bodyTimeout);
        if (!this->parser->is_done() && boost::beast::iequals(request[boost::beast::http::field::expect], "100-continue")) {
            this->writeContinue();
        }
    }

    /**
     * Tell a caller that waits for it to go on with the body. The socket is non-blocking: if its send buffer is full, the
     * line is left out, and the caller goes on by itself after a while.
     */
    void writeContinue()
    {
        static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::system::error_code error;
        const std::size_t written = this->socket.write_some(boost::asio::buffer(Continue), error);
        if (written != 0 && written != Continue.size()) {
            this->shut();
        }
    }

    void dispatch()
    {
        const HttpRequest request = this->parser->release();
        this->parser.reset();
        if (!this->core->gate->admitRequest(this->remote, std::chrono::steady_clock::now())) {
            this->send(this->core->handler->refuse(HttpRefusal::TooManyRequests), this->core->writing.begin());
            return;
        }
        const RequestId id = this->core->events.nextRequestId();
        typename Handler::Outcome outcome = this->core->handler->handle(request, id);
        if (HttpReply *reply = std::get_if<HttpReply>(&outcome)) {
            this->send(std::move(*reply), this->core->writing.begin());
            return;
        }
        this->awaitReply(id, std::move(std::get<1>(outcome)));
    }

    /** The call is listed before its event is pushed: the reply can come at any moment after that. */
    template<typename EventType>
    void awaitReply(RequestId id, EventType event)
    {
        if (!this->core->calls.await(id, this->shared_from_this())) {
            this->shut();
            return;
        }
        this->phase = Phase::Waiting;
        this->awaited = id;
        this->timer.cancel();
        this->core->events.push(std::move(event));
        if (this->callerClosed) {
            this->shut();
            return;
        }
        this->armRead();
    }

    template<typename MakeReply>
    void onDelivered(RequestId id, MakeReply makeReply, WorkCount::Token token)
    {
        if (this->phase != Phase::Waiting || this->awaited != id) {
            return;
        }
        this->awaited.reset();
        this->send(makeReply(), std::move(token));
    }

    void refuse(HttpRefusal why)
    {
        HttpReply reply = this->core->handler->refuse(why);
        reply.closeAfter = true;
        this->send(std::move(reply), this->core->writing.begin());
    }

    void send(HttpReply reply, WorkCount::Token &&token)
    {
        this->phase = Phase::Writing;
        this->writeToken = std::move(token);
        const bool isLast = reply.closeAfter || this->core->stopping.load();
        this->form.keepAlive = this->form.keepAlive && !isLast;
        this->response.emplace(toResponse(std::move(reply), this->form));
        this->setDeadline(this->core->limits.writeTimeout);
        boost::beast::http::async_write(
            this->socket, *this->response,
            [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) { self->onWritten(error); });
    }

    void onWritten(const boost::system::error_code &error)
    {
        this->response.reset();
        if (error || this->phase != Phase::Writing) {
            this->shut();
            return;
        }
        if (!this->form.keepAlive) {
            this->linger();
            return;
        }
        this->writeToken.reset();
        this->becomeIdle();
    }

    /** Closing at once could reset the connection and lose the reply on its way, so the caller's close is awaited. */
    void linger()
    {
        boost::system::error_code ignored;
        this->socket.shutdown(Socket::shutdown_send, ignored);
        this->phase = Phase::Lingering;
        this->buffer.clear();
        if (this->callerClosed) {
            this->shut();
            return;
        }
        this->setDeadline(this->core->limits.lingerTimeout);
        this->armRead();
    }

    void armRead()
    {
        const bool isFull = this->phase == Phase::Waiting && this->buffer.size() >= MaxPipelinedBytes;
        if (this->isReading || isFull || this->phase == Phase::Closed) {
            return;
        }
        this->isReading = true;
        this->socket.async_read_some(
            boost::asio::buffer(this->chunk),
            [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t bytes) { self->onRead(error, bytes); });
    }

    void onRead(const boost::system::error_code &error, std::size_t bytes)
    {
        this->isReading = false;
        const auto room = this->buffer.prepare(bytes);
        this->buffer.commit(boost::asio::buffer_copy(room, boost::asio::buffer(this->chunk, bytes)));
        if (error) {
            this->onCallerClosed();
            return;
        }
        switch (this->phase) {
        case Phase::Idle:
            this->beginRequest();
            return;
        case Phase::Header:
        case Phase::Body:
            this->parse();
            return;
        case Phase::Waiting:
            this->armRead();
            return;
        case Phase::Lingering:
            this->buffer.clear();
            this->armRead();
            return;
        case Phase::Writing:
        case Phase::Closed:
            return;
        }
    }

    /** A reply that is being written is still finished: the caller may have closed only its sending side. */
    void onCallerClosed()
    {
        this->callerClosed = true;
        if (this->phase != Phase::Writing) {
            this->shut();
        }
    }

    void setDeadline(Duration timeout)
    {
        this->timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout));
        this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (error || !self || self->timer.expiry() > std::chrono::steady_clock::now()) {
                return;
            }
            self->onDeadline();
        });
    }

    void onDeadline()
    {
        if (this->phase == Phase::Header) {
            this->refuse(HttpRefusal::HeaderTimeout);
        } else if (this->phase == Phase::Body) {
            this->refuse(HttpRefusal::BodyTimeout);
        } else if (this->phase != Phase::Waiting) {
            this->shut();
        }
    }

    void shut()
    {
        if (this->phase == Phase::Closed) {
            return;
        }
        this->phase = Phase::Closed;
        if (this->awaited && this->core->calls.take(*this->awaited)) {
            this->core->events.push(CallerGone{*this->awaited});
        }
        this->timer.cancel();
        boost::system::error_code ignored;
        this->socket.shutdown(Socket::shutdown_both, ignored);
        this->socket.close(ignored);
        this->writeToken.reset();
        this->core->calls.remove(this);
    }

    std::shared_ptr<HttpCore<Handler>> core; ///< Shared by the connections of the listener.
    WorkCount::Token openToken; ///< Counts this connection as open.
    Socket socket; ///< The connection.
    boost::asio::steady_timer timer; ///< Deadline of the present phase.
    HttpGate::Place place; ///< Its place at the gate.
    std::optional<HttpRefusal> refusal; ///< Set if the connection was only let in to be refused.
    boost::asio::ip::address remote; ///< Remote IP address.
    Phase phase = Phase::Idle; ///< What the connection is doing.
    bool isReading = false; ///< Whether a read is outstanding.
    bool callerClosed = false; ///< Whether the caller has closed its side.
    std::array<char, ReadChunkBytes> chunk; ///< Where a read puts its bytes; apart from `buffer`, which may be used meanwhile.
    boost::beast::flat_buffer buffer; ///< Bytes read and not yet parsed.
    std::optional<Parser> parser; ///< Parser of the present request.
    HttpReplyForm form; ///< How the reply to the present request has to be written.
    std::optional<RequestId> awaited; ///< The call whose reply is awaited.
    std::optional<HttpResponse> response; ///< The reply that is being written.
    WorkCount::Token writeToken; ///< Kept until the reply is written.
};

} // namespace Tanagertally
