#include "endpoint.h"

#include <algorithm>
#include <boost/outcome/try.hpp>

namespace Tanagertally::Standins {

namespace {

constexpr std::string_view PlainText = "text/plain";

HttpReply notStarted(std::string reason)
{
    return HttpReply{503, "not started: " + reason, std::string(PlainText), {{"Not-Started", std::move(reason)}}};
}

HttpReply plain(unsigned status, std::string text)
{
    return HttpReply{status, std::move(text), std::string(PlainText), {}};
}

} // namespace

Endpoint::Endpoint(Private, EndpointOptions options, const RunTimeTable &runTimes, StartLedger &startLedger)
    : where(std::move(options.place))
    , table(runTimes)
    , ledger(startLedger)
{
}

Result<std::unique_ptr<Endpoint>> Endpoint::create(boost::asio::io_context &io, EndpointOptions options, const RunTimeTable &table,
                                                   StartLedger &ledger)
{
    HttpListenerOptions listen = options.listen;
    auto endpoint = std::make_unique<Endpoint>(Private(), std::move(options), table, ledger);
    HttpHandlers handlers{[self = endpoint.get()](const HttpConnectionPtr &connection) { self->serve(connection); },
                          [self = endpoint.get()](const HttpConnectionPtr &) { self->count(&EndpointCounters::cut); }};
    BOOST_OUTCOME_TRY(endpoint->listener, HttpListener::create(io, std::move(listen), std::move(handlers)));
    return endpoint;
}

const EndpointPlace &Endpoint::place() const
{
    return this->where;
}

std::string Endpoint::address() const
{
    return this->listener->address();
}

EndpointState Endpoint::state() const
{
    const std::lock_guard lock(this->mutex);
    return this->life;
}

EndpointFaults Endpoint::faults() const
{
    const std::lock_guard lock(this->mutex);
    return this->present;
}

void Endpoint::setFaults(const EndpointFaults &faults)
{
    const std::lock_guard lock(this->mutex);
    this->present = faults;
}

void Endpoint::leave(bool refuses)
{
    const std::lock_guard lock(this->mutex);
    if (this->life != EndpointState::Live) {
        return;
    }
    this->life = EndpointState::Leaving;
    this->refusesWhenLeaving = refuses;
    this->leftAt = Clock::now();
}

void Endpoint::kill()
{
    {
        const std::lock_guard lock(this->mutex);
        this->life = EndpointState::Killed;
        this->counters.killed += this->running;
        this->running = 0;
        this->lives++;
    }
    this->listener->close();
    this->listener->closeConnections();
}

Result<void> Endpoint::revive()
{
    BOOST_OUTCOME_TRY(this->listener->open());
    const std::lock_guard lock(this->mutex);
    this->life = EndpointState::Live;
    return boost::outcome_v2::success();
}

std::size_t Endpoint::silenceConnections()
{
    return this->listener->silenceConnections();
}

EndpointReport Endpoint::report() const
{
    const std::lock_guard lock(this->mutex);
    return EndpointReport{this->where,
                          this->listener->address(),
                          this->life,
                          this->present,
                          this->counters,
                          this->running,
                          this->listener->connectionCount(),
                          this->listener->connectionsOverLimit()};
}

void Endpoint::resetCounters()
{
    const std::lock_guard lock(this->mutex);
    this->counters = EndpointCounters();
}

void Endpoint::count(std::uint64_t EndpointCounters::*counter)
{
    const std::lock_guard lock(this->mutex);
    (this->counters.*counter)++;
}

void Endpoint::serve(const HttpConnectionPtr &connection)
{
    namespace http = boost::beast::http;
    const HttpRequest &request = connection->request();
    if (request.method() == http::verb::post && request.target() == "/run") {
        this->serveRun(connection);
        return;
    }
    if (request.method() == http::verb::get && request.target() == "/health") {
        this->serveHealth(connection);
        return;
    }
    this->count(&EndpointCounters::malformed);
    connection->reply(plain(404, "no such page"));
}

void Endpoint::serveHealth(const HttpConnectionPtr &connection)
{
    std::unique_lock lock(this->mutex);
    if (this->present.silent) {
        lock.unlock();
        connection->swallow();
        return;
    }
    this->counters.probes++;
    const bool leaving = this->life == EndpointState::Leaving;
    lock.unlock();
    connection->reply(HttpReply{200, leaving ? R"({"state":"leaving"})" : R"({"state":"live"})", "application/json", {}});
}

void Endpoint::serveRun(const HttpConnectionPtr &connection)
{
    Result<TaskRequest> request = readTask(connection->header("Task-Id"), connection->header("Task-Kind"), connection->request().body());
    if (!request) {
        this->count(&EndpointCounters::malformed);
        connection->reply(plain(400, request.error().message));
        return;
    }
    const Admitted admitted = this->admit(request.value());
    switch (admitted.admission) {
    case Admission::Started:
        this->run(connection, std::move(request).value(), admitted);
        return;
    case Admission::Busy:
        connection->reply(notStarted("busy"));
        return;
    case Admission::Leaving:
        connection->reply(notStarted("leaving"));
        return;
    case Admission::Swallowed:
        connection->swallow();
        return;
    case Admission::Dead:
        connection->drop();
        return;
    }
}

Endpoint::Admitted Endpoint::admit(const TaskRequest &request)
{
    const std::lock_guard lock(this->mutex);
    if (this->life == EndpointState::Killed) {
        return Admitted{Admission::Dead, {}, 0};
    }
    if (this->present.silent) {
        this->counters.swallowed++;
        return Admitted{Admission::Swallowed, {}, 0};
    }
    if (this->life == EndpointState::Leaving && this->refusesWhenLeaving) {
        this->counters.refusedLeaving++;
        this->countAfterLeaving(false);
        return Admitted{Admission::Leaving, {}, 0};
    }
    if (this->present.refuseBusy || this->running >= this->where.slots) {
        this->counters.refusedBusy++;
        return Admitted{Admission::Busy, {}, 0};
    }
    if (this->life == EndpointState::Leaving) {
        this->countAfterLeaving(true);
    }
    this->running++;
    this->counters.started++;
    this->starts++;
    this->ledger.record(request.task, request.kind, this->where.worker);
    return Admitted{Admission::Started, planRun(request, this->table, this->present, this->where.worker, this->starts), this->lives};
}

void Endpoint::countAfterLeaving(bool started)
{
    AfterLeaving &after = this->counters.afterLeaving;
    (started ? after.started : after.refused)++;
    after.last = Clock::now() - this->leftAt;
    const auto second = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(after.last).count());
    after.bySecond[std::min(second, SecondsCounted - 1)]++;
}

