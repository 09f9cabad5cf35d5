#include "golden/script_type.h"

#include "blackboard/duration_func.h"

#include <fmt/format.h>

#include <charconv>
#include <sstream>

namespace Tanagertally {

namespace {

constexpr Duration DefaultRunTime = std::chrono::milliseconds(50);

/** One line, while it is read. */
struct Line {
    std::vector<ScriptWord> words;
    std::string place;
};

ScriptWord toWord(const std::string &text)
{
    const std::size_t equals = text.find('=');
    return equals == std::string::npos ? ScriptWord{text, {}} : ScriptWord{text.substr(0, equals), text.substr(equals + 1)};
}

Error bad(const Line &line, std::string message)
{
    return makeError(ErrorCode::BadInput, std::move(message), line.place);
}

Result<std::uint32_t> toNumber(const Line &line, const std::string &text)
{
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return bad(line, fmt::format("expected a number, found \"{}\"", text));
    }
    return number;
}

Result<Duration> toDuration(const Line &line, const std::string &text)
{
    const Result<Duration> duration = durationFromText(text);
    if (!duration) {
        return bad(line, duration.error().message);
    }
    return duration.value();
}

std::optional<Error> readKind(const Line &line, Script &script)
{
    KindConfig kind;
    kind.name = KindName(line.words[1].name);
    for (std::size_t index = 2; index < line.words.size(); ++index) {
        const ScriptWord &word = line.words[index];
        if (word.name == "idempotent") {
            kind.idempotence = Idempotence::Idempotent;
        } else if (word.name == "hedged") {
            kind.hedged = true;
        } else if (word.name == "run-time") {
            const Result<Duration> runTime = toDuration(line, word.value);
            if (!runTime) {
                return runTime.error();
            }
            script.runTimes[kind.name.value] = runTime.value();
        } else {
            return bad(line, fmt::format("unknown property \"{}\" of a kind", word.name));
        }
    }
    script.options.config.kinds.push_back(kind);
    return std::nullopt;
}

std::optional<Error> readDuration(const Line &line, Duration &target)
{
    const Result<Duration> duration = toDuration(line, line.words[1].name);
    if (!duration) {
        return duration.error();
    }
    target = duration.value();
    return std::nullopt;
}

std::optional<Error> readOption(const Line &line, Script &script)
{
    SessionOptions &options = script.options;
    const std::string &name = line.words[0].name;
    if (line.words.size() < 2) {
        return bad(line, fmt::format("\"{}\" needs a value", name));
    }
    if (name == "kind") {
        return readKind(line, script);
    }
    const std::map<std::string, Duration *> durations
        = {{"end", &script.end}, {"list-lag", &options.delays.listLag}, {"max-queue-wait", &options.config.policy.maxQueueWait}};
    if (durations.contains(name)) {
        return readDuration(line, *durations.at(name));
    }
    const std::map<std::string, std::uint32_t *> numbers = {{"domains", &options.domains},
                                                            {"instances", &options.instancesPerDomain},
                                                            {"workers", &options.workersPerDomain},
                                                            {"slots", &options.slots}};
    if (!numbers.contains(name)) {
        return bad(line, fmt::format("unknown option \"{}\"", name));
    }
    const Result<std::uint32_t> number = toNumber(line, line.words[1].name);
    if (!number) {
        return number.error();
    }
    *numbers.at(name) = number.value();
    return std::nullopt;
}

std::optional<Error> readStep(const Line &line, const std::string &text, Script &script)
{
    if (line.words.size() < 3) {
        return bad(line, "expected: at TIME COMMAND ...");
    }
    const Result<Duration> at = toDuration(line, line.words[1].name);
    if (!at) {
        return at.error();
    }
    const std::size_t command = text.find(line.words[2].name, text.find(line.words[1].name) + line.words[1].name.size());
    script.steps.push_back(ScriptStep{at.value(), text.substr(command), {line.words.begin() + 2, line.words.end()}, line.place});
    return std::nullopt;
}

std::optional<Error> readLine(const std::string &text, const std::string &place, Script &script)
{
    Line line{{}, place};
    std::istringstream words(text);
    for (std::string word; words >> word;) {
        line.words.push_back(toWord(word));
    }
    if (line.words.empty() || text.front() == '#') {
        return std::nullopt;
    }
    return line.words[0].name == "at" ? readStep(line, text, script) : readOption(line, script);
}

} // namespace

Result<Script> parseScript(std::string_view name, std::string_view text)
{
    Script script;
    std::istringstream lines{std::string(text)};
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        if (std::optional<Error> error = readLine(line, fmt::format("{}:{}", name, number), script)) {
            return std::move(*error);
        }
    }
    if (script.end == Duration::zero()) {
        return makeError(ErrorCode::BadInput, "the option \"end\" is missing", fmt::format("{}:{}", name, number));
    }
    script.options.runTime = [runTimes = script.runTimes](const KindName &kind, RandomEngine &) {
        const auto found = runTimes.find(kind.value);
        return found == runTimes.end() ? DefaultRunTime : found->second;
    };
    return script;
}

} // namespace Tanagertally
