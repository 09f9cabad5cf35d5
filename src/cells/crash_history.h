/**
 * Attribution of endpoint crashes to the tasks that ran there, and what follows for those tasks; without network.
 *
 * Pattern: deadly tasks. A task may crash each endpoint that starts it. If its lost run is repeated like any other, it takes down one
 * endpoint after the other; a few dozen such tasks crash a fleet faster than its endpoints restart. The tasks beside it lose their runs as
 * well and look the same at first. After its first loss a task runs alone on an endpoint: the next crash is then its own, and takes no
 * other task along. Where no endpoint is empty in time, it runs beside others on probation: until it has run for
 * longer than it had when an endpoint was lost under it, no other task is started beside it.
 */
#pragma once

#include "cells/fleet_type.h"

#include <cstddef>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Tanagertally::Cells {

/** What is known of a lost endpoint. */
enum class LossState : std::uint8_t {
    Unconfirmed, ///< It doesn't answer; it may have crashed or be cut off.
    Crashed, ///< Another incarnation has replaced it.
};

/** A task that lost a run with its endpoint. */
struct LostTask {
    TaskRef task;
    bool wasRunning = false; ///< Whether the endpoint had confirmed the run. If not, it may have crashed before the order arrived.
    std::optional<Duration> ranFor = std::nullopt; ///< How long the run had lasted at most; unset if it isn't known.
    bool wasOnlySuspect
        = false; ///< Whether the run was on probation, and all others on the endpoint had lasted for a while before it began.

    friend bool operator==(const LostTask &, const LostTask &) = default;
};

/** An endpoint that was lost while tasks ran on it. */
struct EndpointLoss {
    EndpointName endpoint;
    NetAddress address;
    std::optional<std::int64_t> born; ///< Start of the lost incarnation in Unix milliseconds; unset if incarnations differ in their names.
    LossState state = LossState::Unconfirmed;
    bool wasAlone = false; ///< Whether a single task ran on the endpoint.
    std::vector<LostTask> tasks; ///< Tasks that lost a run and have not succeeded since.
    TimePoint at; ///< When the loss was noticed, on this process's clock.
    bool hadOnlySuspect = false; ///< Whether one of the tasks was the only suspect, so that the loss says little about the others.
    std::vector<EndpointName> predecessors; ///< Endpoints at the address that may be older than the lost one, and so don't replace it.
};

/** What follows for a task from the endpoints that were lost under it. */
enum class CrashVerdict : std::uint8_t {
    None, ///< The task may run beside others.
    RunOnProbation, ///< The task may run, on an endpoint of its own if possible, and no other run may be started beside it for a while.
    AwaitEvidence, ///< The task must not start until it is known whether the endpoints crashed.
    Deadly, ///< The task must not start again; its job fails.
};

/** @return Whether so many endpoints were lost at the same time that something other than a task lost them. Thread safety: any thread. */
bool hasCommonCause(std::size_t lostAtOnce, std::size_t endpointCount);

/** Endpoints of a cell that were lost lately, and the tasks under suspicion. Thread safety: none. */
class CrashHistory
{
public:
    /** Records a loss; the oldest one is forgotten if there are too many. @pre `loss.tasks` is not empty. */
    void recordLoss(EndpointLoss loss);

    /**
     * Confirms the losses of endpoints that the registry shows as replaced. Rows of their predecessors confirm nothing; the registry shows
     * a crashed endpoint until its row expires.
     * @return Whether a loss was confirmed.
     */
    bool onRegistry(std::span<const EndpointRecord> records);

    /** Confirms the losses of an endpoint at whose address another incarnation answered. @return Whether a loss was confirmed. */
    bool onReplaced(const EndpointName &endpoint);

    /**
     * Forgets the unconfirmed losses of an endpoint that answers again.
     * @param born Start of the incarnation that answered; unset if it isn't reported.
     * @return Whether a loss was forgotten.
     */
    bool onAnswered(const EndpointName &endpoint, const std::optional<std::int64_t> &born);

    /** @return What follows for a task. */
    CrashVerdict verdict(const TaskRef &task, TimePoint now) const;

    /** @return Number of endpoints that were lost under a task. */
    std::size_t lossesUnder(const TaskRef &task) const;

    /** @return Whether an endpoint was lost under a task when its run had lasted about as long as given. */
    bool hasLossAtAge(const TaskRef &task, Duration age) const;

    /** @return Time for which a run of a task is on probation; Duration::max() until its end. */
    Duration probationOf(const TaskRef &task) const;

    /** @return Whether a task of a job was lost with an endpoint. */
    bool concerns(const JobId &job) const;

    /** @return Whether an endpoint at an address was lost. */
    bool hasLossAt(const NetAddress &address) const;

    /** @return Names of the endpoints that were lost under a task, separated by commas. */
    std::string endpointsLostUnder(const TaskRef &task) const;

    /** Forget a task that has succeeded, or all tasks of a job. @return Whether anything was known. */
    bool forgetTask(const TaskRef &task);
    bool forgetJob(const JobId &job);

    /** Forgets losses that are too old to matter. @return Whether there were any. */
    bool forgetOld(TimePoint now);

    /** @return All losses, oldest first. */
    const std::vector<EndpointLoss> &losses() const;

private:
    void eraseLoss(std::size_t index);
    void removeTask(const TaskRef &task);
    template<typename Predicate>
    bool forgetTasks(Predicate matches);

    std::vector<EndpointLoss> lossList; ///< Oldest first; bounded.
    std::unordered_map<JobId, std::uint32_t> jobs; ///< Number of times that tasks of a job occur in `lossList`.
};

} // namespace Tanagertally::Cells
