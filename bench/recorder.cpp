#include "recorder.h"

#include "exact_queue.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace Tanagertally {

namespace {

constexpr Duration ToEndpoint = SessionDelays().withinDomain;
constexpr std::uint64_t MessagesPerProbe = 2; // a request and its answer
constexpr std::uint32_t TroubledDomain = 0;

std::uint64_t micros(Duration time)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

double share(double part, double whole)
{
    return whole > 0 ? part / whole : 1.0;
}

WasteCause causeOf(const SessionAttempt &attempt, const JobEntry &job, bool succeededElsewhere)
{
    switch (attempt.outcome) {
    case AttemptOutcome::RefusedBusy:
    case AttemptOutcome::RefusedLeaving:
    case AttemptOutcome::NotDelivered:
        return WasteCause::Refused;
    case AttemptOutcome::EndpointFailed:
        return WasteCause::EndpointFailed;
    case AttemptOutcome::TaskFailed:
        return WasteCause::TaskFailed;
    case AttemptOutcome::Lost:
        if (succeededElsewhere && !attempt.silenced) {
            return WasteCause::SecondAttempt;
        }
        return job.cancelled ? WasteCause::Cancelled : WasteCause::Lost;
    case AttemptOutcome::Succeeded:
        break;
    }
    if (job.cancelled) {
        return WasteCause::Cancelled;
    }
    return job.end == JobEnd::Complete ? WasteCause::SecondAttempt : WasteCause::FailedJob;
}

} // namespace

std::string_view toString(WasteCause cause)
{
    constexpr std::array<std::string_view, WasteCauses> Names
        = {"refused", "endpoint-failed", "task-failed", "lost", "second-attempt", "cancelled", "failed-job", "probe"};
    return Names.at(static_cast<std::size_t>(cause));
}

std::uint64_t RunFigures::allWasted() const
{
    return std::accumulate(this->wasted.begin(), this->wasted.end(), std::uint64_t(0));
}

Recorder::Recorder(Session &session, const UserProfile &user, const RunLength &length)
    : session(session)
    , user(user)
    , length(length)
{
    this->session.onAttemptEnd([this](const SessionAttempt &attempt) { this->attempts.push_back(attempt); });
}

std::size_t Recorder::addJob(const DrawnJob &job, std::uint32_t domain)
{
    JobEntry entry;
    entry.jobClass = job.jobClass;
    entry.domain = domain;
    entry.tasks = static_cast<std::uint32_t>(job.spec.tasks.size());
    entry.idempotent = job.spec.tasks.front().kind.value == "lookup";
    entry.timeout = job.spec.timeout;
    entry.work = job.work;
    for (const TaskSpec &task : job.spec.tasks) {
        entry.runTimes.push_back(runTimeOf(task.payload));
    }
    const Duration packed = job.work / static_cast<std::int64_t>(this->user.workersPerDomain * this->user.slots);
    entry.ideal = (this->user.toCaller + ToEndpoint) * 2 + std::max(job.longest, packed);
    entry.sentAt = TimePoint(this->session.now());
    this->jobs.push_back(std::move(entry));
    return this->jobs.size() - 1;
}

void Recorder::submitted(std::size_t job, const JobKey &key)
{
    this->jobs[job].key = key;
    this->byKey[key] = job;
}

void Recorder::ended(std::size_t job, const SessionReply &reply)
{
    JobEntry &entry = this->jobs[job];
    entry.endedAt = reply.at;
    if (const auto *answer = std::get_if<JobAnswer>(&reply.reply)) {
        entry.end = answer->outcome == JobOutcome::Complete ? JobEnd::Complete : JobEnd::Failed;
        if (entry.end == JobEnd::Failed) {
            entry.reason = toString(answer->reason);
            std::vector<bool> &told = this->toldNotRun[entry.key];
            for (const TaskAnswer &task : answer->tasks) {
                told.push_back(task.verdict == Verdict::NotRun);
            }
        }
    } else if (const auto *refusal = std::get_if<Refusal>(&reply.reply)) {
        entry.end = JobEnd::Refused;
        entry.reason = toString(refusal->error.code);
        if (refusal->verdict == Verdict::NotRun) {
            this->toldNotRun[entry.key] = std::vector<bool>(entry.tasks, true);
        }
    }
}

