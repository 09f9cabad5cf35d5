#include "session/session.h"

#include <fmt/format.h>

namespace Tanagertally {

namespace {

constexpr Duration FailingRunTime = std::chrono::milliseconds(1);

} // namespace

void Session::setEndpoint(std::uint32_t worker, EndpointMode mode)
{
    constexpr std::array<std::string_view, 6> Names = {"normal", "fails-all", "refusing", "dead", "silent-connections", "silent"};
    this->trace(fmt::format("fault: w{} {}", worker, Names.at(static_cast<std::size_t>(mode))));
    this->workers[worker].mode = mode;
    this->recordList();
    if (mode != EndpointMode::Dead) {
        return;
    }
    for (std::size_t flight = 0; flight < this->flights.size(); ++flight) {
        if (this->flights[flight].worker == worker && !this->flights[flight].ended) {
            this->endAttempt(flight, AttemptOutcome::Lost, nullptr, "connection reset", Duration::zero());
        }
    }
    this->workers[worker].running = 0;
}

void Session::setSlowness(std::uint32_t worker, double factor)
{
    this->trace(fmt::format("fault: w{} slowness={}", worker, factor));
    this->workers[worker].slowness = factor;
}

void Session::silenceConnections(std::uint32_t worker, std::uint32_t perInstance)
{
    this->trace(fmt::format("fault: w{} connections silent", worker));
    for (std::uint32_t instance = 0; instance < this->instances.size(); ++instance) {
        this->workers[worker].silentConnections[instance] = perInstance;
    }
    for (Flight &flight : this->flights) {
        const bool open = flight.worker == worker && !flight.ended;
        if (open) {
            flight.silenced = true;
            std::uint32_t &left = this->workers[worker].silentConnections[flight.instance];
            left -= left > 0 ? 1 : 0;
        }
    }
}

void Session::on(std::uint32_t instance, AddEndpoint &action)
{
    const std::string &address = action.address.value;
    const auto port = static_cast<std::uint32_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    this->instances[instance].endpoints[action.endpoint] = port - 9000;
}

void Session::on(std::uint32_t instance, RemoveEndpoint &action)
{
    this->instances[instance].endpoints.erase(action.endpoint);
}

void Session::on(std::uint32_t instance, StartAttempt &action)
{
    Instance &one = this->instances[instance];
    const std::uint32_t worker = one.endpoints.at(action.endpoint);
    const std::size_t flight = this->flights.size();
    this->flights.push_back(Flight{instance, one.life, action.attempt, worker, false, false, action.key, action.task, false});
    one.attempts[action.attempt] = flight;
    this->trace(fmt::format("e{} starts {}#{} {} on w{}", instance, action.key.value, action.task, action.kind.value, worker));
    this->schedule(this->options.delays.withinDomain, [this, flight, start = std::move(action)] { this->arrive(flight, start); });
}

void Session::arrive(std::size_t flight, const StartAttempt &start)
{
    const JobKey &key = start.key;
    const std::uint32_t task = start.task;
    const KindName &kind = start.kind;
    Flight &one = this->flights[flight];
    if (one.ended) {
        return;
    }
    Worker &worker = this->workers[one.worker];
    const Duration back = this->options.delays.withinDomain;
    if (worker.mode == EndpointMode::Dead) {
        this->schedule(back, [this, flight] { this->endAttempt(flight, AttemptOutcome::NotDelivered, nullptr, "connection refused", {}); });
        return;
    }
    one.delivered = true;
    ++this->endpointMessageCount;
    std::uint32_t &silent = worker.silentConnections[one.instance];
    const bool usesOldConnection = start.maxConnectionIdle > Duration::zero();
    if (silent > 0 && usesOldConnection) {
        --silent;
        one.silenced = true;
        return;
    }
    if (worker.mode == EndpointMode::Refusing) {
        this->schedule(back, [this, flight] { this->endAttempt(flight, AttemptOutcome::RefusedLeaving, nullptr, "leaving", {}); });
        return;
    }
    if (worker.running >= worker.listed.slots) {
        this->schedule(back, [this, flight] { this->endAttempt(flight, AttemptOutcome::RefusedBusy, nullptr, "busy", {}); });
        return;
    }
    this->startLog.push_back(SessionStart{this->clock, key, task, kind, worker.listed.worker.value, one.instance,
                                          this->instances[one.instance].identity.incarnation});
    ++worker.running;
    const bool fails = worker.mode == EndpointMode::FailsAll;
    const bool poisoned = *start.payload == "\"poison\"";
    const Duration own = this->options.payloadRunTime ? this->options.payloadRunTime(start.payload, this->random)
                                                      : this->options.runTime(kind, this->random);
    const Duration drawn = std::chrono::duration_cast<Duration>(own * worker.slowness);
    const Duration runTime = fails ? FailingRunTime : drawn;
    this->schedule(runTime, [this, flight, fails, poisoned, runTime, back, key, task] {
        const Flight &flown = this->flights[flight];
        Worker &where = this->workers[flown.worker];
        if (where.mode == EndpointMode::Dead) {
            return;
        }
        where.running -= where.running > 0 ? 1 : 0;
        if (where.mode == EndpointMode::Silent || where.mode == EndpointMode::SilentConnections || flown.silenced) {
            return;
        }
        AttemptOutcome outcome = poisoned ? AttemptOutcome::TaskFailed : AttemptOutcome::Succeeded;
        outcome = fails ? AttemptOutcome::EndpointFailed : outcome;
        const Payload output = std::make_shared<const std::string>(fmt::format("\"{}#{}\"", key.value, task));
        this->schedule(back, [this, flight, outcome, output, total = runTime + back + back] {
            const bool succeeded = outcome == AttemptOutcome::Succeeded;
            this->endAttempt(flight, outcome, succeeded ? output : nullptr, succeeded ? "" : "failed", total);
        });
    });
}

void Session::endAttempt(std::size_t flight, AttemptOutcome outcome, Payload output, std::string error, Duration roundTrip)
{
    Flight &one = this->flights[flight];
    if (one.ended) {
        return;
    }
    one.ended = true;
    const std::uint32_t answers = one.delivered && outcome != AttemptOutcome::Lost ? 1 : 0;
    this->endpointMessageCount += answers;
    if (this->attemptHandler) {
        const std::uint32_t messages = (one.delivered ? 1 : 0) + answers;
        this->attemptHandler(SessionAttempt{this->clock, one.key, one.task, one.instance, one.worker, outcome, messages, one.silenced});
    }
    if (outcome != AttemptOutcome::Succeeded) {
        this->trace(fmt::format("w{} ends attempt of e{}: {}", one.worker, one.instance, error));
    }
    this->deliver(one.instance, one.life, AttemptEnded{one.attempt, outcome, std::move(output), std::move(error), roundTrip});
}

void Session::on(std::uint32_t instance, AbandonAttempt &action)
{
    const auto found = this->instances[instance].attempts.find(action.attempt);
    if (found == this->instances[instance].attempts.end()) {
        return;
    }
    const std::size_t flight = found->second;
    const AttemptOutcome outcome = this->flights[flight].delivered ? AttemptOutcome::Lost : AttemptOutcome::NotDelivered;
    this->schedule(Duration::zero(), [this, flight, outcome] { this->endAttempt(flight, outcome, nullptr, "abandoned", {}); });
}

void Session::on(std::uint32_t instance, ProbeEndpoint &action)
{
    ++this->probes;
    const std::uint64_t life = this->instances[instance].life;
    const auto found = this->instances[instance].endpoints.find(action.endpoint);
    const bool known = found != this->instances[instance].endpoints.end();
    const EndpointMode mode = known ? this->workers[found->second].mode : EndpointMode::Dead;
    const bool answers = mode != EndpointMode::Dead && mode != EndpointMode::Silent;
    const Duration after = mode == EndpointMode::Silent ? action.timeout : this->options.delays.withinDomain * 2;
    this->schedule(after, [this, instance, life, id = action.probe, answers, leaving = mode == EndpointMode::Refusing] {
        this->deliver(instance, life, ProbeEnded{id, answers, leaving});
    });
}

} // namespace Tanagertally
