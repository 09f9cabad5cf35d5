/** One connection of the HTTP server: a state machine that reads one request at a time and writes its reply. */
#pragma once

#include "caller/http_shared_state.h"
#include "caller/http_wire_func.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <optional>
#include <utility>

namespace Tanagertally {

/**
 * One connection. While a call awaits its reply, one read stays outstanding, to detect that the caller closes the connection;
 * the bytes that it reads are the start of the next request.
 * Thread safety: all methods but start(), deliverReply(), stopIfIdle() and stop() run on the strand of the socket.
 */
template<HttpHandler Handler>
class HttpSession : public std::enable_shared_from_this<HttpSession<Handler>>
{
public:
    using Socket = boost::asio::ip::tcp::socket; ///< Its executor must be a strand.

    /** Creates the session of an accepted connection, which start() then serves. */
    HttpSession(std::shared_ptr<HttpSharedState<Handler>> sharedState, Socket acceptedSocket, HttpLimiter::Admission admission,
                boost::asio::ip::address remoteAddress)
        : shared(std::move(sharedState))
        , connectionToken(this->shared->openConnections.acquireToken())
        , socket(std::move(acceptedSocket))
        , timer(this->socket.get_executor())
        , permit(std::move(admission.permit))
        , refusal(admission.refusal)
        , remote(std::move(remoteAddress))
    {
    }

    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    ~HttpSession()
    {
        this->shared->calls.removeSession(this);
        if (this->slot) {
            this->shared->occupancy.remove(*this->slot);
        }
    }

