#include "platform.h"

#include "duration_func.h"
#include "platform_codec.h"
#include "run_time.h"

#include <boost/outcome/try.hpp>

namespace Tanagertally::Standins {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view ObjectPath = "/v1/objects/";

HttpReply json(unsigned status, const nlohmann::json &document)
{
    constexpr auto Replace = nlohmann::json::error_handler_t::replace;
    return HttpReply{status, document.dump(-1, ' ', false, Replace), "application/json", {}};
}

HttpReply messageReply(unsigned status, std::string_view message)
{
    return json(status, nlohmann::json{{"message", message}});
}

} // namespace

Platform::Platform(Private, const PlatformOptions &options)
    : members(options.listLag)
    , writes(options.speed.writeRate, options.speed.maxWait)
    , reads(options.speed.readRate, options.speed.maxWait)
    , pace(options.speed)
    , engine(options.seed)
{
}

Result<std::unique_ptr<Platform>> Platform::create(boost::asio::io_context &io, PlatformOptions options)
{
    auto platform = std::make_unique<Platform>(Private(), options);
    HttpHandlers handlers{[self = platform.get()](const HttpConnectionPtr &connection) { self->serve(connection); },
                          [](const HttpConnectionPtr &) {}};
    BOOST_OUTCOME_TRY(platform->listener, HttpListener::create(io, std::move(options.listen), std::move(handlers)));
    return platform;
}

std::string Platform::address() const
{
    return this->listener->address();
}

PlatformTable &Platform::table()
{
    return this->rows;
}

ObjectStore &Platform::objects()
{
    return this->store;
}

LaggingList &Platform::list()
{
    return this->members;
}

const ClientFaults &Platform::faults() const
{
    return this->clientFaults;
}

void Platform::placeClient(const std::string &instance, const std::string &domain)
{
    this->clientFaults.place(instance, domain);
}

Result<void> Platform::changeFaults(const ClientScope &scope, const PlatformFaultsChange &change)
{
    this->clientFaults.change(scope, change);
    return this->applyOutage();
}

Result<void> Platform::clearFaults(const ClientScope &scope)
{
    this->clientFaults.clear(scope);
    return this->applyOutage();
}

Result<void> Platform::cut(const ClientScope &scope)
{
    PlatformFaultsChange change;
    change.cut = true;
    BOOST_OUTCOME_TRY(this->changeFaults(scope, change));
    this->listener->forEachConnection([this, scope](HttpConnection &connection) {
        if (this->clientFaults.covers(scope, connection.client)) {
            connection.silence();
        }
    });
    return boost::outcome_v2::success();
}

void Platform::heal(const ClientScope &scope)
{
    this->clientFaults.heal(scope);
}

Result<void> Platform::applyOutage()
{
    if (this->clientFaults.faultsForAll().outage != Outage::Refused) {
        return this->listener->open();
    }
    this->listener->close();
    this->listener->closeConnections();
    return boost::outcome_v2::success();
}

void Platform::changeSpeed(const PlatformSpeedChange &change)
{
    const std::lock_guard lock(this->mutex);
    this->pace.writeLatency = change.writeLatency.value_or(this->pace.writeLatency);
    this->pace.readLatency = change.readLatency.value_or(this->pace.readLatency);
    this->pace.writeRate = change.writeRate.value_or(this->pace.writeRate);
    this->pace.readRate = change.readRate.value_or(this->pace.readRate);
    this->writes.setRate(this->pace.writeRate);
    this->reads.setRate(this->pace.readRate);
}

PlatformSpeed Platform::speed() const
{
    const std::lock_guard lock(this->mutex);
    return this->pace;
}

PlatformCounters Platform::counters() const
{
    const std::lock_guard lock(this->mutex);
    return this->counts;
}

void Platform::resetCounters()
{
    this->rows.resetCounters();
    this->store.resetCounters();
    const std::lock_guard lock(this->mutex);
    this->counts = PlatformCounters();
}

void Platform::count(std::uint64_t PlatformCounters::*counter)
{
    const std::lock_guard lock(this->mutex);
    (this->counts.*counter)++;
}

bool Platform::drawLostAnswer(double probability)
{
    const std::lock_guard lock(this->mutex);
    return drawChance(probability, this->engine);
}

void Platform::serve(const HttpConnectionPtr &connection)
{
    this->count(&PlatformCounters::requests);
    if (std::string name = connection->header("Client-Instance"); !name.empty()) {
        connection->client = std::move(name);
    }
    if (!this->isOut(connection)) {
        this->dispatch(connection);
    }
}

