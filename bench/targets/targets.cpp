#include "targets/targets.h"

namespace Tanagertally {

namespace {

double ratioAt(const RunFigures &figures, double fraction)
{
    return static_cast<double>(figures.ratio.quantile(fraction)) / RatioUnit;
}

double ratioP50(const RunFigures &figures, const RunFigures * /*baseline*/)
{
    return ratioAt(figures, 0.5);
}

double ratioP99(const RunFigures &figures, const RunFigures * /*baseline*/)
{
    return ratioAt(figures, 0.99);
}

double wastedCount(const RunFigures &figures, const RunFigures * /*baseline*/)
{
    return static_cast<double>(figures.allWasted());
}

double wastedShare(const RunFigures &figures, const RunFigures * /*baseline*/)
{
    return figures.messages == 0 ? 0 : static_cast<double>(figures.allWasted()) / static_cast<double>(figures.messages);
}

double lostToFaultyWorker(const RunFigures &figures, const RunFigures * /*baseline*/)
{
    return static_cast<double>(figures.mostLostToFaultyWorker);
}

double restGoodput(const RunFigures &figures, const RunFigures * /*baseline*/)
{
    return figures.restGoodput;
}

double capacityUse(const RunFigures &figures, const RunFigures * /*baseline*/)
{
    return figures.capacityUse;
}

double acceptedP99(const RunFigures &figures, const RunFigures * /*baseline*/)
{
    return figures.inTimeP99;
}

double localGoodput(const RunFigures &figures, const RunFigures * /*baseline*/)
{
    return figures.localGoodput;
}

double untrueRefusals(const RunFigures &figures, const RunFigures * /*baseline*/)
{
    return static_cast<double>(figures.untrueRefusals);
}

double p99Change(const RunFigures &figures, const RunFigures *baseline)
{
    const double alone = ratioAt(*baseline, 0.99);
    return std::abs(ratioAt(figures, 0.99) - alone) / alone;
}

constexpr double MostWasted = 0.01; // of all messages
constexpr double LeastGoodput = 0.98;

constexpr std::array Targets = {
    Target{"calm-80", "response/ideal p50", true, 1.02, ratioP50},
    Target{"calm-80", "response/ideal p99", true, 1.25, ratioP99},
    Target{"calm-80", "wasted messages", true, 0, wastedCount},
    Target{"failing-worker", "tasks lost to it per instance", true, 9, lostToFaultyWorker},
    Target{"failing-worker", "goodput of the rest", false, LeastGoodput, restGoodput},
    Target{"overload-130", "goodput over capacity", false, 0.97, capacityUse},
    Target{"overload-130", "accepted p99 over deadline", true, 1.0, acceptedP99},
    Target{"overload-130", "untrue refusals", true, 0, untrueRefusals},
    Target{"failing-worker", "wasted share", true, MostWasted, wastedShare},
    Target{"slow-worker", "wasted share", true, MostWasted, wastedShare},
    Target{"stragglers", "wasted share", true, MostWasted, wastedShare},
    Target{"rack-gone", "wasted share", true, MostWasted, wastedShare},
    Target{"silent-connections", "wasted share", true, MostWasted, wastedShare},
    Target{"cancel-waves", "wasted share", true, MostWasted, wastedShare},
    Target{"rolling-replacement", "wasted share", true, MostWasted, wastedShare},
    Target{"impossible-jobs", "wasted share", true, MostWasted, wastedShare},
    Target{"domain-cut", "local goodput", false, LeastGoodput, localGoodput},
    Target{"over-quota", "others' p99 against none of it", true, 0.05, p99Change, "over-quota-alone"},
    Target{"over-quota", "others' p99 against in quota", true, 0.05, p99Change, "within-quota"},
};

const RunResult *findBaseline(std::span<const RunResult> results, const RunResult &of, std::string_view scenario)
{
    for (const RunResult &result : results) {
        if (result.scenario == scenario && result.policy == of.policy && result.user == of.user && result.seed == of.seed) {
            return &result;
        }
    }
    return nullptr;
}

} // namespace

std::span<const Target> allTargets()
{
    return Targets;
}

std::vector<Judgement> judge(std::span<const RunResult> results)
{
    std::vector<Judgement> judgements;
    for (const RunResult &result : results) {
        for (const Target &target : Targets) {
            if (target.scenario != result.scenario) {
                continue;
            }
            const RunResult *baseline = target.baseline.empty() ? nullptr : findBaseline(results, result, target.baseline);
            if (!target.baseline.empty() && baseline == nullptr) {
                continue;
            }
            const double measured = target.measure(result.figures, baseline == nullptr ? nullptr : &baseline->figures);
            const bool met = target.atMost ? measured <= target.bound : measured >= target.bound;
            judgements.push_back(Judgement{&target, &result, measured, met});
        }
    }
    return judgements;
}

} // namespace Tanagertally