    /** Starts serving requests. Thread safety: any thread. */
    void start()
    {
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->onStarted(); });
    }

    /**
     * Sends the reply to a call that was removed from the list of calls.
     * @param id The call.
     * @param makeReply Returns the HttpReply; called on the strand.
     * @param token Held until the reply is written. Thread safety: any thread.
     */
    template<typename MakeReply>
    void deliverReply(RequestId id, MakeReply makeReply, WorkCounter::Token token)
    {
        boost::asio::post(this->socket.get_executor(),
                          [self = this->shared_from_this(), id, make = std::move(makeReply), heldToken = std::move(token)]() mutable {
                              self->onReplyDelivered(id, std::move(make), std::move(heldToken));
                          });
    }

    /** Closes the connection unless it has received a byte of the next request. Thread safety: any thread. */
    void stopIfIdle()
    {
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
            if (self->phase == Phase::Idle) {
                self->closeConnection();
            }
        });
    }

    /** Refuses the request that is arriving, or closes the connection, unless a call awaits its reply. Thread safety: any thread. */
    void evict()
    {
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->onEvicted(); });
    }

    /** Closes the connection unless a call awaits its reply. Thread safety: any thread. */
    void stopUnlessCalling()
    {
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
            if (self->phase != Phase::Waiting) {
                self->closeConnection();
            }
        });
    }

    /** Closes the connection in any phase. Thread safety: any thread. */
    void stop()
    {
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->closeConnection(); });
    }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    static constexpr std::size_t FirstReadBytes = 512; ///< Size of the buffer of the outstanding read, which idle connections have too.
    static constexpr std::size_t ReadChunkBytes = 8192; ///< Largest number of further bytes that are read at once.
    static constexpr std::size_t ConnectionBytes = 4096; ///< Memory of a connection without any request or reply.
    static constexpr std::size_t FieldBytes = 96; ///< Memory of a header field beside its name and value.
    static constexpr std::size_t MaxPipelinedBytes = 2048; ///< Bytes of later requests after which reading pauses.

    /** Phase of the connection. */
    enum class Phase : std::uint8_t {
        Idle, ///< No byte of the next request has been received.
        Header, ///< Reading a request header.
        Body, ///< Reading a request body.
        Waiting, ///< Awaiting the reply to a call.
        Writing, ///< Writing a reply.
        Lingering, ///< The last reply is written; waiting for the caller to close its side.
        Closed, ///< The socket is closed.
    };

    void onStarted()
    {
        if (!this->shared->calls.addSession(this->shared_from_this())) {
            this->closeConnection();
            return;
        }
        this->slot = this->shared->occupancy.add(this->weak_from_this(), ConnectionBytes);
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
        if (this->hasCallerClosed) {
            this->closeConnection();
            return;
        }
        this->setDeadline(this->shared->limits.idleTimeout);
        this->beginActivity(HttpActivity::Idle);
        this->startRead();
    }

    void beginRequest()
    {
        this->phase = Phase::Header;
        this->isTransferRecorded = false;
        this->fieldBytes = 0;
        this->replyFormat = HttpReplyFormat();
        this->parser.emplace();
        this->parser->header_limit(this->shared->limits.maxHeaderBytes);
        this->parser->body_limit(this->shared->limits.maxBodyBytes);
        this->setDeadline(this->shared->limits.headerTimeout);
        this->parse();
    }

    /** Passes the buffered bytes to the parser; then reads on, refuses the request or dispatches it. */
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
                this->refuse(refusalForParserError(error));
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
        if (this->hasCallerClosed) {
            this->closeConnection();
            return;
        }
        // The parser leaves the header of a chunk and the trailers in the buffer until they are complete.
        if (this->phase == Phase::Body && this->buffer.size() > this->shared->limits.maxTrailerBytes) {
            this->refuse(HttpRefusal::TrailersTooLarge);
            return;
        }
        this->recordTransfer();
        this->startRead();
    }

    /** Records the memory of the request that is arriving. Most requests arrive at once and are never recorded. */
    void recordTransfer()
    {
        if (this->phase == Phase::Body && this->fieldBytes == 0) {
            for (const auto &field : this->parser->get()) {
                this->fieldBytes += FieldBytes + field.name_string().size() + field.value().size();
            }
        }
        if (std::exchange(this->isTransferRecorded, true)) {
            this->resizeActivity();
            return;
        }
        this->beginActivity(HttpActivity::Transfer);
    }

    /** Records what the connection does from now on, and evicts others if it holds too much memory for that. */
    void beginActivity(HttpActivity activity)
    {
        this->releaseEmptyBuffer();
        evictAll(this->shared->occupancy.begin(*this->slot, activity, this->retainedBytes()));
    }

    void resizeActivity()
    {
        evictAll(this->shared->occupancy.resize(*this->slot, this->retainedBytes()));
    }

    static void evictAll(const typename HttpOccupancy<HttpSession>::Sessions &sessions)
    {
        for (const auto &session : sessions) {
            session->evict();
        }
    }

    void releaseEmptyBuffer()
    {
        if (this->buffer.size() == 0) {
            this->buffer.shrink_to_fit();
        }
    }

    std::size_t retainedBytes() const
    {
        std::size_t bytes = ConnectionBytes + this->buffer.capacity();
        if (this->parser) {
            bytes += this->fieldBytes + this->parser->get().body().capacity();
        }
        if (this->response) {
            bytes += this->response->body().capacity();
        }
        return bytes;
    }

    void onEvicted()
    {
        switch (this->phase) {
        case Phase::Header:
        case Phase::Body:
            this->refuse(HttpRefusal::OutOfMemory);
            return;
        case Phase::Idle:
        case Phase::Writing:
        case Phase::Lingering:
            this->closeConnection();
            return;
        case Phase::Waiting:
        case Phase::Closed:
            return;
        }
    }

    void onHeaderRead()
    {
        this->phase = Phase::Body;
        const HttpRequest &request = this->parser->get();
        this->replyFormat.version = request.version();
        this->replyFormat.keepAlive = request.keep_alive();
        this->replyFormat.headOnly = request.method() == boost::beast::http::verb::head;
        this->setDeadline(this->shared->limits.bodyTimeout);
        if (!this->parser->is_done() && boost::beast::iequals(request[boost::beast::http::field::expect], "100-continue")) {
            this->writeContinue();
        }
    }

    /**
     * Sends "100 Continue" to a caller that waits for it before it sends the body. The socket is non-blocking: if its send buffer
     * is full, the line is left out, and the caller sends the body after its own timeout.
     */
    void writeContinue()
    {
        static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::system::error_code error;
        const std::size_t written = this->socket.write_some(boost::asio::buffer(Continue), error);
        if (written != 0 && written != Continue.size()) {
            this->closeConnection();
        }
    }

    void dispatch()
    {
        const HttpRequest request = this->parser->release();
        this->parser.reset();
        if (!this->shared->limiter->admitRequest(this->remote, std::chrono::steady_clock::now())) {
            this->send(this->shared->handler->refuse(HttpRefusal::TooManyRequests), this->shared->unwrittenReplies.acquireToken());
            return;
        }
        const RequestId id = this->shared->events.nextRequestId();
        typename Handler::Outcome outcome = this->shared->handler->handle(request, id);
        if (HttpReply *reply = std::get_if<HttpReply>(&outcome)) {
            this->send(std::move(*reply), this->shared->unwrittenReplies.acquireToken());
            return;
        }
        this->awaitReply(id, std::move(std::get<1>(outcome)));
    }

    /** Adds the call to the list of calls before it pushes the event, because the reply may arrive at any time after that. */
    template<typename EventType>
    void awaitReply(RequestId id, EventType event)
    {
        if (!this->shared->calls.addCall(id, this->shared_from_this())) {
            this->closeConnection();
            return;
        }
        this->phase = Phase::Waiting;
        this->awaitedCall = id;
        this->timer.cancel();
        this->beginActivity(HttpActivity::Call);
        this->shared->events.push(std::move(event));
        if (this->hasCallerClosed) {
            this->closeConnection();
            return;
        }
        this->startRead();
    }

    template<typename MakeReply>
    void onReplyDelivered(RequestId id, MakeReply makeReply, WorkCounter::Token token)
    {
        if (this->phase != Phase::Waiting || this->awaitedCall != id) {
            return;
        }
        this->awaitedCall.reset();
        this->send(makeReply(), std::move(token));
    }

    void refuse(HttpRefusal reason)
    {
        this->parser.reset();
        this->buffer.clear();
        HttpReply reply = this->shared->handler->refuse(reason);
        reply.closeAfter = true;
        this->send(std::move(reply), this->shared->unwrittenReplies.acquireToken());
    }

    void send(HttpReply reply, WorkCounter::Token &&token)
    {
        this->phase = Phase::Writing;
        this->writeToken = std::move(token);
        const bool isLast = reply.closeAfter || this->shared->isStopping.load();
        this->replyFormat.keepAlive = this->replyFormat.keepAlive && !isLast;
        this->response.emplace(toResponse(std::move(reply), this->replyFormat));
        this->setDeadline(this->shared->limits.writeTimeout);
        this->beginActivity(HttpActivity::Transfer);
        boost::beast::http::async_write(
            this->socket, *this->response,
            [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) { self->onWritten(error); });
    }

    void onWritten(const boost::system::error_code &error)
    {
        this->response.reset();
        if (error || this->phase != Phase::Writing) {
            this->closeConnection();
            return;
        }
        if (!this->replyFormat.keepAlive) {
            this->linger();
            return;
        }
        this->writeToken.reset();
        this->becomeIdle();
    }

    /** Waits for the caller to close its side: closing at once could reset the connection and lose the reply in transit. */
    void linger()
    {
        boost::system::error_code ignored;
        this->socket.shutdown(Socket::shutdown_send, ignored);
        this->phase = Phase::Lingering;
        this->buffer.clear();
        if (this->hasCallerClosed) {
            this->closeConnection();
            return;
        }
        this->setDeadline(this->shared->limits.lingerTimeout);
        this->startRead();
    }

    void startRead()
    {
        const bool isFull = this->phase == Phase::Waiting && this->buffer.size() >= MaxPipelinedBytes;
        if (this->isReading || isFull || this->phase == Phase::Closed) {
            return;
        }
        this->isReading = true;
        this->socket.async_read_some(
            boost::asio::buffer(this->firstBytes),
            [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t bytes) { self->onRead(error, bytes); });
    }

    void onRead(const boost::system::error_code &error, std::size_t bytes)
    {
        this->isReading = false;
        const auto room = this->buffer.prepare(bytes);
        this->buffer.commit(boost::asio::buffer_copy(room, boost::asio::buffer(this->firstBytes, bytes)));
        if (!error && bytes == FirstReadBytes && this->phase != Phase::Waiting) {
            this->readMore();
        }
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
            this->resizeActivity();
            this->startRead();
            return;
        case Phase::Lingering:
            this->buffer.clear();
            this->releaseEmptyBuffer();
            this->startRead();
            return;
        case Phase::Writing:
        case Phase::Closed:
            return;
        }
    }

    /** Reads what has arrived beyond the outstanding read. The next read reports an error, if there is one. */
    void readMore()
    {
        boost::system::error_code ignored;
        const std::size_t bytes = this->socket.read_some(this->buffer.prepare(ReadChunkBytes), ignored);
        this->buffer.commit(bytes);
    }

    /** Closes the connection, unless a reply is being written: the caller may have closed only its sending side. */
    void onCallerClosed()
    {
        this->hasCallerClosed = true;
        if (this->phase != Phase::Writing) {
            this->closeConnection();
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
            this->closeConnection();
        }
    }

    void closeConnection()
    {
        if (this->phase == Phase::Closed) {
            return;
        }
        this->phase = Phase::Closed;
        if (this->awaitedCall && this->shared->calls.removeCall(*this->awaitedCall)) {
            this->shared->events.push(CallerDisconnected{*this->awaitedCall});
        }
        this->timer.cancel();
        boost::system::error_code ignored;
        this->socket.shutdown(Socket::shutdown_both, ignored);
        this->socket.close(ignored);
        this->writeToken.reset();
        this->shared->calls.removeSession(this);
    }

    std::shared_ptr<HttpSharedState<Handler>> shared; ///< Shared with the listener and its other connections.
    WorkCounter::Token connectionToken; ///< Counts this connection in HttpSharedState::openConnections.
    Socket socket; ///< Socket of the connection.
    boost::asio::steady_timer timer; ///< Deadline of the current phase.
    HttpLimiter::Permit permit; ///< Counts this connection at the limiter.
    std::optional<HttpRefusal> refusal; ///< Set if the connection is over a limit: it gets this reply and is closed.
    boost::asio::ip::address remote; ///< Remote IP address, for the request rate limit.
    Phase phase = Phase::Idle; ///< Current phase.
    bool isReading = false; ///< Whether a read is outstanding.
    bool hasCallerClosed = false; ///< Whether the caller has closed its side.
    bool isTransferRecorded = false; ///< Whether the request that is arriving is recorded in HttpSharedState::occupancy.
    std::optional<typename HttpOccupancy<HttpSession>::Slot> slot; ///< Set once the connection is started.
    std::array<char, FirstReadBytes> firstBytes; ///< Target of the outstanding read; separate from `buffer`, which may be used meanwhile.
    boost::beast::flat_buffer buffer; ///< Bytes received and not yet parsed.
    std::optional<Parser> parser; ///< Parser of the current request.
    std::size_t fieldBytes = 0; ///< Memory of the current request's header fields; 0 before they are counted.
    HttpReplyFormat replyFormat; ///< Format of the reply to the current request.
    std::optional<RequestId> awaitedCall; ///< Call whose reply is awaited.
    std::optional<HttpResponse> response; ///< Reply that is being written.
    WorkCounter::Token writeToken; ///< Counts the reply in HttpSharedState::unwrittenReplies until it is written.
};

} // namespace Tanagertally
