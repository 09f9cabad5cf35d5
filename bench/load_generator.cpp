#include "load_generator.h"

namespace Tanagertally {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t CallersPerDomain = 48;
constexpr std::uint32_t OddCallersPerDomain = 8;
constexpr std::uint32_t Teams = 8;
constexpr std::uint32_t KeyBatch = 64; // keys
constexpr std::size_t RefillAt = 24; // keys left
constexpr Duration FirstKeysAt = 1s;
constexpr Duration FirstJobAt = 2s;
constexpr Duration KeysTimeout = 1s;
constexpr Duration BurstPeriod = 5s;
constexpr Duration BurstLength = 1s;
constexpr std::uint64_t OverQuotaSeed = 0x9e3779b97f4a7c15ULL;
constexpr std::uint64_t CallerSeed = 0xd1b54a32d192ed03ULL;

} // namespace

LoadGenerator::LoadGenerator(Session &session, const UserProfile &user, const Scenario &scenario, const RunLength &length,
                             std::uint64_t seed, Recorder &recorder)
    : session(session)
    , user(user)
    , scenario(scenario)
    , length(length)
    , recorder(recorder)
    , usual(user, scenario, seed)
    , overQuota(user, scenario, seed ^ OverQuotaSeed)
    , random(seed ^ CallerSeed)
    , ready(session.instanceCount(), true)
{
    for (std::uint32_t domain = 0; domain < user.domains; ++domain) {
        this->addCallers(JobClass::Usual, domain, CallersPerDomain, "team", Teams);
        this->addCallers(JobClass::Impossible, domain, OddCallersPerDomain, "odd", 1);
        this->addCallers(JobClass::Big, domain, OddCallersPerDomain, "bulk", 1);
        this->addCallers(JobClass::OverQuota, domain, CallersPerDomain, OverQuotaTeam, 1);
    }
    this->session.onReply([this](std::size_t call, const SessionReply &reply) { this->handle(call, reply); });
}

void LoadGenerator::addCallers(JobClass jobClass, std::uint32_t domain, std::uint32_t count, std::string_view team, std::uint32_t teams)
{
    for (std::uint32_t caller = 0; caller < count; ++caller) {
        this->callersOf.at(static_cast<std::size_t>(jobClass)).push_back(this->callers.size());
        const TeamName name(teams == 1 ? std::string(team) : std::string(team) + std::to_string(caller % teams));
        this->callers.push_back(Caller{domain, name, domain * this->user.instancesPerDomain, {}, false, {}});
    }
}

void LoadGenerator::start()
{
    for (std::size_t caller = 0; caller < this->callers.size(); ++caller) {
        this->session.at(FirstKeysAt, [this, caller] { this->askKeys(caller); });
    }
    this->session.at(FirstJobAt, [this] { this->scheduleNext(this->usual, this->scenario.load, false); });
    if (this->scenario.overQuotaLoad > 0) {
        this->session.at(FirstJobAt, [this] { this->scheduleNext(this->overQuota, this->scenario.overQuotaLoad, true); });
    }
}

double LoadGenerator::loadNow(double mean) const
{
    const double factor = this->scenario.burstFactor;
    if (factor == 1.0) {
        return mean;
    }
    const double burstShare = std::chrono::duration<double>(BurstLength) / std::chrono::duration<double>(BurstPeriod);
    const double between = mean / (burstShare * factor + (1.0 - burstShare));
    return this->session.now() % BurstPeriod < BurstLength ? between * factor : between;
}

void LoadGenerator::scheduleNext(Workload &workload, double load, bool overQuota)
{
    const double perJob = std::chrono::duration<double>(workload.meanJob()).count();
    const double jobsPerSecond = this->loadNow(load) * this->user.allSlots() / perJob;
    std::exponential_distribution<double> gap(jobsPerSecond);
    const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(workload.engine())));
    const Duration at = this->session.now() + delay;
    if (at < this->length.end()) {
        this->session.at(at, [this, &workload, load, overQuota] { this->arrive(workload, load, overQuota); });
    }
}

void LoadGenerator::arrive(Workload &workload, double load, bool overQuota)
{
    DrawnJob drawn = overQuota ? workload.drawOverQuota() : workload.drawUsual();
    const std::vector<std::size_t> &group = this->callersOf.at(static_cast<std::size_t>(drawn.jobClass));
    const std::size_t caller = group[drawBelow(workload.engine(), group.size())];
    const std::size_t job = this->recorder.addJob(drawn, this->callers[caller].domain);
    this->specs[job] = std::move(drawn.spec);
    this->submit(caller, job, this->scenario.resubmits);
    this->scheduleNext(workload, load, overQuota);
}

