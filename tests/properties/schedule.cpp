#include "properties/schedule.h"

#include <fmt/format.h>

#include <map>

namespace Tanagertally {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t JobCount = 6;
constexpr Duration WarmUp = 3s;
constexpr Duration CoolDown = 40s;
const TeamName Team("team");

FleetConfig makeConfig()
{
    FleetConfig config;
    KindConfig lookup;
    lookup.name = KindName("lookup");
    lookup.idempotence = Idempotence::Idempotent;
    lookup.hedged = true;
    KindConfig confirm;
    confirm.name = KindName("confirm");
    config.kinds = {lookup, confirm};
    return config;
}

SessionOptions makeOptions(std::uint64_t seed)
{
    SessionOptions options;
    options.seed = seed;
    options.config = makeConfig();
    options.workersPerDomain = 3;
    options.slots = 4;
    options.runTime
        = [](const KindName &, RandomEngine &random) { return Duration(20ms + std::chrono::milliseconds(drawBelow(random, 100))); };
    return options;
}

/** One of the schedule's jobs: its key is issued or the caller's own, its tasks idempotent or not, or mixed. */
struct PlannedJob {
    JobKey key;
    JobSpec spec;
};

JobSpec makeJob(std::uint32_t number)
{
    JobSpec spec;
    spec.mode = number % 3 == 2 ? SubmitMode::Later : SubmitMode::Wait;
    spec.timeout = 8s;
    const std::uint32_t tasks = 1 + number * 17 % 90;
    for (std::uint32_t task = 0; task < tasks; ++task) {
        const bool lookup = number % 2 == 1 && task % 3 != 0;
        spec.tasks.push_back(
            TaskSpec{KindName(lookup ? "lookup" : "confirm"), std::make_shared<const std::string>(std::to_string(task)), {}});
    }
    return spec;
}

/** Carries a schedule out and remembers which call belongs to which job. */
class Runner
{
public:
    Runner(std::uint64_t seed, const Session::TraceHandler &trace)
        : session(makeOptions(seed))
    {
        if (trace) {
            this->session.onTrace(trace);
        }
        this->session.runUntil(WarmUp);
        for (std::uint32_t number = 0; number < JobCount; ++number) {
            this->jobs.push_back(PlannedJob{JobKey(fmt::format("own-{}", number)), makeJob(number)});
        }
        for (std::uint32_t number = 0; number < JobCount; number += 2) {
            const std::size_t call = this->session.requestKeys(number % this->session.instanceCount(), Team, 1);
            this->session.runUntil(this->session.now() + 10ms);
            this->jobs[number].key = std::get<KeysIssued>(this->session.call(call).replies.at(0).reply).keys.front();
        }
    }

    void run(const std::vector<Step> &steps)
    {
        const Duration begin = this->session.now();
        for (const Step &step : steps) {
            this->session.at(begin + std::chrono::milliseconds(step.atMs), [this, step] { this->carryOut(step); });
        }
        this->session.runUntil(begin + CoolDown);
    }

    Session session; ///< The session.
    std::vector<PlannedJob> jobs; ///< Jobs of the schedule.
    std::map<std::size_t, std::uint32_t> submits; ///< Job of each call that submits.
    std::map<std::size_t, std::uint32_t> questions; ///< Job of each call that fetches or cancels.

private:
    void later(std::uint32_t lengthMs, std::function<void()> what)
    {
        this->session.at(this->session.now() + std::chrono::milliseconds(lengthMs), std::move(what));
    }

