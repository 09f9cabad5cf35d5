#include "worker.h"

#include <numeric>

namespace Tanagertally::Review {

namespace http = boost::beast::http;
using Platform::Test::jsonReply;
using Platform::Test::Reply;

namespace {

constexpr std::chrono::milliseconds Heartbeat{1500};
constexpr std::int64_t LongestHoldMs = 1000; // hold-max-ms
constexpr std::int64_t StopMs = 20; // Within stop-timeout-ms.
constexpr std::size_t MaxListedEnds = 500;
constexpr int MisdirectedRequest = 421;

} // namespace

TimePoint currentTime()
{
    return TimePoint(std::chrono::steady_clock::now().time_since_epoch());
}

Worker::Worker(boost::asio::io_context &context, WorkerPlan workerPlan, std::size_t workerNumber, CostOf cost, RecordLine recordLine)
    : plan(std::move(workerPlan))
    , costOf(std::move(cost))
    , record(std::move(recordLine))
    , number(workerNumber)
    , server(std::make_unique<Platform::Test::StandinServer>(
          context, [this](const HttpRequest &request, const Reply &reply) { this->serve(request, reply); }))
{
    this->beginLife();
}

void Worker::beginLife()
{
    this->id = "w" + std::to_string(this->number) + "-" + std::to_string(++this->life);
    this->token = 0;
    this->lastEnd = 0;
    this->leaseUntilMs = 0;
    this->runs.clear();
    this->ends.clear();
    this->endedRuns.clear();
    this->isUp = true;
    this->isAnnounced = false;
    this->registersAt = currentTime();
}

std::int64_t Worker::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(currentTime().time_since_epoch()).count() % 100'000'000
           + static_cast<std::int64_t>(this->number) * 100'000;
}

std::int64_t Worker::usedCpu() const
{
    return std::accumulate(this->runs.begin(), this->runs.end(), std::int64_t{},
                           [](std::int64_t sum, const auto &entry) { return sum + entry.second.cpu; });
}

bool Worker::takesWork() const
{
    return this->isUp && !this->leavesAt;
}

void Worker::close()
{
    this->server.reset();
}

void Worker::crash()
{
    this->record("worker " + this->id + " crashes with " + std::to_string(this->runs.size()) + " runs");
    this->isUp = false;
    this->runs.clear();
    this->holds.clear();
    this->lapsing.emplace(this->id, currentTime() + 3 * Heartbeat);
}

void Worker::restart()
{
    this->beginLife();
    this->record("worker " + this->id + " starts at the same address");
}

void Worker::drain(Duration remaining)
{
    this->record("worker " + this->id + " drains");
    this->leavesAt = currentTime() + remaining;
    this->isAnnounced = false;
}

void Worker::tick(Platform::Test::StoreStandin &store)
{
    const TimePoint now = currentTime();
    if (this->lapsing && now >= this->lapsing->second) {
        store.remove({"servers", "", this->lapsing->first});
        this->lapsing.reset();
    }
    if (!this->isUp) {
        return;
    }
    if (this->leavesAt && now >= *this->leavesAt) {
        this->record("worker " + this->id + " leaves with " + std::to_string(this->runs.size()) + " runs");
        this->isUp = false;
        this->runs.clear();
        this->holds.clear();
        store.remove({"servers", "", this->id});
        return;
    }
    this->endDueRuns();
    for (auto waiting = this->holds.begin(); waiting != this->holds.end();) {
        if (this->ends.empty() && now < waiting->until) {
            ++waiting;
            continue;
        }
        waiting->reply(this->lists());
        waiting = this->holds.erase(waiting);
    }
    if (this->isAnnounced && now < this->registersAt) {
        return;
    }
    this->isAnnounced = true;
    this->registersAt = now + Heartbeat;
    Json row = {{"service", "booking-api"},
                {"address", this->server->address().value},
                {"zone", this->plan.zone},
                {"version", "1"},
                {"slots", 8},
                {"state", this->leavesAt ? "draining" : "ready"},
                {"cold-left-ms", 0},
                {"seq-no", ++this->sequence},
                {"machine", "m" + std::to_string(this->number)},
                {"capacity", {{"cpu", this->plan.cpu}, {"mem-mb", this->plan.memoryMb}, {"gpu", 0}}},
                {"labels", this->plan.labels}};
    if (this->leavesAt) {
        row["remaining-ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*this->leavesAt - now).count();
    }
    store.write({"servers", "", this->id}, row.dump());
}

void Worker::endRun(const std::string &task, const std::string &how)
{
    const Run run = this->runs.at(task);
    this->runs.erase(task);
    std::uint64_t &highest = this->endedRuns[task];
    highest = std::max(highest, run.number);
    this->ends.push_back({++this->lastEnd, task, run.number, how});
    this->record("end " + task + " run " + std::to_string(run.number) + " on " + this->id + " " + how);
}

void Worker::endDueRuns()
{
    const TimePoint now = currentTime();
    const bool isLapsed = this->clockMs() > this->leaseUntilMs;
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto &[task, run] : this->runs) {
        if (isLapsed) {
            over.emplace_back(task, "lapsed");
        } else if (run.endsAt <= now) {
            over.emplace_back(task, run.how);
        }
    }
    for (const auto &[task, how] : over) {
        this->endRun(task, how);
    }
}

