/** Records of the jobs whose home is this instance. */
#pragma once

#include "blackboard/job_type.h"

#include <unordered_map>
#include <variant>
#include <vector>

namespace Tanagertally {

using JobId = StrongInt<struct JobIdTag>; ///< Job, numbered by this process.
using SizeClass = StrongInt<struct SizeClassTag, std::uint8_t>; ///< Class of jobs with a similar number of tasks; 0 for single-task jobs.

inline constexpr std::size_t SizeClassCount = 8; ///< Number of size classes.

/** @return The size class of a job with the given number of tasks. */
SizeClass sizeClassOf(std::size_t jobTasks);

/** Reply address of a request that a peer forwarded. */
struct PeerReplyTarget {
    PeerId peer; ///< Link on which the request was received.
    ForwardId id; ///< Number that the peer assigned to the request.
    friend bool operator==(const PeerReplyTarget &, const PeerReplyTarget &) = default;
};

using ReplyTarget = std::variant<RequestId, PeerReplyTarget>; ///< Recipient of a reply: a local call or a peer.

/** State of one task. */
enum class TaskState : std::uint8_t {
    Waiting, ///< No attempt is in flight: not started, or due for another attempt.
    Running, ///< At least one attempt is in flight.
    Ended, ///< Its answer is final.
};

/** One task of a job. */
struct TaskRecord {
    TaskState state = TaskState::Waiting; ///< Current state.
    std::uint8_t attempts = 0; ///< Failed or lost attempts that may have run.
    std::uint8_t refusals = 0; ///< Attempts that ended without running the task.
    std::uint8_t inFlight = 0; ///< Attempts in flight.
    EndpointId lastFailedEndpoint; ///< Endpoint of the last failed attempt, avoided by the next one; 0 if none.
    TaskAnswer answer; ///< Answer, valid once the task ended. Its verdict is current at all times.
};

/** Basis on which this instance may start a job's tasks without another instance starting them too. */
enum class StartAuthority : std::uint8_t {
    IssuedKey, ///< The key was issued by this incarnation.
    Claim, ///< A claim row in the table store names this incarnation.
    DurableClaim, ///< A claim row for a durable job; another instance may adopt the job once this one is fenced.
};

/** Full name of a job: keys are unique only within a team, because callers may choose them. */
struct TeamKey {
    TeamName team;
    JobKey key;
    friend bool operator==(const TeamKey &, const TeamKey &) = default;
};

struct TeamKeyHash {
    std::size_t operator()(const TeamKey &name) const noexcept
    {
        return std::hash<JobKey>{}(name.key) * 31 + std::hash<TeamName>{}(name.team);
    }
};

/** State of one job whose home is this instance. */
struct JobRecord {
    JobId id; ///< Number assigned by JobTable::add().
    JobKey key; ///< Idempotency key, unique within the team.
    TeamName team; ///< Team that submitted the job.
    JobSpec spec; ///< The job as submitted.
    std::uint64_t digest = 0; ///< Digest of the tasks; distinguishes a resubmission from a different job under the same key.
    StartAuthority authority = StartAuthority::IssuedKey; ///< Basis on which its tasks may start.
    TimePoint submittedAt{}; ///< Time of its submission to this instance.
    TimePoint deadline{}; ///< Latest time of its answer; it is answered as failed then.
    std::vector<TaskRecord> tasks; ///< One record for each task of the job, in order.
    TimePoint dueAt{}; ///< Due time of its waiting tasks in Blackboard::deadlineLoad; no later than the deadline.
    Duration meanRunTime{}; ///< Mean run time of its tasks, estimated at submission; the work of one task in Blackboard::deadlineLoad.
    SizeClass sizeClass; ///< Class in which its tasks are queued; changed to 0 after a long wait, which puts the tasks first.
    std::uint32_t waiting = 0; ///< Number of tasks in state Waiting.
    std::uint32_t running = 0; ///< Number of tasks in state Running.
    std::uint32_t ended = 0; ///< Number of tasks in state Ended.
    std::uint32_t startLimit = UINT32_MAX; ///< Tasks with a lower index may start. For a durable job, the stored high-water mark.
    std::uint32_t nonIdempotentInFlight = 0; ///< Non-idempotent attempts in flight; a failing job is answered after they end.
    bool failing = false; ///< Set when a task failed or the job was cancelled: no further attempt starts.
    ErrorCode failure = ErrorCode::Internal; ///< Reason of the failure; meaningful only if failing.
    std::string failureMessage; ///< Human-readable reason of the failure.
    bool isAnswerDecided = false; ///< Whether its answer is final and being recorded; later results are ignored.
    std::shared_ptr<const JobAnswer> answer; ///< Its answer; null until it is recorded.
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
     * Adds a job with a new number.
     * @param name Its team and key.
     * @pre The table has no job of this name.
     * @return Its record; valid until the job is removed.
     */
    JobRecord &add(const TeamKey &name);

    /** @return The record of a job, or null if the number is unknown. */
    JobRecord *find(JobId id);

    /** @return The record of the job with this team and key, or null if there is none. */
    JobRecord *find(const TeamKey &name);

    /** Removes a job and invalidates its record. Has no effect if the number is unknown. */
    void remove(JobId id);

    std::size_t size() const
    {
        return this->records.size();
    }

    /** @return All jobs by number. */
    const std::unordered_map<JobId, JobRecord> &all() const
    {
        return this->records;
    }

private:
    std::unordered_map<JobId, JobRecord> records; ///< All jobs.
    std::unordered_map<TeamKey, JobId, TeamKeyHash> byKey; ///< Number of the job of each team and key.
    std::uint64_t lastId = 0; ///< Last number assigned; numbers start at 1 and are not reused.
};

} // namespace Tanagertally
