#include "golden/script_runner.h"

#include "blackboard/duration_func.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Tanagertally {

namespace {

const TeamName Team("t");
constexpr Duration DefaultTimeout = std::chrono::seconds(5);
constexpr std::array<std::string_view, 6> EndpointModes = {"normal", "fails-all", "refusing", "dead", "silent-connections", "silent"};
constexpr std::array<std::string_view, 5> PlatformModes = {"normal", "refusing", "silent", "loses-answers", "slow"};

Error bad(const ScriptStep &step, std::string message)
{
    return makeError(ErrorCode::BadInput, std::move(message), step.place);
}

std::string wordAt(const ScriptStep &step, std::size_t index)
{
    return index < step.words.size() ? step.words[index].name : std::string();
}

std::string valueOf(const ScriptStep &step, const std::string &name, const std::string &otherwise)
{
    const auto found = std::find_if(step.words.begin(), step.words.end(), [&](const ScriptWord &word) { return word.name == name; });
    return found == step.words.end() ? otherwise : found->value;
}

bool hasWord(const ScriptStep &step, const std::string &name)
{
    return std::any_of(step.words.begin(), step.words.end(), [&](const ScriptWord &word) { return word.name == name; });
}

/** @return The number in a name such as "e1", if it has this prefix and is below the limit. */
std::optional<std::uint32_t> indexIn(const std::string &name, char prefix, std::uint32_t limit)
{
    std::uint32_t number = 0;
    if (name.size() < 2 || name.front() != prefix) {
        return std::nullopt;
    }
    const auto [end, error] = std::from_chars(name.data() + 1, name.data() + name.size(), number);
    const bool fits = error == std::errc() && end == name.data() + name.size() && number < limit;
    return fits ? std::optional(number) : std::nullopt;
}

template<std::size_t Size>
std::optional<std::size_t> findName(const std::array<std::string_view, Size> &names, const std::string &name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? std::nullopt : std::optional(static_cast<std::size_t>(found - names.begin()));
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

} // namespace

ScriptRunner::ScriptRunner(const Script &script)
    : script(script)
    , session(script.options)
    , commands(this->makeCommands())
{
    this->commands.merge(this->makeFaults());
    this->session.onTrace([this](TimePoint at, const std::string &line) {
        const bool repeated = this->echoes;
        this->echoes = false;
        if (!repeated) {
            this->write(at, line);
        }
    });
}

Result<std::string> ScriptRunner::run()
{
    for (const ScriptStep &step : this->script.steps) {
        if (!this->commands.contains(step.words.front().name)) {
            return bad(step, fmt::format("unknown command \"{}\"", step.words.front().name));
        }
        this->session.at(step.at, [this, &step] { this->execute(step); });
    }
    this->session.runUntil(this->script.end);
    if (this->error) {
        return std::move(*this->error);
    }
    this->writeSummary();
    return std::move(this->transcript);
}

void ScriptRunner::execute(const ScriptStep &step)
{
    this->begun = true;
    this->write(TimePoint(this->session.now()), "> " + step.text);
    this->echoes = true;
    const std::optional<Error> failure = this->commands.at(step.words.front().name)(step);
    this->echoes = false;
    if (failure && !this->error) {
        this->error = failure;
    }
}

void ScriptRunner::write(TimePoint at, std::string line)
{
    if (!this->begun) {
        return;
    }
    for (const auto &[name, call] : this->keyCalls) {
        const std::string key = this->keyNamed("$" + name).value;
        if (!key.empty()) {
            replaceAll(line, key, "$" + name);
        }
    }
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
    this->transcript += fmt::format("{:>3}.{:06} {}\n", micros / 1'000'000, micros % 1'000'000, line);
}

void ScriptRunner::writeSummary()
{
    std::map<std::pair<JobKey, std::uint32_t>, std::uint32_t> starts;
    for (const SessionStart &start : this->session.starts()) {
        ++starts[{start.key, start.task}];
    }
    std::uint32_t most = 0;
    for (const auto &[task, count] : starts) {
        most = std::max(most, count);
    }
    this->write(TimePoint(this->session.now()),
                fmt::format("end: {} starts of {} tasks, at most {} of one", this->session.starts().size(), starts.size(), most));
    for (const std::size_t number : this->callNumbers) {
        const SessionCall &call = this->session.call(number);
        if (call.replies.size() != 1) {
            this->write(TimePoint(this->session.now()), fmt::format("end: call {} got {} replies{}", number, call.replies.size(),
                                                                    call.connectionLost ? ", its instance died" : ""));
        }
    }
}

JobKey ScriptRunner::keyNamed(const std::string &name) const
{
    if (!name.starts_with('$')) {
        return JobKey(name);
    }
    const auto found = this->keyCalls.find(name.substr(1));
    if (found == this->keyCalls.end() || this->session.call(found->second).replies.empty()) {
        return JobKey();
    }
    const auto *issued = std::get_if<KeysIssued>(&this->session.call(found->second).replies.front().reply);
    return issued == nullptr ? JobKey() : issued->keys.front();
}

std::optional<Error> ScriptRunner::withInstance(const ScriptStep &step, const std::function<void(std::uint32_t)> &what)
{
    const std::optional<std::uint32_t> instance = indexIn(wordAt(step, 1), 'e', this->session.instanceCount());
    if (!instance) {
        return bad(step, "expected an instance such as e0");
    }
    what(*instance);
    return std::nullopt;
}

std::optional<Error> ScriptRunner::withWorker(const ScriptStep &step, const std::function<void(std::uint32_t)> &what)
{
    const std::optional<std::uint32_t> worker = indexIn(wordAt(step, 1), 'w', this->session.workerCount());
    if (!worker) {
        return bad(step, "expected a worker such as w0");
    }
    what(*worker);
    return std::nullopt;
}

std::map<std::string, ScriptRunner::Command> ScriptRunner::makeCommands()
{
    std::map<std::string, Command> made;
    made["keys"] = [this](const ScriptStep &step) { return this->requestKeys(step); };
    made["submit"] = [this](const ScriptStep &step) { return this->submit(step); };
    made["fetch"] = [this](const ScriptStep &step) { return this->ask(step); };
    made["cancel"] = [this](const ScriptStep &step) { return this->ask(step); };
    made["operate"] = [this](const ScriptStep &step) { return this->operate(step); };
    return made;
}

std::map<std::string, ScriptRunner::Command> ScriptRunner::makeFaults()
{
    std::map<std::string, Command> made;
    const auto forInstance = [this](void (Session::*what)(std::uint32_t)) {
        return [this, what](const ScriptStep &step) {
            return this->withInstance(step, [this, what](std::uint32_t instance) { (this->session.*what)(instance); });
        };
    };
    made["kill"] = forInstance(&Session::kill);
    made["restart"] = forInstance(&Session::restart);
    made["stop"] = forInstance(&Session::stop);
    made["pause"] = forInstance(&Session::pause);
    made["resume"] = forInstance(&Session::resume);
    made["cut"] = [this](const ScriptStep &step) { return this->cut(step, true); };
    made["mend"] = [this](const ScriptStep &step) { return this->cut(step, false); };
    made["endpoint"] = [this](const ScriptStep &step) { return this->setEndpoint(step); };
    made["platform"] = [this](const ScriptStep &step) { return this->setPlatform(step); };
    made["list"] = [this](const ScriptStep &step) {
        return this->withWorker(step, [&](std::uint32_t worker) { this->session.listLeaving(worker, wordAt(step, 2) == "leaving"); });
    };
    return made;
}

std::optional<Error> ScriptRunner::requestKeys(const ScriptStep &step)
{
    const std::string name = valueOf(step, "as", {});
    if (name.empty()) {
        return bad(step, "expected: keys INSTANCE as=NAME");
    }
    return this->withInstance(step, [&](std::uint32_t instance) {
        this->keyCalls[name] = this->session.requestKeys(instance, Team, 1);
        this->callNumbers.push_back(this->keyCalls[name]);
    });
}

std::optional<Error> ScriptRunner::submit(const ScriptStep &step)
{
    const Result<Duration> timeout = durationFromText(valueOf(step, "timeout", durationToText(DefaultTimeout)));
    if (!timeout) {
        return bad(step, timeout.error().message);
    }
    std::uint32_t tasks = 0;
    const std::string count = valueOf(step, "tasks", "1");
    std::from_chars(count.data(), count.data() + count.size(), tasks);
    const JobKey key = this->keyNamed(valueOf(step, "key", {}));
    if (tasks == 0 || key.empty() || !hasWord(step, "kind")) {
        return bad(step, "expected: submit INSTANCE key=KEY kind=KIND [tasks=N] [mode=wait|later] [timeout=T] [poison]");
    }
    JobSpec job;
    job.timeout = timeout.value();
    job.mode = valueOf(step, "mode", "wait") == "later" ? SubmitMode::Later : SubmitMode::Wait;
    const std::string payload = hasWord(step, "poison") ? "\"poison\"" : "{}";
    for (std::uint32_t task = 0; task < tasks; ++task) {
        job.tasks.push_back(TaskSpec{KindName(valueOf(step, "kind", {})), std::make_shared<const std::string>(payload), {}});
    }
    return this->withInstance(
        step, [&](std::uint32_t instance) { this->callNumbers.push_back(this->session.submit(instance, Team, key, std::move(job))); });
}

std::optional<Error> ScriptRunner::ask(const ScriptStep &step)
{
    const JobKey key = this->keyNamed(valueOf(step, "key", {}));
    if (key.empty()) {
        return bad(step, "expected: fetch|cancel INSTANCE key=KEY [wait]");
    }
    const bool cancels = step.words.front().name == "cancel";
    return this->withInstance(step, [&](std::uint32_t instance) {
        this->callNumbers.push_back(cancels ? this->session.cancel(instance, Team, key)
                                            : this->session.fetch(instance, Team, key, hasWord(step, "wait")));
    });
}

std::optional<Error> ScriptRunner::operate(const ScriptStep &step)
{
    const std::string by = wordAt(step, 2);
    const std::size_t begin = step.text.find(':');
    if (by.empty() || begin == std::string::npos) {
        return bad(step, "expected: operate INSTANCE OPERATOR : TEXT");
    }
    const std::string text = step.text.substr(std::min(step.text.size(), begin + 2));
    return this->withInstance(step, [&](std::uint32_t instance) { this->session.operate(instance, OperatorName(by), text); });
}

std::optional<Error> ScriptRunner::cut(const ScriptStep &step, bool cut)
{
    const std::string first = wordAt(step, 1);
    const std::string second = wordAt(step, 2);
    const std::optional<std::uint32_t> domain = indexIn(first, 'd', this->script.options.domains);
    const std::optional<std::uint32_t> otherDomain = indexIn(second, 'd', this->script.options.domains);
    const std::optional<std::uint32_t> from = indexIn(first, 'e', this->session.instanceCount());
    const std::optional<std::uint32_t> to = indexIn(second, 'e', this->session.instanceCount());
    if (domain && second == "platform") {
        this->session.cutPlatform(*domain, cut);
    } else if (domain && otherDomain) {
        this->session.cutDomains(*domain, *otherDomain, cut);
    } else if (from && to) {
        this->session.cutLink(*from, *to, cut);
    } else {
        return bad(step, "expected: cut|mend dN dM, cut|mend dN platform, or cut|mend eN eM");
    }
    return std::nullopt;
}

std::optional<Error> ScriptRunner::setEndpoint(const ScriptStep &step)
{
    const std::optional<std::size_t> mode = findName(EndpointModes, wordAt(step, 2));
    if (!mode) {
        return bad(step, fmt::format("unknown mode \"{}\" of an endpoint", wordAt(step, 2)));
    }
    return this->withWorker(step, [&](std::uint32_t worker) { this->session.setEndpoint(worker, static_cast<EndpointMode>(*mode)); });
}

std::optional<Error> ScriptRunner::setPlatform(const ScriptStep &step)
{
    const std::optional<std::size_t> mode = findName(PlatformModes, wordAt(step, 1));
    if (!mode) {
        return bad(step, fmt::format("unknown mode \"{}\" of the platform", wordAt(step, 1)));
    }
    this->session.setPlatform(static_cast<PlatformMode>(*mode));
    return std::nullopt;
}

} // namespace Tanagertally
