#include "properties/schedule.h"

#include "properties/schedule_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace Tanagertally {

namespace {

constexpr std::array<std::string_view, 15> StepNames
    = {"submit",       "fetch",    "cancel",   "kill",         "pause",        "stop",        "cut-domains", "cut-link",
       "cut-platform", "platform", "endpoint", "submit-twice", "list-leaving", "slow-worker", "configure"};

/** Reads the number in "NAME=NUMBER" or, without a name, in "NUMBERms". */
bool readNumber(std::istream &words, std::string_view name, std::uint32_t &number)
{
    std::string word;
    const std::string prefix = name.empty() ? std::string() : std::string(name) + "=";
    if (!(words >> word) || !word.starts_with(prefix)) {
        return false;
    }
    std::istringstream rest(word.substr(prefix.size()));
    return static_cast<bool>(rest >> number);
}

std::optional<Step> parseStep(const std::string &line)
{
    std::istringstream words(line);
    Step step;
    std::string kind;
    if (!readNumber(words, {}, step.atMs) || !(words >> kind)) {
        return std::nullopt;
    }
    const auto *const name = std::find(StepNames.begin(), StepNames.end(), kind);
    const bool complete = name != StepNames.end() && readNumber(words, "target", step.target) && readNumber(words, "job", step.job)
                          && readNumber(words, "length", step.lengthMs) && readNumber(words, "variant", step.variant);
    if (!complete) {
        return std::nullopt;
    }
    step.kind = static_cast<StepKind>(name - StepNames.begin());
    std::string word;
    step.twice = words >> word && word == "twice";
    return step;
}

} // namespace

ScheduleResult runSchedule(std::uint64_t seed, const std::vector<Step> &steps, const Session::TraceHandler &trace)
{
    ScheduleRun run(seed, trace);
    run.run(steps);
    return checkRun(run);
}

std::string toText(const Step &step)
{
    return fmt::format("{}ms {} target={} job={} length={}ms variant={}{}", step.atMs, StepNames.at(static_cast<std::size_t>(step.kind)),
                       step.target, step.job, step.lengthMs, step.variant, step.twice ? " twice" : "");
}

Result<SavedSchedule> parseSchedule(std::string_view name, std::string_view text)
{
    SavedSchedule schedule;
    std::istringstream lines{std::string(text)};
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        if (line.empty() || line.front() == '#') {
            continue;
        }
        if (line.starts_with("seed ")) {
            schedule.seed = std::stoull(line.substr(5));
            continue;
        }
        const std::optional<Step> step = parseStep(line);
        if (!step) {
            return makeError(ErrorCode::BadInput, "not a step: " + line, fmt::format("{}:{}", name, number));
        }
        schedule.steps.push_back(*step);
    }
    return schedule;
}

} // namespace Tanagertally