bool Recorder::isCounted(const JobEntry &job) const
{
    return job.sentAt >= TimePoint(this->length.warmUp) && job.sentAt < TimePoint(this->length.end());
}

const JobEntry *Recorder::findJob(const JobKey &key) const
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : &this->jobs[found->second];
}

RunFigures Recorder::figures() const
{
    RunFigures figures;
    this->countJobs(figures);
    this->countAttempts(figures);
    this->countStarts(figures);
    this->countExactQueues(figures);
    for (std::uint32_t instance = 0; instance < this->session.instanceCount(); ++instance) {
        if (this->session.isRunning(instance)) {
            figures.retries += this->session.stats(instance).retries;
            figures.hedges += this->session.stats(instance).hedges;
        }
    }
    figures.peerMessages = this->session.peerMessages();
    return figures;
}

void Recorder::countJobs(RunFigures &figures) const
{
    Histogram<10> ofTimeout;
    double offered = 0;
    double done = 0;
    double localOffered = 0;
    double localDone = 0;
    Duration usefulWork{};
    for (const JobEntry &job : this->jobs) {
        const bool answeredInWindow = job.endedAt >= TimePoint(this->length.warmUp) && job.endedAt < TimePoint(this->length.end());
        usefulWork += job.inTime() && answeredInWindow ? job.work : Duration::zero();
        if (!this->isCounted(job)) {
            continue;
        }
        ++figures.jobs;
        figures.tasks += job.tasks;
        figures.completeTasks += job.end == JobEnd::Complete ? job.tasks : 0;
        figures.openJobs += job.end == JobEnd::Open ? 1 : 0;
        figures.refusedJobs += job.end == JobEnd::Refused ? 1 : 0;
        figures.failedJobs += job.end == JobEnd::Failed ? 1 : 0;
        if (!job.reason.empty()) {
            ++figures.reasons[job.reason];
        }
        const Duration response = job.endedAt - job.sentAt;
        if (job.end == JobEnd::Refused) {
            figures.refusalMicros.add(micros(response));
        }
        if (job.end == JobEnd::Complete) {
            const auto ratio = static_cast<std::uint64_t>(seconds(response) / seconds(job.ideal) * RatioUnit);
            if (job.jobClass == JobClass::Usual) {
                figures.ratio.add(ratio);
                figures.responseMicros.add(micros(response));
            } else if (job.jobClass == JobClass::Big) {
                figures.bigRatio.add(ratio);
            }
        }
        if (!job.cancelled && (job.end == JobEnd::Complete || job.end == JobEnd::Failed)) {
            const double overTimeout = job.end == JobEnd::Complete ? seconds(response) / seconds(job.timeout) : Never;
            ofTimeout.add(static_cast<std::uint64_t>(overTimeout * RatioUnit));
        }
        if (job.jobClass == JobClass::Impossible || job.jobClass == JobClass::OverQuota || job.cancelled) {
            continue;
        }
        offered += job.tasks;
        done += job.inTime() ? job.tasks : 0;
        localOffered += job.domain == TroubledDomain ? job.tasks : 0;
        localDone += job.domain == TroubledDomain && job.inTime() ? job.tasks : 0;
    }
    figures.goodput = share(done, offered);
    figures.localGoodput = share(localDone, localOffered);
    figures.capacityUse = seconds(usefulWork) / (seconds(this->length.measured) * this->user.allSlots());
    figures.inTimeP99 = static_cast<double>(ofTimeout.quantile(0.99)) / RatioUnit;
}

