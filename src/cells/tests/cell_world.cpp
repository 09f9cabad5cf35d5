#include "cells/tests/cell_world.h"

#include "cells/store_rows.h"

#include <algorithm>

namespace Tanagertally::Cells::Test {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration StoreDelay = std::chrono::milliseconds(5);
constexpr Duration OrderDelay = std::chrono::milliseconds(1);
constexpr Duration AnswerTimeout = std::chrono::milliseconds(400);

Duration milliseconds(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

} // namespace

CellWorld::CellWorld(std::size_t endpointCount, std::uint64_t seed)
    : now(std::chrono::seconds(100))
    , random(seed)
{
    for (std::size_t number = 0; number < endpointCount; ++number) {
        EndpointModel endpoint;
        endpoint.record.name = EndpointName("e" + std::to_string(number));
        endpoint.record.service = ServiceName("service");
        endpoint.record.address = NetAddress("10.0.0." + std::to_string(number) + ":1");
        endpoint.record.domain = FailureDomain("cell");
        endpoint.record.capacity = {2000, 1000, 0};
        endpoint.clockOffsetMs = static_cast<std::int64_t>(number) * 1000;
        this->endpoints.push_back(std::move(endpoint));
    }
}

std::size_t CellWorld::addLeader()
{
    const std::size_t index = this->leaders.size();
    this->leaders.emplace_back();
    CellLeaderOptions options{CellName("cell"), InstanceName("i" + std::to_string(index)), Incarnation(index + 1), LeaseTerms(),
                              this->store.maxRowBytes};
    options.admitMemory = [this](std::size_t bytes) { return this->admitMemory(bytes); };
    this->leaders.back().leader = std::make_unique<CellLeader>(options, this->now);
    this->registerEndpoints(index);
    return index;
}

void CellWorld::registerEndpoints(std::size_t leader)
{
    std::vector<EndpointRecord> records;
    for (const EndpointModel &endpoint : this->endpoints) {
        if (endpoint.isUp) {
            records.push_back(endpoint.record);
        }
    }
    this->leaders[leader].leader->setEndpoints(this->now, records);
    this->runActions(leader);
}

void CellWorld::advanceTime(Duration duration)
{
    this->advanceUntil([] { return false; }, duration);
}

bool CellWorld::advanceUntil(const std::function<bool()> &holds, Duration limit)
{
    const TimePoint end = this->now + limit;
    while (this->now < end && !holds()) {
        const TimePoint next = this->now + TickInterval;
        while (!this->queue.empty() && this->queue.begin()->first <= next) {
            auto entry = this->queue.extract(this->queue.begin());
            this->now = std::max(this->now, entry.key());
            for (EndpointModel &endpoint : this->endpoints) {
                endpoint.advance(this->now);
            }
            entry.mapped()();
        }
        this->now = next;
        for (EndpointModel &endpoint : this->endpoints) {
            endpoint.advance(this->now);
        }
        this->onTick();
        for (std::size_t leader = 0; leader < this->leaders.size(); ++leader) {
            if (this->leaders[leader].isUp && !this->leaders[leader].isSuspended) {
                this->leaders[leader].leader->advance(this->now);
                this->runActions(leader);
            }
        }
    }
    return holds();
}

CallId CellWorld::submit(std::size_t leader, const JobId &id, std::uint32_t count, bool isBestEffort, std::uint32_t maxAttempts,
                         bool mayHaveRun)
{
    StepSpec step;
    step.count = count;
    step.demand = {1000, 10, 0};
    step.estimate = this->workTime;
    JobSpec spec{std::make_shared<const std::string>("payload"), {step}, isBestEffort};
    JobTerms terms{QueueName("queue"), ServiceName("service"), 0, maxAttempts, 1.6, milliseconds(60)};
    const CallId call(++this->lastCall);
    if (isBestEffort) {
        this->bestEffortJobs.insert(id);
    }
    if (isBestEffort && !mayHaveRun) {
        this->bestEffortCalls.emplace(call, id);
    }
    if (!isBestEffort) {
        this->maxAttempts[id] = maxAttempts;
    }
    this->leaders[leader].leader->submit(this->now, call, id, std::move(spec), std::move(terms), mayHaveRun);
    this->runActions(leader);
    return call;
}

CallId CellWorld::submit(std::size_t leader, const JobId &id, JobSpec spec, JobTerms terms)
{
    const CallId call(++this->lastCall);
    if (spec.isBestEffort) {
        this->bestEffortJobs.insert(id);
        this->bestEffortCalls.emplace(call, id);
    } else {
        this->maxAttempts[id] = terms.maxAttempts;
    }
    this->leaders[leader].leader->submit(this->now, call, id, std::move(spec), std::move(terms));
    this->runActions(leader);
    return call;
}

void CellWorld::allowReruns(const JobId &id)
{
    this->bestEffortJobs.insert(id);
}

void CellWorld::withdraw(std::size_t leader, CallId call)
{
    this->leaders[leader].leader->withdraw(this->now, call);
    this->runActions(leader);
}

CallId CellWorld::cancel(std::size_t leader, const JobId &id)
{
    const CallId call(++this->lastCall);
    this->leaders[leader].leader->cancel(this->now, call, id);
    this->runActions(leader);
    return call;
}

void CellWorld::resume(std::size_t leader)
{
    this->leaders[leader].isSuspended = false;
    for (const Handler &handler : std::exchange(this->leaders[leader].heldResults, {})) {
        handler();
    }
    this->runActions(leader);
}

void CellWorld::restartEndpoint(std::size_t endpoint, std::size_t leader)
{
    this->endpoints[endpoint].restart(this->now);
    this->registerEndpoints(leader);
}

bool CellWorld::shows(std::size_t leader, const JobId &id, JobState state)
{
    const JobAnswer answer = this->leaders[leader].leader->query(id);
    return answer.kind == JobAnswer::Kind::Known && answer.state == state;
}

bool CellWorld::isAccepted(std::size_t leader, CallId call) const
{
    const auto found = this->leaders[leader].submitAnswers.find(call);
    return found != this->leaders[leader].submitAnswers.end() && found->second.verdict == SubmitVerdict::Accepted;
}

std::size_t CellWorld::startsOf(const TaskRef &task) const
{
    const auto found = this->starts.find(task);
    return found == this->starts.end() ? 0 : found->second.size();
}

void CellWorld::schedule(TimePoint time, Handler handler)
{
    this->queue.emplace(time, std::move(handler));
}

void CellWorld::runActions(std::size_t leader)
{
    for (CellAction &action : this->leaders[leader].leader->takeActions()) {
        this->execute(leader, action);
    }
}

void CellWorld::deliver(std::size_t leader, Handler handler)
{
    if (!this->leaders[leader].isUp) {
        return;
    }
    if (this->leaders[leader].isSuspended) {
        this->leaders[leader].heldResults.push_back(std::move(handler));
        return;
    }
    handler();
    this->runActions(leader);
}

template<typename Result, typename Do, typename OnResult>
void CellWorld::call(std::size_t leader, CallOutcome outcome, Duration delay, Do operation, Result refused, Result unknown,
                     OnResult onResult)
{
    const auto deliverResult = [this, leader, onResult](Result result) { this->deliver(leader, [onResult, result] { onResult(result); }); };
    switch (this->leaders[leader].isCutOff ? CallOutcome::Lost : outcome) {
    case CallOutcome::Answered:
        this->schedule(this->now + delay / 2, [this, delay, operation, deliverResult] {
            Result result = operation();
            this->schedule(this->now + delay / 2, [deliverResult, result] { deliverResult(result); });
        });
        return;
    case CallOutcome::AnswerLost:
        this->schedule(this->now + delay / 2, [operation] { operation(); });
        this->schedule(this->now + AnswerTimeout, [deliverResult, unknown] { deliverResult(unknown); });
        return;
    case CallOutcome::Reset:
        this->schedule(this->now + delay / 2, [operation] { operation(); });
        this->schedule(this->now + delay, [deliverResult, unknown] { deliverResult(unknown); });
        return;
    case CallOutcome::ExecutedLate:
        this->schedule(this->now + milliseconds(1000 + static_cast<std::int64_t>(drawBelow(this->random, 5000))),
                       [operation] { operation(); });
        this->schedule(this->now + AnswerTimeout, [deliverResult, unknown] { deliverResult(unknown); });
        return;
    case CallOutcome::Refused:
        this->schedule(this->now + delay, [deliverResult, refused] { deliverResult(refused); });
        return;
    case CallOutcome::Lost:
        this->schedule(this->now + AnswerTimeout, [deliverResult, unknown] { deliverResult(unknown); });
        return;
    }
}

/** @return An operation that executes an order unless its endpoint has restarted meanwhile and orders don't outlast restarts. */
template<typename Order, typename Do>
auto CellWorld::toIncarnation(const Order &order, Do operation)
{
    return [this, order, operation, born = this->find(order.endpoint)->record.born] {
        const bool isLost = this->doRestartsEndLateOrders && this->find(order.endpoint)->record.born != born;
        return isLost ? decltype(operation(order)){} : operation(order);
    };
}

void CellWorld::execute(std::size_t index, CellAction &action)
{
    const auto leader = [this, index]() -> CellLeader & { return *this->leaders[index].leader; };
    if (auto *commit = std::get_if<CommitTransaction>(&action)) {
        ++this->transactionCount;
        const StoreTransaction &sent = commit->transaction;
        this->largestTransaction = std::max(this->largestTransaction, sent.conditions.size() + sent.writes.size() + sent.removals.size());
        TransactionResult refused;
        refused.outcome = TransactionOutcome::NotApplied;
        this->call(
            index, this->storeOutcome(), StoreDelay, [this, transaction = commit->transaction] { return this->store.apply(transaction); },
            refused, TransactionResult(), [this, leader](const TransactionResult &result) { leader().onCommitted(this->now, result); });
    } else if (auto *read = std::get_if<ReadLeadRow>(&action)) {
        this->call(
            index, this->storeOutcome(), StoreDelay,
            [this, key = read->key] {
                return this->store.read({key.table, key.partition, key.key, 0});
            },
            ReadResult(), ReadResult(), [this, leader](const ReadResult &result) { leader().onLeadRead(this->now, result); });
    } else if (auto *cell = std::get_if<ReadCellRows>(&action)) {
        this->call(
            index, CallOutcome::Answered, StoreDelay, [this, name = cell->cell] { return this->readContent(name); }, CellContent(),
            CellContent(), [this, leader](const CellContent &content) { leader().onRecovered(this->now, content); });
    } else if (auto *start = std::get_if<StartRun>(&action)) {
        const bool isReachable = this->find(start->endpoint)->isReachable;
        this->call(index, isReachable ? this->startOutcome() : CallOutcome::Lost, this->startDelay(),
                   this->toIncarnation(*start, [this](const StartRun &order) { return this->start(order); }),
                   StartResult{StartResult::Kind::Unhealthy, ""}, StartResult(), [this, leader, order = *start](const StartResult &result) {
                       leader().onStarted(this->now, order.endpoint, order.task, order.run, result);
                   });
    } else if (auto *stop = std::get_if<StopRun>(&action)) {
        const bool isReachable = this->find(stop->endpoint)->isReachable;
        this->call(index, isReachable ? this->stopOutcome() : CallOutcome::Lost, OrderDelay,
                   this->toIncarnation(*stop, [this](const StopRun &order) { return this->stop(order); }), StopResult::Unknown,
                   StopResult::Unknown, [this, leader, order = *stop](StopResult result) {
                       leader().onStopped(this->now, order.endpoint, order.task, order.run, result);
                   });
    } else if (auto *hold = std::get_if<HoldEndpoint>(&action)) {
        const bool isReachable = this->find(hold->endpoint)->isReachable;
        this->call(index, isReachable ? this->orderOutcome() : CallOutcome::Lost, OrderDelay + hold->maxDelay / 20,
                   this->toIncarnation(*hold, [this](const HoldEndpoint &order) { return this->hold(order); }), HoldResult(), HoldResult(),
                   [this, leader, name = hold->endpoint](const HoldResult &result) { leader().onHoldAnswered(this->now, name, result); });
    } else if (auto *submitted = std::get_if<AnswerSubmission>(&action)) {
        this->checkAnswer(*submitted);
        this->leaders[index].submitAnswers[submitted->call] = submitted->answer;
    } else if (auto *cancelled = std::get_if<AnswerCancel>(&action)) {
        this->leaders[index].cancelAnswers[cancelled->call] = cancelled->answer;
    } else if (std::holds_alternative<LeadEnded>(action)) {
        this->leaders[index].hasEnded = true;
    }
}

CellContent CellWorld::readContent(const CellName &cell)
{
    CellContent content;
    for (const Row &row : this->store.read({std::string(CellsTable), cell.value, "", 0}).rows) {
        if (row.key == rosterKey(cell)) {
            content.roster = decodeRoster(row.value).value();
        } else if (row.key == lossesKey(cell)) {
            content.losses = decodeLosses(row.value).value();
        }
    }
    for (const Row &row : this->store.read({std::string(ProgressTable), cell.value, "", 0}).rows) {
        content.progress.push_back({JobId(row.key.key), decodeProgress(row.value).value()});
    }
    for (const Row &row : this->store.read({std::string(JobsTable), cell.value, "", 0}).rows) {
        content.jobs.push_back(decodeJob(JobId(row.key.key), row.value).value());
    }
    return content;
}

StartResult CellWorld::start(const StartRun &order)
{
    EndpointModel *endpoint = this->find(order.endpoint);
    return endpoint->start(this->now, order, [this, endpoint](const StartRun &begun) {
        this->checkStart(begun.task, begun.run);
        const RunPlan plan = this->planRun(begun);
        if (endpoint->usedCpu() + plan.cpu > endpoint->record.capacity.cpu) {
            this->violations.push_back("more than its capacity on " + endpoint->record.name.value);
        }
        return plan;
    });
}

void CellWorld::checkStart(const TaskRef &task, RunNumber run)
{
    ++this->startCount;
    this->starts[task].push_back(run);
    this->lastStarts[task] = this->now;
    this->checkAttempts(task);
    this->started.insert(task.job);
    if (this->refused.contains(task.job)) {
        this->violations.push_back("a start after a refusal of " + task.job.value);
    }
    for (const EndpointModel &endpoint : this->endpoints) {
        if (endpoint.runsTask(task)) {
            this->violations.push_back("two runs at a time of " + task.job.value + "." + std::to_string(task.index));
        }
    }
    // A best-effort job may run again, as its ends are not stored.
    if (this->acknowledgedDone.contains(task) && !this->bestEffortJobs.contains(task.job)) {
        this->violations.push_back("a start after an acknowledged successful end of " + task.job.value + "." + std::to_string(task.index));
    }
}

StopResult CellWorld::stop(const StopRun &order)
{
    return this->find(order.endpoint)->stop(this->now, order);
}

HoldResult CellWorld::hold(const HoldEndpoint &order)
{
    return this->find(order.endpoint)->hold(this->now, order, [this](const ModelEnd &end) {
        const TaskRef &task = end.listed.task;
        if (end.listed.outcome == RunOutcome::Done) {
            this->acknowledgedDone.emplace(task, this->now);
        } else if (end.listed.outcome == RunOutcome::Failed) {
            this->acknowledgedFailures[task].insert(end.at);
            this->checkAttempts(task);
        }
    });
}

void CellWorld::checkAttempts(const TaskRef &task)
{
    const auto allowed = this->maxAttempts.find(task.job);
    const std::set<TimePoint> &failures = this->acknowledgedFailures[task];
    if (allowed == this->maxAttempts.end() || failures.size() < allowed->second) {
        return;
    }
    if (this->lastStarts[task] > *std::next(failures.begin(), allowed->second - 1)) {
        this->violations.push_back("a start after all attempts of " + task.job.value + "." + std::to_string(task.index) + " have failed");
    }
}

void CellWorld::checkAnswer(const AnswerSubmission &reply)
{
    const auto call = this->bestEffortCalls.find(reply.call);
    const bool isFinalRefusal = reply.answer.verdict == SubmitVerdict::Refused && reply.answer.reason != LeadMovedReason;
    if (call == this->bestEffortCalls.end() || !isFinalRefusal) {
        return;
    }
    this->refused.insert(call->second);
    if (this->started.contains(call->second)) {
        this->violations.push_back("a refusal after a start of " + call->second.value);
    }
}

EndpointModel *CellWorld::find(const EndpointName &name)
{
    return &*std::ranges::find_if(this->endpoints, [&name](const EndpointModel &endpoint) { return endpoint.record.name == name; });
}

} // namespace Tanagertally::Cells::Test
