#include "controllers/admission_func.h"

#include "controllers/quota_func.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace Tanagertally {

namespace {

constexpr Duration NoEndpointRetryAfter = std::chrono::seconds(1);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr double InfeasibleQuantile = 0.05;
constexpr std::uint64_t MinSamplesForInfeasible = 50; // measured run times below which no kind is refused as infeasible
constexpr std::int64_t WaitTimeoutDivisor = 4; // a job may wait for its timeout divided by this
constexpr std::int64_t LargeJobWaitTimeoutDivisor = 2; // the same for jobs of the largest size class
constexpr double RetryJitter = 0.5; // maximum random addition to a retry time, as a share of it

/** @return Number of slots that this instance can use: its own and those that peers of its domain reported free. */
std::uint32_t countReachableSlots(const Blackboard &board)
{
    std::uint32_t slots = 0;
    for (const auto &[id, endpoint] : board.endpoints.all()) {
        const EndpointState state = endpoint.lifecycle.state();
        if (state == EndpointState::Live || state == EndpointState::Trial) {
            slots += endpoint.usableSlots();
        }
    }
    for (const auto &[id, peer] : board.peers.all()) {
        if (peer.identity.domain == board.identity.domain) {
            slots += peer.freeSlots;
        }
    }
    return slots;
}

/** @return Expected run time of waiting tasks up to a size class: smallest first, ignoring urgency, teams and largest-first turns. */
Duration waitingWork(const Blackboard &board, SizeClass sizeClass)
{
    Duration work{};
    for (const auto &[kind, load] : board.kinds) {
        const auto *const end = load.waiting.begin() + sizeClass.value + 1;
        work += load.runTime.mean() * std::accumulate(load.waiting.begin(), end, 0U);
    }
    return work;
}

Duration workOf(Blackboard &board, const JobSpec &job)
{
    Duration work{};
    for (const TaskSpec &task : job.tasks) {
        work += findOrAddKindLoad(board, task.kind).runTime.mean();
    }
    return work;
}

Duration withJitter(Blackboard &board, Duration wait)
{
    const double factor = 1.0 + RetryJitter * static_cast<double>(drawBelow(board.random, 1000)) / 1000.0;
    return std::chrono::duration_cast<Duration>(std::max(wait, MinRetryAfter) * factor);
}

std::optional<AdmissionRefusal> checkQuota(Blackboard &board, const TeamName &team, const JobSpec &job, Duration work)
{
    const std::uint32_t quota = localQuota(board, team);
    if (quota == UINT32_MAX) {
        return std::nullopt;
    }
    const auto waitingTasks = static_cast<double>(board.teams[team].waiting);
    const Duration mean = work / static_cast<std::int64_t>(job.tasks.size());
    const Duration wait = std::chrono::duration_cast<Duration>(mean * (waitingTasks / quota));
    const Duration finish = wait + std::max(mean, work / static_cast<std::int64_t>(quota));
    if (finish <= job.timeout && wait <= board.config.policy.maxQueueWait) {
        return std::nullopt;
    }
    return AdmissionRefusal{makeError(ErrorCode::QuotaExceeded, "the team's quota is used up", "team"), withJitter(board, wait)};
}

} // namespace

std::optional<Error> checkJob(const Blackboard &board, const JobSpec &job)
{
    if (job.tasks.empty() || job.tasks.size() > MaxTasksPerJob) {
        return makeError(ErrorCode::BadInput, "a job has 1 to 1000 tasks", "tasks");
    }
    if (job.timeout <= Duration::zero() || job.timeout > LongestTimeout) {
        return makeError(ErrorCode::BadInput, "the timeout is more than 0 and at most 1 h", "timeoutMs");
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const KindName &kind = job.tasks[index].kind;
        if (findKind(board.config, kind) == nullptr) {
            return makeError(ErrorCode::BadInput, fmt::format("unknown kind of request \"{}\"", kind.value),
                             fmt::format("tasks[{}].kind", index));
        }
        const auto load = board.kinds.find(kind);
        const bool hasEnoughSamples = load != board.kinds.end() && load->second.runTime.samples() >= MinSamplesForInfeasible;
        if (hasEnoughSamples && load->second.runTime.quantile(InfeasibleQuantile) > job.timeout * 2) {
            return makeError(ErrorCode::Infeasible, "no endpoint can finish this kind of request within the timeout",
                             fmt::format("tasks[{}].kind", index));
        }
    }
    return std::nullopt;
}

TimePoint dueTimeOf(Blackboard &board, const JobSpec &job)
{
    const bool isLarge = sizeClassOf(job.tasks.size()).value + 1U == SizeClassCount;
    const Duration allowedWait = job.timeout / (isLarge ? LargeJobWaitTimeoutDivisor : WaitTimeoutDivisor);
    const Duration serviceTime = workOf(board, job) / static_cast<std::int64_t>(std::max(1U, countReachableSlots(board)));
    return board.now + std::min(job.timeout, std::max(allowedWait, serviceTime));
}

std::optional<AdmissionRefusal> checkAdmission(Blackboard &board, const TeamName &team, const JobSpec &job)
{
    const std::uint32_t slots = countReachableSlots(board);
    if (slots == 0) {
        return AdmissionRefusal{makeError(ErrorCode::Unavailable, "no endpoint of this failure domain takes work"),
                                withJitter(board, NoEndpointRetryAfter)};
    }
    const Duration work = workOf(board, job);
    if (std::optional<AdmissionRefusal> refusal = checkQuota(board, team, job, work)) {
        return refusal;
    }
    const Duration wait = waitingWork(board, sizeClassOf(job.tasks.size())) / static_cast<std::int64_t>(slots);
    const Duration longestWait = std::max(board.config.policy.maxQueueWait, job.timeout / WaitTimeoutDivisor);
    const Duration lateness = board.deadlineLoad.lateness(board.now, DueWork{dueTimeOf(board, job), work}, slots);
    if (wait <= longestWait && lateness == Duration::zero()) {
        return std::nullopt;
    }
    const Duration excess = std::max(wait - longestWait, lateness);
    return AdmissionRefusal{makeError(ErrorCode::Overloaded, "the job can't be finished in time"), withJitter(board, excess)};
}

} // namespace Tanagertally
