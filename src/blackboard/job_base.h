/** Jobs that this instance is home of. */
#pragma once

#include "blackboard/job_type.h"

#include <unordered_map>
#include <variant>
#include <vector>

namespace Tanagertally {

using JobId = StrongInt<struct JobIdTag>; ///< Job, numbered by this process.
using SizeClass = StrongInt<struct SizeClassTag, std::uint8_t>; ///< Class of jobs of about the same number of tasks; 0 for single tasks.

inline constexpr std::size_t SizeClassCount = 8; ///< Number of classes of job size.

/** @return The class of jobs with so many tasks. */
SizeClass sizeClassOf(std::size_t jobTasks);

/** A forwarded request of a peer that awaits a reply. */
struct PeerReplyTarget {
    PeerId peer; ///< Link on which it came.
    ForwardId id; ///< Its number at the peer.
    friend bool operator==(const PeerReplyTarget &, const PeerReplyTarget &) = default;
};

using ReplyTarget = std::variant<RequestId, PeerReplyTarget>; ///< Where a reply goes.

/** State of one task. */
enum class TaskState : std::uint8_t {
    Waiting, ///< Not started, or its last attempt certainly did not run.
    Running, ///< At least one attempt is in flight.
    Ended, ///< It has its answer.
};

/** One task of a job. */
struct TaskRecord {
    TaskState state = TaskState::Waiting; ///< Where it stands.
    std::uint8_t attempts = 0; ///< Attempts that may have reached an endpoint.
    std::uint8_t refusals = 0; ///< Attempts that certainly did not start.
    std::uint8_t inFlight = 0; ///< Attempts in flight.
    EndpointId lastFailedOn; ///< Endpoint on which it failed last; 0 if none.
    TaskAnswer answer; ///< Its answer once it ended; its verdict is kept up to date before.
};

/** What gives this instance the right to start a job's tasks. */
enum class StartAuthority : std::uint8_t {
    IssuedKey, ///< The key was issued by this incarnation.
    Claim, ///< A claim row names this incarnation.
    DurableClaim, ///< A claim row and a durable job; another instance may adopt it once this one is fenced.
};

/** A team's key: callers' own keys are names within their team. */
struct TeamKey {
    TeamName team; ///< The team.
    JobKey key; ///< The key.
    friend bool operator==(const TeamKey &, const TeamKey &) = default;
};

/** Hash of a team's key. */
struct TeamKeyHash {
    std::size_t operator()(const TeamKey &name) const noexcept
    {
        return std::hash<JobKey>{}(name.key) * 31 + std::hash<TeamName>{}(name.team);
    }
};

/** A job that this instance is home of. */
struct JobRecord {
    JobId id; ///< Its number.
    JobKey key; ///< Its key.
    TeamName team; ///< Team that submitted it.
    JobSpec spec; ///< The job.
    std::uint64_t digest = 0; ///< Digest of the tasks, to tell a resubmission from another job under the same key.
    StartAuthority authority = StartAuthority::IssuedKey; ///< Right to start its tasks.
    TimePoint submittedAt{}; ///< When it was submitted here.
    TimePoint deadline{}; ///< When it is answered at the latest.
    std::vector<TaskRecord> tasks; ///< Its tasks.
    TimePoint wantedAt{}; ///< When its waiting tasks are wanted to be served, well before its deadline.
    Duration meanWork{}; ///< Mean run time of its tasks, as estimated at its submission.
    SizeClass sizeClass; ///< Class in which its tasks are queued; 0 once it has waited for long.
    std::uint32_t waiting = 0; ///< Tasks that wait.
    std::uint32_t running = 0; ///< Tasks that run.
    std::uint32_t ended = 0; ///< Tasks that ended.
    std::uint32_t startLimit = UINT32_MAX; ///< Tasks below this index may start; the durable high-water mark.
    std::uint32_t exactInFlight = 0; ///< Attempts of non-idempotent tasks in flight; their outcome is waited for.
    bool failing = false; ///< A task failed or the job was cancelled: nothing more is started.
    ErrorCode failure = ErrorCode::Internal; ///< Why it is failing.
    std::string failureMessage; ///< Why it is failing, for a person.
    bool answering = false; ///< Whether its answer is made and being recorded.
    std::shared_ptr<const JobAnswer> answer; ///< Its answer; null until there is one.
    std::vector<ReplyTarget> waiters; ///< Calls that await the answer.
};

/**
 * Jobs by number and by key.
 * Thread safety: none.
 */
class JobTable
{
public:
    /**
     * Add a job.
     * @param name Its team and key.
     * @pre No job of this name is in the table.
     * @return Its record; valid until it is removed.
     */
    JobRecord &add(const TeamKey &name);

    /** @return The record of a job, or null. */
    JobRecord *find(JobId id);

    /** @return The record of the job under a team's key, or null. */
    JobRecord *find(const TeamKey &name);

    /** @param id Job to remove. */
    void remove(JobId id);

    /** @return Number of jobs held. */
    std::size_t size() const
    {
        return this->records.size();
    }

    /** @return All jobs. */
    const std::unordered_map<JobId, JobRecord> &all() const
    {
        return this->records;
    }

private:
    std::unordered_map<JobId, JobRecord> records; ///< All jobs.
    std::unordered_map<TeamKey, JobId, TeamKeyHash> byKey; ///< Job of each key.
    std::uint64_t lastId = 0; ///< Last number given.
};

} // namespace Tanagertally
