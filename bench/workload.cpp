#include "workload.h"

#include <algorithm>
#include <charconv>

namespace Tanagertally {

using namespace std::chrono_literals;

namespace {

constexpr std::string_view Lookup = "lookup";
constexpr std::string_view Confirm = "confirm";
constexpr std::string_view Release = "release";
constexpr std::string_view Impossible = "impossible";
constexpr double LookupShare = 0.6; // of the jobs
constexpr double ConfirmShare = 0.25; // of the jobs
constexpr double SingleShare = 0.85; // of the jobs
constexpr double FewShare = 0.12; // of the jobs
constexpr std::uint64_t FewTasks = 8; // most tasks
constexpr std::uint64_t SomeTasks = 32; // most tasks
constexpr std::uint32_t BigTasks = 1000; // tasks
constexpr double LongShare = 0.01; // of the tasks that are not lookups
constexpr int MeanSamples = 20000;
constexpr Duration LookupTimeout = 3s;
constexpr Duration UsualTimeout = 10s;
constexpr Duration BigTimeout = 60s;
constexpr Duration ImpossibleTimeout = 1s;
constexpr Duration ImpossibleRunTime = 8s;
constexpr double QuotaShare = 0.2; // quota of the team that wants more, as a share of all slots

Duration drawLogNormal(RandomEngine &random, Duration median, double sigma, Duration shortest, Duration longest)
{
    std::lognormal_distribution<double> distribution(0.0, sigma);
    const auto drawn = std::chrono::duration_cast<Duration>(median * distribution(random));
    return std::clamp(drawn, shortest, longest);
}

double drawUnit(RandomEngine &random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

KindConfig makeKind(std::string_view name, Idempotence idempotence, Duration expected)
{
    KindConfig kind;
    kind.name = KindName(std::string(name));
    kind.idempotence = idempotence;
    kind.urgency = Urgency::Urgent;
    kind.expectedRunTime = expected;
    return kind;
}

} // namespace

Workload::Workload(const UserProfile & /*user*/, const Scenario &scenario, std::uint64_t seed)
    : scenario(scenario)
    , random(seed)
{
    std::int64_t tasks = 0;
    Duration work{};
    for (int sample = 0; sample < MeanSamples; ++sample) {
        const DrawnJob job = this->drawJob();
        tasks += static_cast<std::int64_t>(job.spec.tasks.size());
        work += job.work;
    }
    this->meanTaskTime = work / tasks;
    this->meanJobTime = work / MeanSamples;
    if (scenario.bigJobShare > 0) {
        const double usual = std::chrono::duration<double>(this->meanJobTime).count();
        const double big = std::chrono::duration<double>(this->meanTaskTime).count() * BigTasks;
        const double share = scenario.bigJobShare;
        this->bigJobProbability = share * usual / (share * usual + (1 - share) * big);
        this->meanJobTime = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(usual * (1 - this->bigJobProbability) + big * this->bigJobProbability));
    }
    this->random.seed(seed);
}

Duration Workload::drawRunTime(std::string_view kind)
{
    if (kind == Lookup) {
        return drawLogNormal(this->random, 120ms, 0.5, 50ms, 300ms);
    }
    if (drawUnit(this->random) < LongShare) {
        return drawLogNormal(this->random, 3s, 0.3, 2s, 6s);
    }
    return drawLogNormal(this->random, 200ms, 0.6, 50ms, 1s);
}

void Workload::addTask(DrawnJob &job, std::string_view kind, Duration runTime)
{
    auto payload = std::make_shared<const std::string>(std::to_string(runTime.count()));
    job.spec.tasks.push_back(TaskSpec{KindName(std::string(kind)), std::move(payload), {}});
    job.longest = std::max(job.longest, runTime);
    job.work += runTime;
}

DrawnJob Workload::drawJob()
{
    DrawnJob job;
    const double kindDraw = drawUnit(this->random);
    const bool isLookup = kindDraw < LookupShare;
    const std::string_view other = kindDraw < LookupShare + ConfirmShare ? Confirm : Release;
    const std::string_view kind = isLookup ? Lookup : other;
    const double sizeDraw = drawUnit(this->random);
    std::uint64_t tasks = 1;
    if (sizeDraw >= SingleShare) {
        tasks = 2 + drawBelow(this->random, (sizeDraw < SingleShare + FewShare ? FewTasks : SomeTasks) - 1);
    }
    for (std::uint64_t task = 0; task < tasks; ++task) {
        this->addTask(job, kind, this->drawRunTime(kind));
    }
    job.spec.timeout = isLookup ? LookupTimeout : UsualTimeout;
    return job;
}

DrawnJob Workload::drawUsual()
{
    const double draw = drawUnit(this->random);
    if (draw < this->scenario.impossibleShare) {
        DrawnJob job;
        job.jobClass = JobClass::Impossible;
        this->addTask(job, Impossible, ImpossibleRunTime);
        job.spec.timeout = ImpossibleTimeout;
        return job;
    }
    if (draw < this->scenario.impossibleShare + this->bigJobProbability) {
        DrawnJob job;
        job.jobClass = JobClass::Big;
        for (std::uint32_t task = 0; task < BigTasks; ++task) {
            this->addTask(job, Release, this->drawRunTime(Release));
        }
        job.spec.timeout = BigTimeout;
        return job;
    }
    return this->drawJob();
}

DrawnJob Workload::drawOverQuota()
{
    DrawnJob job = this->drawJob();
    job.jobClass = JobClass::OverQuota;
    return job;
}

FleetConfig makeBenchConfig(const UserProfile &user, const Scenario &scenario, const Policy &policy)
{
    FleetConfig config;
    const auto scaled = [&](Duration time) { return std::chrono::duration_cast<Duration>(time * scenario.expectedRunTimeFactor); };
    config.kinds = {makeKind(Lookup, Idempotence::Idempotent, scaled(130ms)), makeKind(Confirm, Idempotence::NonIdempotent, scaled(250ms)),
                    makeKind(Release, Idempotence::NonIdempotent, scaled(250ms)), makeKind(Impossible, Idempotence::NonIdempotent, 250ms)};
    config.kinds.front().hedged = policy.hedged;
    config.policy.maxQueueWait = policy.maxQueueWait;
    const auto quota = static_cast<std::uint32_t>(QuotaShare * user.allSlots());
    config.teams = {TeamConfig{TeamName(std::string(OverQuotaTeam)), quota, 1}};
    return config;
}

Duration runTimeOf(const Payload &payload)
{
    std::int64_t nanoseconds = 0;
    std::from_chars(payload->data(), payload->data() + payload->size(), nanoseconds);
    return Duration(nanoseconds);
}

} // namespace Tanagertally