void Endpoint::run(const HttpConnectionPtr &connection, TaskRequest request, const Admitted &admitted)
{
    connection->later(admitted.plan.runTime, [this, connection, request = std::move(request), admitted] {
        {
            const std::lock_guard lock(this->mutex);
            if (admitted.life != this->lives) {
                return;
            }
            this->running--;
            this->countEnd(admitted.plan);
        }
        connection->later(admitted.plan.lateBy, [this, connection, request, admitted] { this->finish(connection, request, admitted); });
    });
}

void Endpoint::countEnd(const RunPlan &plan)
{
    this->counters.succeeded += plan.outcome == RunOutcome::Succeed ? 1 : 0;
    this->counters.taskFailed += plan.outcome == RunOutcome::FailTask ? 1 : 0;
    this->counters.endpointFailed += plan.outcome == RunOutcome::FailEndpoint ? 1 : 0;
    this->counters.dropped += plan.drop ? 1 : 0;
    this->counters.late += !plan.drop && plan.lateBy > Duration::zero() ? 1 : 0;
}

void Endpoint::finish(const HttpConnectionPtr &connection, const TaskRequest &request, const Admitted &admitted)
{
    if (admitted.plan.drop) {
        connection->drop();
        return;
    }
    if (this->faults().silent) {
        connection->swallow();
        return;
    }
    switch (admitted.plan.outcome) {
    case RunOutcome::Succeed:
        connection->reply(HttpReply{200, answerBody(request), "application/json", {{"Worker", this->where.worker}}});
        return;
    case RunOutcome::FailTask:
        connection->reply(plain(422, "the task fails by its payload"));
        return;
    case RunOutcome::FailEndpoint:
        connection->reply(plain(500, "the endpoint failed"));
        return;
    }
}

} // namespace Tanagertally::Standins