void Worker::grant(std::int64_t deadlineMs)
{
    this->leaseUntilMs = std::max(this->leaseUntilMs, std::min(deadlineMs, this->clockMs() + LongestHoldMs));
}

HttpReply Worker::refusal(const std::string &reason) const
{
    return jsonReply(http::status::conflict, Json{{"clock-ms", this->clockMs()}, {"reason", reason}}.dump());
}

HttpReply Worker::lists() const
{
    Json running = Json::array();
    for (const auto &[task, run] : this->runs) {
        running.push_back(Json::array({task, run.number, "", 100, run.cpu}));
    }
    Json finished = Json::array();
    for (const End &end : this->ends) {
        if (finished.size() == MaxListedEnds) {
            break;
        }
        finished.push_back(Json::array({end.number, end.task, end.run, end.how, ""}));
    }
    return jsonReply(http::status::ok, Json{{"clock-ms", this->clockMs()}, {"running", running}, {"finished", finished}}.dump());
}

HttpReply Worker::start(const Json &body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    const auto deadlineMs = body.at("deadline-ms").get<std::int64_t>();
    if (deadlineMs <= this->clockMs()) {
        return this->refusal("late");
    }
    const auto found = this->runs.find(task);
    const HttpReply started = jsonReply(http::status::ok, Json{{"clock-ms", this->clockMs()}}.dump());
    if (found != this->runs.end() && found->second.number == number) {
        this->grant(deadlineMs);
        return started;
    }
    const auto ended = this->endedRuns.find(task);
    if (found != this->runs.end() || (ended != this->endedRuns.end() && number <= ended->second)) {
        this->grant(deadlineMs);
        return this->refusal("old");
    }
    const std::optional<TaskCost> cost = this->costOf(task);
    if (!cost) {
        this->record("start " + task + " run " + std::to_string(number) + " on " + this->id + ": nobody sent it");
        return jsonReply(http::status::bad_request, Json{{"clock-ms", this->clockMs()}}.dump());
    }
    if (this->usedCpu() + cost->cpu > this->plan.cpu) {
        this->grant(deadlineMs);
        return this->refusal("room");
    }
    this->grant(deadlineMs);
    this->onStart(task);
    this->runs[task]
        = {number, body.at("spec").get<std::string>(), cost->cpu, currentTime() + cost->work, this->failsAll ? "failed" : "done"};
    this->record("start " + task + " run " + std::to_string(number) + " on " + this->id);
    return started;
}

HttpReply Worker::stop(const Json &body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    std::uint64_t &highest = this->endedRuns[task];
    highest = std::max(highest, number);
    const auto found = this->runs.find(task);
    if (found != this->runs.end() && found->second.number <= number) {
        found->second.how = "stopped";
        found->second.endsAt = std::min<TimePoint>(found->second.endsAt, currentTime() + std::chrono::milliseconds(StopMs));
    }
    return jsonReply(http::status::ok, Json{{"clock-ms", this->clockMs()}}.dump());
}

void Worker::hold(const Json &body, const Reply &reply)
{
    if (body.contains("deadline-ms")) {
        this->grant(body["deadline-ms"].get<std::int64_t>());
    }
    const auto cursor = body.at("ack-cursor").get<std::uint64_t>();
    std::erase_if(this->ends, [&](const End &end) {
        if (end.number > cursor) {
            return false;
        }
        this->record("noted " + end.task + " run " + std::to_string(end.run) + " on " + this->id + " " + end.how);
        return true;
    });
    const auto wait = std::chrono::milliseconds(body.value("wait-ms", 0));
    if (!this->ends.empty() || wait.count() == 0) {
        reply(this->lists());
        return;
    }
    this->holds.push_back({currentTime() + wait, reply});
}

void Worker::serve(const HttpRequest &request, const Reply &reply)
{
    if (!this->isUp) {
        return; // Nothing is sent by a crashed worker.
    }
    const auto expected = request["X-Tanagertally-Expect-Instance"];
    if (std::string_view(expected.data(), expected.size()) != this->id) {
        reply(jsonReply(static_cast<http::status>(MisdirectedRequest), "{}"));
        return;
    }
    this->endDueRuns();
    try {
        const Json body = Json::parse(request.body());
        const std::uint64_t orderToken = body.value("fencing-token", std::uint64_t{0});
        if (orderToken < this->token) {
            reply(this->refusal("fence"));
            return;
        }
        this->token = orderToken;
        if (request.target() == "/run-start") {
            reply(this->start(body));
        } else if (request.target() == "/run-stop") {
            reply(this->stop(body));
        } else if (request.target() == "/hold") {
            this->hold(body, reply);
        } else {
            reply(jsonReply(http::status::not_found, "{}"));
        }
    } catch (const std::exception &) {
        reply(jsonReply(http::status::bad_request, "{}"));
    }
}

} // namespace Tanagertally::Review
