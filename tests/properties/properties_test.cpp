#define BOOST_TEST_MODULE properties
#include "properties/schedule.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

using namespace Tanagertally;

namespace rc {

/** @return A number drawn uniformly, whatever RapidCheck's present size. */
inline Gen<std::uint32_t> uniform(std::uint32_t min, std::uint32_t max)
{
    return gen::resize(kNominalSize, gen::inRange<std::uint32_t>(min, max));
}

/** Random steps; half of them are submissions, a quarter come twice in a row. */
template<>
struct Arbitrary<Step> {
    static Gen<Step> arbitrary()
    {
        const auto any = gen::map(uniform(0, static_cast<std::uint32_t>(StepKind::Last) + 1),
                                  [](std::uint32_t value) { return static_cast<StepKind>(value); });
        const auto kind = gen::oneOf(gen::just(StepKind::Submit), any);
        // Half of all steps crowd round a few moments, so that they meet within the milliseconds of one decision.
        const auto crowded
            = gen::apply([](std::uint32_t moment, std::uint32_t offset) { return moment * 500 + offset; }, uniform(0, 8), uniform(0, 8));
        const auto at = gen::oneOf(uniform(0, 3500), crowded);
        const auto twice = gen::map(uniform(0, 4), [](std::uint32_t value) { return value == 0; });
        return gen::build<Step>(gen::set(&Step::atMs, at), gen::set(&Step::kind, kind), gen::set(&Step::target, uniform(0, 12)),
                                gen::set(&Step::job, uniform(0, 6)), gen::set(&Step::lengthMs, uniform(50, 3500)),
                                gen::set(&Step::variant, uniform(0, 12)), gen::set(&Step::twice, twice));
    }
};

} // namespace rc

namespace {

constexpr const char *DefaultParameters = "seed=20261203 max_success=500 max_size=40";

/** Counts what did not hold over many schedules, and saves the first schedule of each kind. */
class Survey
{
public:
    explicit Survey(std::filesystem::path directory)
        : directory(std::move(directory))
    {
    }

    void note(std::uint64_t seed, const std::vector<Step> &steps, const std::vector<std::string> &violations)
    {
        std::set<std::string> kinds;
        for (const std::string &violation : violations) {
            kinds.insert(kindOf(violation));
        }
        for (const std::string &kind : kinds) {
            if (++this->counts[kind] == 1) {
                this->save(this->counts.size(), kind, seed, steps);
            }
        }
    }

    /** @return Whether everything held. */
    bool report() const
    {
        for (const auto &[kind, count] : this->counts) {
            std::cout << count << " schedules: " << kind << "\n";
        }
        return this->counts.empty();
    }

private:
    /** @return A violation without the numbers in it. */
    static std::string kindOf(const std::string &violation)
    {
        std::string kind;
        std::copy_if(violation.begin(), violation.end(), std::back_inserter(kind), [](char c) { return c < '0' || c > '9'; });
        return kind.substr(0, kind.find("tt~"));
    }

    void save(std::size_t number, const std::string &kind, std::uint64_t seed, const std::vector<Step> &steps) const
    {
        std::ofstream file(this->directory / ("schedule-" + std::to_string(number) + ".txt"));
        file << "# " << kind << "\nseed " << seed << "\n";
        for (const Step &step : steps) {
            file << toText(step) << "\n";
        }
    }

    std::filesystem::path directory; ///< Where schedules are saved.
    std::map<std::string, std::size_t> counts; ///< Schedules by kind of violation.
};

} // namespace

// TANAGERTALLY_SURVEY=DIR goes on after a violation, counts the kinds, and saves the first schedule of each in DIR.
BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRandomSchedules)
{
    setenv("RC_PARAMS", DefaultParameters, 0);
    const char *surveyDirectory = std::getenv("TANAGERTALLY_SURVEY");
    std::optional<Survey> survey;
    if (surveyDirectory != nullptr) {
        survey.emplace(surveyDirectory);
    }
    std::uint64_t starts = 0;
    std::uint64_t complete = 0;
    const bool held = rc::check("invariants", [&](std::uint64_t seed, const std::vector<Step> &steps) {
        const ScheduleResult result = runSchedule(seed, steps);
        starts += result.starts;
        complete += result.complete;
        if (survey) {
            survey->note(seed, steps, result.violations);
            return;
        }
        for (const std::string &violation : result.violations) {
            RC_LOG(violation);
        }
        RC_LOG("seed " + std::to_string(seed));
        for (const Step &step : steps) {
            RC_LOG(toText(step));
        }
        RC_ASSERT(result.violations.empty());
    });
    std::cout << "starts=" << starts << " complete=" << complete << " parameters=" << std::getenv("RC_PARAMS") << "\n";
    BOOST_TEST(held);
    BOOST_TEST((!survey || survey->report()));
}