bool Platform::isOut(const HttpConnectionPtr &connection)
{
    const PlatformFaults faults = this->clientFaults.faultsFor(connection->client);
    if (faults.cut || faults.outage == Outage::Silent) {
        this->count(&PlatformCounters::swallowed);
        connection->swallow();
        return true;
    }
    if (faults.outage == Outage::Refused) {
        this->count(&PlatformCounters::closed);
        connection->drop();
        return true;
    }
    if (faults.outage == Outage::Unavailable) {
        this->count(&PlatformCounters::unavailable);
        connection->reply(messageReply(503, "unavailable"));
        return true;
    }
    return false;
}

void Platform::dispatch(const HttpConnectionPtr &connection)
{
    const HttpRequest &request = connection->request();
    const std::string target(request.target());
    if (request.method() == http::verb::post && target == "/v1/transact") {
        this->serveTransact(connection);
    } else if (request.method() == http::verb::post && target == "/v1/read") {
        this->serveRead(connection);
    } else if (request.method() == http::verb::get && target == "/v1/instances") {
        this->count(&PlatformCounters::listReads);
        this->schedule(connection, Access::Read,
                       [this] { return json(200, membersToJson(this->members.shown(LaggingList::TimePoint::clock::now()))); });
    } else if (target.starts_with(ObjectPath)) {
        const Result<std::string> name = decodePercent(std::string_view(target).substr(ObjectPath.size()));
        if (!name || name.value().empty()) {
            this->refuse(connection, 400, "malformed object name");
            return;
        }
        this->serveObject(connection, name.value());
    } else {
        this->refuse(connection, 404, "no such page");
    }
}

void Platform::refuse(const HttpConnectionPtr &connection, unsigned status, std::string_view message)
{
    this->count(&PlatformCounters::malformed);
    connection->reply(messageReply(status, message));
}

void Platform::serveTransact(const HttpConnectionPtr &connection)
{
    Result<Transaction> read = readTransaction(connection->request().body());
    if (!read) {
        this->refuse(connection, 400, read.error().message);
        return;
    }
    this->schedule(connection, Access::Write, [this, transaction = std::move(read).value()] {
        const TransactionResult result = this->rows.transact(transaction);
        return result.committed ? json(200, rowsToJson(result.rows, RowValues::LeftOut))
                                : json(409, rowsToJson(result.rows, RowValues::Included));
    });
}

void Platform::serveRead(const HttpConnectionPtr &connection)
{
    Result<TableQuery> read = readQuery(connection->request().body());
    if (!read) {
        this->refuse(connection, 400, read.error().message);
        return;
    }
    this->schedule(connection, Access::Read,
                   [this, query = std::move(read).value()] { return json(200, rowsToJson(this->rows.read(query), RowValues::Included)); });
}

void Platform::serveObject(const HttpConnectionPtr &connection, std::string name)
{
    if (connection->request().method() == http::verb::put) {
        this->schedule(connection, Access::Write, [this, name = std::move(name), body = connection->request().body()] {
            this->store.put(name, body);
            return HttpReply{200, "{}", "application/json", {}};
        });
        return;
    }
    if (connection->request().method() != http::verb::get) {
        this->refuse(connection, 404, "no such page");
        return;
    }
    this->schedule(connection, Access::Read, [this, name = std::move(name)] {
        std::optional<std::string> body = this->store.get(name);
        return body ? HttpReply{200, std::move(*body), "application/octet-stream", {}} : messageReply(404, "no such object");
    });
}

void Platform::schedule(const HttpConnectionPtr &connection, Access access, Work work)
{
    RateLimiter &limiter = access == Access::Write ? this->writes : this->reads;
    const std::optional<Duration> turn = limiter.reserve(RateLimiter::TimePoint::clock::now());
    if (!turn) {
        this->count(&PlatformCounters::overRate);
        connection->reply(messageReply(503, "over the rate"));
        return;
    }
    const PlatformSpeed speed = this->speed();
    const PlatformFaults faults = this->clientFaults.faultsFor(connection->client);
    const Duration base = access == Access::Write ? speed.writeLatency : speed.readLatency;
    const Duration latency = scale(base + faults.extraLatency, faults.slowFactor);
    const Duration before = *turn + latency / 2;
    connection->later(before, [this, connection, access, latency, work = std::move(work)] {
        HttpReply reply = work();
        connection->later(latency / 2, [this, connection, access, reply = std::move(reply)] { this->answer(connection, access, reply); });
    });
}

void Platform::answer(const HttpConnectionPtr &connection, Access access, HttpReply reply)
{
    const PlatformFaults faults = this->clientFaults.faultsFor(connection->client);
    if (faults.cut || faults.outage == Outage::Silent) {
        this->count(&PlatformCounters::lostAnswers);
        connection->swallow();
        return;
    }
    if (faults.outage == Outage::Refused || (access == Access::Write && this->drawLostAnswer(faults.lostAnswerProbability))) {
        this->count(&PlatformCounters::lostAnswers);
        connection->drop();
        return;
    }
    connection->reply(std::move(reply));
}

} // namespace Tanagertally::Standins