    void carryOut(const Step &step);
    void request(const Step &step, std::uint32_t instance);
    void cutAllLinksOf(std::uint32_t domain, bool cut);
};

void Runner::request(const Step &step, std::uint32_t instance)
{
    const std::uint32_t number = step.job % JobCount;
    const PlannedJob &job = this->jobs[number];
    if (!this->session.isRunning(instance)) {
        return;
    }
    switch (step.kind) {
    case StepKind::Submit:
        this->submits[this->session.submit(instance, Team, job.key, job.spec)] = number;
        return;
    case StepKind::Fetch:
        this->questions[this->session.fetch(instance, Team, job.key, step.variant % 2 == 0)] = number;
        return;
    default:
        this->questions[this->session.cancel(instance, Team, job.key)] = number;
        return;
    }
}

void Runner::carryOut(const Step &step)
{
    const std::uint32_t instance = step.target % this->session.instanceCount();
    const std::uint32_t other = (instance + 1 + step.variant) % this->session.instanceCount();
    const std::uint32_t domain = step.target % 2;
    const std::uint32_t worker = step.target % this->session.workerCount();
    switch (step.kind) {
    case StepKind::Submit:
    case StepKind::Fetch:
    case StepKind::Cancel:
        this->request(step, instance);
        return;
    case StepKind::Kill:
        this->session.kill(instance);
        this->later(step.lengthMs, [this, instance] { this->session.restart(instance); });
        return;
    case StepKind::Pause:
        if (this->session.isRunning(instance)) {
            this->session.pause(instance);
            this->later(step.lengthMs, [this, instance] { this->session.resume(instance); });
        }
        return;
    case StepKind::Stop:
        if (this->session.isRunning(instance)) {
            this->session.stop(instance);
            this->later(15000, [this, instance] { this->session.restart(instance); });
        }
        return;
    case StepKind::CutDomains:
        this->session.cutDomains(0, 1, true);
        this->later(step.lengthMs, [this] { this->session.cutDomains(0, 1, false); });
        return;
    case StepKind::CutLink:
        this->session.cutLink(instance, other, true);
        this->later(step.lengthMs, [this, instance, other] { this->session.cutLink(instance, other, false); });
        return;
    case StepKind::CutPlatform:
        this->session.cutPlatform(domain, true);
        this->later(step.lengthMs, [this, domain] { this->session.cutPlatform(domain, false); });
        return;
    case StepKind::Platform:
        this->session.setPlatform(static_cast<PlatformMode>(1 + step.variant % 3));
        this->later(step.lengthMs, [this] { this->session.setPlatform(PlatformMode::Normal); });
        return;
    case StepKind::Endpoint:
        this->session.setEndpoint(worker, static_cast<EndpointMode>(1 + step.variant % 5));
        this->later(step.lengthMs, [this, worker] { this->session.setEndpoint(worker, EndpointMode::Normal); });
        return;
    }
}

/** Checks the invariants on a finished run. */
class Checker
{
public:
    explicit Checker(const Runner &run)
        : run(run)
    {
        for (const SessionStart &start : run.session.starts()) {
            this->starts[start.key][start.task].push_back(start.at);
        }
    }

    ScheduleResult check()
    {
        this->checkStarts();
        for (const auto &[call, job] : this->run.submits) {
            this->checkCall(call, job);
        }
        for (const auto &[call, job] : this->run.questions) {
            this->checkCall(call, job);
        }
        this->result.starts = this->run.session.starts().size();
        return std::move(this->result);
    }

private:
    void fail(std::string text)
    {
        this->result.violations.push_back(std::move(text));
    }

    void checkStarts()
    {
        for (const PlannedJob &job : this->run.jobs) {
            for (const auto &[task, times] : this->starts[job.key]) {
                if (job.spec.tasks.at(task).kind == KindName("confirm") && times.size() > 1) {
                    this->fail(fmt::format("non-idempotent task {}#{} started {} times", job.key.value, task, times.size()));
                }
            }
        }
    }

    void checkCall(std::size_t number, std::uint32_t job)
    {
        const SessionCall &call = this->run.session.call(number);
        if (call.replies.size() > 1 || (call.replies.empty() && !call.connectionLost)) {
            this->fail(fmt::format("call {} got {} replies", number, call.replies.size()));
        }
        if (call.replies.empty()) {
            return;
        }
        const SessionReply &reply = call.replies.front();
        if (const auto *refusal = std::get_if<Refusal>(&reply.reply)) {
            this->checkRefusal(number, job, *refusal, reply.at);
        }
        if (const auto *answer = std::get_if<JobAnswer>(&reply.reply)) {
            this->checkAnswer(number, job, *answer);
        }
    }

