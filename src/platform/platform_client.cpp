#include "platform/platform_client.h"

#include "endpoint/http_pool.h"
#include "endpoint/net_address_func.h"
#include "endpoint/percent_func.h"
#include "platform/platform_codec.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>

namespace Tanagertally {

namespace asio = boost::asio;

namespace {

constexpr std::size_t ReadBufferBytes = std::size_t(64) << 10; // A list or an object of 1 MB takes 16 turns of the event loop.
/** Time without a byte after which the rest of a response is given up. A large one may take any time as long as it keeps arriving. */
constexpr std::chrono::milliseconds ProgressTime{600};

HttpPoolOptions toPoolOptions(const PlatformClientOptions &options, std::uint32_t connections)
{
    HttpPoolOptions poolOptions;
    poolOptions.connection.connectTimeout = options.connectTimeout;
    poolOptions.connection.maxAnswerBytes = options.maxAnswerBytes;
    poolOptions.connection.readBufferBytes = ReadBufferBytes;
    poolOptions.maxConnections = connections;
    poolOptions.maxWaiting = options.maxWaiting;
    return poolOptions;
}

} // namespace

/** Implementation of PlatformClient. Thread safety: as PlatformClient; private methods run on the strand of `listPool`. */
class PlatformClient::Impl : public std::enable_shared_from_this<PlatformClient::Impl>
{
public:
    Impl(asio::io_context &io, EventQueue &eventQueue, PlatformClientOptions clientOptions, const asio::ip::tcp::endpoint &address);
    void startListing();
    void sendRequest(SendPlatformRequest action);
    void close();
    std::uint64_t listFailures() const;

private:
    void requestList();
    void onListResult(const HttpResult &result);
    void scheduleNextList();

    EventQueue &events; ///< Receives PlatformReplied and InstanceListRead.
    PlatformClientOptions options; ///< Configuration.
    PlatformRequestFields fields; ///< Common header fields.
    std::shared_ptr<HttpPool> requestPool; ///< Connections for requests.
    std::shared_ptr<HttpPool> listPool; ///< Separate connection for the instance list, so that slow requests don't delay it.
    asio::steady_timer listTimer; ///< Time of the next request for the instance list.
    bool closed = false; ///< Whether polling of the instance list has stopped.
    std::atomic<std::uint64_t> listFailureCount = 0; ///< Number of failed requests for the instance list.
};

PlatformClient::Impl::Impl(asio::io_context &io, EventQueue &eventQueue, PlatformClientOptions clientOptions,
                           const asio::ip::tcp::endpoint &address)
    : events(eventQueue)
    , options(std::move(clientOptions))
    , fields{this->options.address.value, percentEncode(this->options.instance.value)}
    , requestPool(HttpPool::create(io, address, toPoolOptions(this->options, this->options.connections)))
    , listPool(HttpPool::create(io, address, toPoolOptions(this->options, 1)))
    , listTimer(this->listPool->executor())
{
}

void PlatformClient::Impl::startListing()
{
    asio::post(this->listPool->executor(), [self = this->shared_from_this()] { self->requestList(); });
}

void PlatformClient::Impl::sendRequest(SendPlatformRequest action)
{
    const SteadyTimePoint deadline = std::chrono::steady_clock::now() + action.timeout;
    auto startCall = [self = this->shared_from_this(), action = std::move(action), deadline]() mutable {
        auto request = makePlatformRequest(action.request, self->fields);
        if (!request) {
            self->events.push(PlatformReplied{action.id, PlatformUnavailable{false, request.error().message}});
            return;
        }
        HttpCall call;
        call.id = HttpCallId(action.id.value);
        call.request = std::move(request).value();
        call.deadline = deadline;
        call.progressTime = ProgressTime;
        call.done = [self, id = action.id, platformRequest = std::move(action.request)](HttpResult result) {
            self->events.push(PlatformReplied{id, toPlatformReply(platformRequest, std::move(result))});
        };
        self->requestPool->start(std::move(call));
    };
    asio::post(this->requestPool->executor(), std::move(startCall));
}

void PlatformClient::Impl::close()
{
    asio::post(this->requestPool->executor(), [self = this->shared_from_this()] { self->requestPool->close(); });
    asio::post(this->listPool->executor(), [self = this->shared_from_this()] {
        self->closed = true;
        self->listTimer.cancel();
        self->listPool->close();
    });
}

std::uint64_t PlatformClient::Impl::listFailures() const
{
    return this->listFailureCount.load(std::memory_order_relaxed);
}

void PlatformClient::Impl::requestList()
{
    if (this->closed) {
        return;
    }
    HttpCall call;
    call.request = makeInstancesRequest(this->fields);
    call.deadline = std::chrono::steady_clock::now() + this->options.listTimeout;
    call.progressTime = ProgressTime;
    call.done = [self = this->shared_from_this()](const HttpResult &result) { self->onListResult(result); };
    this->listPool->start(std::move(call));
}

void PlatformClient::Impl::onListResult(const HttpResult &result)
{
    const bool answered = result.delivery == Delivery::Answered && result.answer.result() == boost::beast::http::status::ok;
    auto list = answered ? instanceListFromJson(result.answer.body()) : makeError(ErrorCode::Unavailable, result.error);
    if (list) {
        this->events.push(InstanceListRead{std::move(list).value()});
    } else {
        this->listFailureCount.fetch_add(1, std::memory_order_relaxed);
    }
    this->scheduleNextList();
}

void PlatformClient::Impl::scheduleNextList()
{
    if (this->closed) {
        return;
    }
    this->listTimer.expires_after(this->options.listInterval);
    this->listTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->requestList();
        }
    });
}

Result<std::unique_ptr<PlatformClient>> PlatformClient::create(asio::io_context &io, EventQueue &events, PlatformClientOptions options)
{
    const auto address = toSocketAddress(options.address);
    if (!address) {
        return address.error();
    }
    if (options.connections == 0) {
        return makeError(ErrorCode::BadInput, "expected at least one connection", "connections");
    }
    if (options.listInterval <= Duration::zero()) {
        return makeError(ErrorCode::BadInput, "expected a positive time", "listInterval");
    }
    auto implementation = std::make_shared<Impl>(io, events, std::move(options), address.value());
    implementation->startListing();
    return std::unique_ptr<PlatformClient>(new PlatformClient(std::move(implementation)));
}

PlatformClient::PlatformClient(std::shared_ptr<Impl> implementation)
    : impl(std::move(implementation))
{
}

PlatformClient::~PlatformClient()
{
    this->close();
}

void PlatformClient::execute(SendPlatformRequest action)
{
    this->impl->sendRequest(std::move(action));
}

void PlatformClient::close()
{
    this->impl->close();
}

std::uint64_t PlatformClient::listFailures() const
{
    return this->impl->listFailures();
}

} // namespace Tanagertally