void Recorder::countAttempts(RunFigures &figures) const
{
    std::set<std::pair<const JobEntry *, std::uint32_t>> succeeded;
    for (const SessionAttempt &attempt : this->attempts) {
        const JobEntry *job = this->findJob(attempt.key);
        if (job != nullptr && job->end == JobEnd::Complete && attempt.outcome == AttemptOutcome::Succeeded) {
            succeeded.insert({job, attempt.task});
        }
    }
    std::set<std::pair<const JobEntry *, std::uint32_t>> counted;
    std::set<const JobEntry *> metFault;
    std::vector<std::uint64_t> lostByInstance(this->session.instanceCount());
    for (const SessionAttempt &attempt : this->attempts) {
        const JobEntry *job = this->findJob(attempt.key);
        if (job == nullptr || !this->isCounted(*job)) {
            continue;
        }
        figures.messages += attempt.messages;
        if (attempt.outcome == AttemptOutcome::EndpointFailed && attempt.worker == FaultyWorker) {
            ++lostByInstance[attempt.instance];
            metFault.insert(job->idempotent ? nullptr : job);
        }
        const std::pair<const JobEntry *, std::uint32_t> task{job, attempt.task};
        const bool useful = attempt.outcome == AttemptOutcome::Succeeded && job->end == JobEnd::Complete && counted.insert(task).second;
        if (!useful) {
            const WasteCause cause = causeOf(attempt, *job, succeeded.contains(task));
            figures.wasted.at(static_cast<std::size_t>(cause)) += attempt.messages;
        }
    }
    const std::uint64_t probeMessages = this->session.probeCount() * MessagesPerProbe;
    figures.messages += probeMessages;
    figures.wasted.at(static_cast<std::size_t>(WasteCause::Probe)) = probeMessages;
    figures.mostLostToFaultyWorker = *std::max_element(lostByInstance.begin(), lostByInstance.end());
    double offered = 0;
    double done = 0;
    for (const JobEntry &job : this->jobs) {
        if (this->isCounted(job) && job.jobClass == JobClass::Usual && !metFault.contains(&job)) {
            offered += job.tasks;
            done += job.inTime() ? job.tasks : 0;
        }
    }
    figures.restGoodput = share(done, offered);
}

void Recorder::countExactQueues(RunFigures &figures) const
{
    const std::uint32_t domainSlots = this->user.workersPerDomain * this->user.slots;
    std::vector<ExactQueue> byArrival(this->user.domains, ExactQueue(domainSlots));
    std::vector<ExactQueue> bySize(this->user.domains, ExactQueue(domainSlots));
    std::vector<ExactQueue> fleet(1, ExactQueue(this->user.allSlots()));
    std::vector<std::array<std::size_t, 2>> numbers;
    for (const JobEntry &job : this->jobs) {
        byArrival[job.domain].arrive(job.sentAt, job.runTimes, 0);
        numbers.push_back({bySize[job.domain].arrive(job.sentAt, job.runTimes, job.tasks), fleet[0].arrive(job.sentAt, job.runTimes, 0)});
    }
    for (std::vector<ExactQueue> *queues : {&byArrival, &bySize, &fleet}) {
        std::ranges::for_each(*queues, &ExactQueue::finish);
    }
    const Duration links = (this->user.toCaller + ToEndpoint) * 2;
    for (std::size_t index = 0; index < this->jobs.size(); ++index) {
        const JobEntry &job = this->jobs[index];
        if (!this->isCounted(job) || job.jobClass != JobClass::Usual) {
            continue;
        }
        const auto [inDomain, inFleet] = numbers[index];
        const auto addTo = [&](Histogram<10> &histogram, TimePoint end) {
            histogram.add(static_cast<std::uint64_t>(seconds(end - job.sentAt + links) / seconds(job.ideal) * RatioUnit));
        };
        addTo(figures.domainQueueRatio, byArrival[job.domain].endOf(inDomain));
        addTo(figures.sizeQueueRatio, bySize[job.domain].endOf(inDomain));
        addTo(figures.fleetQueueRatio, fleet[0].endOf(inFleet));
    }
}

void Recorder::countStarts(RunFigures &figures) const
{
    std::set<std::pair<const JobEntry *, std::uint32_t>> started;
    for (const SessionStart &start : this->session.starts()) {
        const JobEntry *job = this->findJob(start.key);
        if (job == nullptr) {
            continue;
        }
        figures.starts += this->isCounted(*job) ? 1 : 0;
        const bool again = !started.insert({job, start.task}).second;
        figures.doubleStarts += again && !job->idempotent ? 1 : 0;
        const auto told = this->toldNotRun.find(start.key);
        if (told != this->toldNotRun.end() && start.task < told->second.size() && told->second[start.task]) {
            ++figures.untrueRefusals;
        }
    }
}

} // namespace Tanagertally