std::uint32_t LoadGenerator::pickInstance(std::uint32_t domain)
{
    const std::uint32_t first = domain * this->user.instancesPerDomain;
    const auto start = static_cast<std::uint32_t>(drawBelow(this->random, this->user.instancesPerDomain));
    const std::uint32_t all = this->session.instanceCount();
    for (std::uint32_t step = 0; step < this->user.instancesPerDomain + all; ++step) {
        const bool own = step < this->user.instancesPerDomain;
        const std::uint32_t instance = own ? first + (start + step) % this->user.instancesPerDomain : (first + step) % all;
        if (this->ready[instance] && this->session.isRunning(instance)) {
            return instance;
        }
    }
    return first;
}

void LoadGenerator::askKeys(std::size_t caller)
{
    Caller &one = this->callers[caller];
    if (one.asking) {
        return;
    }
    one.asking = true;
    const std::size_t call = this->session.requestKeys(this->pickInstance(one.domain), one.team, KeyBatch);
    this->keyCalls[call] = caller;
    this->session.at(this->session.now() + KeysTimeout, [this, call, caller] {
        if (this->keyCalls.erase(call) > 0) {
            this->callers[caller].asking = false;
            this->askKeys(caller);
        }
    });
}

void LoadGenerator::submit(std::size_t caller, std::size_t job, std::uint32_t comesBack)
{
    Caller &one = this->callers[caller];
    if (one.keys.size() <= RefillAt) {
        this->askKeys(caller);
    }
    if (one.keys.empty()) {
        one.waiting.push_back(job);
        return;
    }
    const JobKey key = one.keys.back();
    one.keys.pop_back();
    std::uint32_t instance = one.home;
    const bool throughOther = std::uniform_real_distribution<double>(0.0, 1.0)(this->random) < this->scenario.throughOthers;
    if (throughOther) {
        instance = static_cast<std::uint32_t>(drawBelow(this->random, this->session.instanceCount()));
    }
    if (!this->ready[instance] || !this->session.isRunning(instance)) {
        instance = this->pickInstance(one.domain);
    }
    this->recorder.submitted(job, key);
    const std::size_t call = this->session.submit(instance, one.team, key, this->specs.at(job));
    this->inProgress[call] = Submitted{job, caller, comesBack};
}

void LoadGenerator::handle(std::size_t call, const SessionReply &reply)
{
    const auto keys = this->keyCalls.find(call);
    if (keys != this->keyCalls.end()) {
        const std::size_t caller = keys->second;
        this->keyCalls.erase(keys);
        Caller &one = this->callers[caller];
        one.asking = false;
        if (const auto *issued = std::get_if<KeysIssued>(&reply.reply)) {
            one.keys = issued->keys;
            one.home = this->session.call(call).instance;
            std::vector<std::size_t> waiting;
            waiting.swap(one.waiting);
            for (const std::size_t job : waiting) {
                this->submit(caller, job, this->scenario.resubmits);
            }
        }
        return;
    }
    const auto found = this->inProgress.find(call);
    if (found != this->inProgress.end()) {
        const Submitted submitted = found->second;
        this->inProgress.erase(found);
        this->jobReplied(submitted, reply);
    }
}

void LoadGenerator::jobReplied(const Submitted &submitted, const SessionReply &reply)
{
    this->recorder.ended(submitted.job, reply);
    const auto *refusal = std::get_if<Refusal>(&reply.reply);
    this->dropStaleKeys(submitted.caller, refusal);
    const bool mayComeBack = refusal != nullptr && refusal->verdict == Verdict::NotRun && refusal->retryAfter;
    if (!mayComeBack || submitted.comesBack == 0) {
        this->specs.erase(submitted.job);
        return;
    }
    this->session.at(this->session.now() + *refusal->retryAfter,
                     [this, submitted] { this->submit(submitted.caller, submitted.job, submitted.comesBack - 1); });
}

void LoadGenerator::dropStaleKeys(std::size_t caller, const Refusal *refusal)
{
    if (refusal == nullptr) {
        return;
    }
    const ErrorCode code = refusal->error.code;
    if (code == ErrorCode::HomeLost || code == ErrorCode::HomeUnreachable || code == ErrorCode::Stopping) {
        this->callers[caller].keys.clear();
    }
}

void LoadGenerator::cancelSome(double share)
{
    std::vector<Submitted> chosen;
    for (const auto &[call, submitted] : this->inProgress) {
        if (std::uniform_real_distribution<double>(0.0, 1.0)(this->random) < share) {
            chosen.push_back(submitted);
        }
    }
    for (const Submitted &submitted : chosen) {
        JobEntry &job = this->recorder.job(submitted.job);
        job.cancelled = true;
        const Caller &caller = this->callers[submitted.caller];
        this->session.cancel(caller.home, caller.team, job.key);
    }
}

void LoadGenerator::setReady(std::uint32_t instance, bool ready)
{
    this->ready[instance] = ready;
}

} // namespace Tanagertally