    void checkRefusal(std::size_t number, std::uint32_t job, const Refusal &refusal, TimePoint at)
    {
        if (refusal.verdict != Verdict::NotRun) {
            return;
        }
        const bool laterAccepted = this->hasOtherSubmit(job, number);
        for (const auto &[task, times] : this->starts[this->run.jobs[job].key]) {
            const bool before = times.front() < at - std::chrono::milliseconds(1);
            if (before || !laterAccepted) {
                this->fail(fmt::format("call {} was told not-run, but task {} started", number, task));
                return;
            }
        }
    }

    bool hasOtherSubmit(std::uint32_t job, std::size_t besides) const
    {
        for (const auto &[call, submitted] : this->run.submits) {
            if (submitted == job && call != besides) {
                return true;
            }
        }
        return false;
    }

    void checkAnswer(std::size_t number, std::uint32_t job, const JobAnswer &answer)
    {
        const PlannedJob &planned = this->run.jobs[job];
        if (answer.key != planned.key || answer.tasks.size() != planned.spec.tasks.size()) {
            this->fail(fmt::format("call {} got another job's answer", number));
            return;
        }
        const auto known = this->answers.find(job);
        if (known != this->answers.end() && known->second != answer.outcome) {
            this->fail(fmt::format("call {} got another outcome for {} than an earlier call", number, planned.key.value));
        }
        this->answers[job] = answer.outcome;
        this->result.complete += answer.outcome == JobOutcome::Complete ? 1 : 0;
        for (std::uint32_t task = 0; task < answer.tasks.size(); ++task) {
            this->checkTask(number, planned, task, answer);
        }
    }

    void checkTask(std::size_t number, const PlannedJob &planned, std::uint32_t task, const JobAnswer &answer)
    {
        const TaskAnswer &one = answer.tasks[task];
        const bool started = this->starts[planned.key].contains(task);
        if (one.verdict == Verdict::NotRun && started) {
            this->fail(fmt::format("call {}: task {} of {} is not-run, but it started", number, task, planned.key.value));
        }
        if (one.verdict == Verdict::Ran && !started) {
            this->fail(fmt::format("call {}: task {} of {} has run, but it never started", number, task, planned.key.value));
        }
        if (answer.outcome == JobOutcome::Failed) {
            if (one.output != nullptr) {
                this->fail(fmt::format("call {}: a failed answer carries an output", number));
            }
            return;
        }
        const std::string expected = fmt::format("\"{}#{}\"", planned.key.value, task);
        if (one.output == nullptr || *one.output != expected || one.verdict != Verdict::Ran) {
            this->fail(fmt::format("call {}: task {} of a complete answer has a wrong output", number, task));
        }
    }

    const Runner &run; ///< The finished run.
    std::map<JobKey, std::map<std::uint32_t, std::vector<TimePoint>>> starts; ///< Starts by key and task.
    std::map<std::uint32_t, JobOutcome> answers; ///< Outcomes by job.
    ScheduleResult result; ///< What was found.
};

} // namespace

ScheduleResult runSchedule(std::uint64_t seed, const std::vector<Step> &steps, const Session::TraceHandler &trace)
{
    Runner runner(seed, trace);
    runner.run(steps);
    return Checker(runner).check();
}

std::string toText(const Step &step)
{
    constexpr std::array<std::string_view, 11> names
        = {"submit", "fetch", "cancel", "kill", "pause", "stop", "cut-domains", "cut-link", "cut-platform", "platform", "endpoint"};
    return fmt::format("{}ms {} target={} job={} length={}ms variant={}", step.atMs, names.at(static_cast<std::size_t>(step.kind)),
                       step.target, step.job, step.lengthMs, step.variant);
}

} // namespace Tanagertally
