#include "session/session.h"

#include <fmt/format.h>

namespace Tanagertally {

namespace {

bool hasOutput(const TaskAnswer &task)
{
    return task.output != nullptr;
}

/** Writes a reply as a line of the transcript. */
struct ReplyText {
    std::string operator()(const KeysIssued &reply) const
    {
        return fmt::format("keys {}", reply.keys.size());
    }
    std::string operator()(const JobAccepted &reply) const
    {
        return fmt::format("accepted {}", reply.key.value);
    }
    std::string operator()(const JobStatus &reply) const
    {
        return fmt::format("status {} {}/{} of {}", toString(reply.state), reply.finished, reply.started, reply.tasks);
    }
    std::string operator()(const JobAnswer &reply) const
    {
        if (reply.outcome == JobOutcome::Complete) {
            const auto outputs = std::count_if(reply.tasks.begin(), reply.tasks.end(), hasOutput);
            const bool whole = static_cast<std::size_t>(outputs) == reply.tasks.size();
            return fmt::format("complete {} tasks{}", reply.tasks.size(), whole ? "" : fmt::format(" with {} outputs", outputs));
        }
        std::string text = fmt::format("failed {} \"{}\" verdicts", toString(reply.reason), reply.message);
        for (const TaskAnswer &task : reply.tasks) {
            text += fmt::format(" {}{}", toString(task.verdict), hasOutput(task) ? "+output" : "");
        }
        return text;
    }
    std::string operator()(const Refusal &reply) const
    {
        const std::int64_t retryMs
            = reply.retryAfter ? std::chrono::duration_cast<std::chrono::milliseconds>(*reply.retryAfter).count() : -1;
        return fmt::format("refused {} verdict={} retry-after-ms={} \"{}\"", toString(reply.error.code), toString(reply.verdict), retryMs,
                           reply.error.message);
    }
};

} // namespace

std::size_t Session::newCall(std::uint32_t instance, const TeamName &team, const JobKey &key)
{
    this->calls.push_back(SessionCall{instance, team, key, this->clock, {}, false});
    return this->calls.size() - 1;
}

std::size_t Session::requestKeys(std::uint32_t instance, const TeamName &team, std::uint32_t count)
{
    const std::size_t number = this->newCall(instance, team, JobKey());
    this->trace(fmt::format("call {} keys from e{} count={}", number, instance, count));
    const std::uint64_t life = this->instances[instance].life;
    this->schedule(this->options.delays.caller, [this, instance, life, number, team, count] {
        this->deliver(instance, life, KeysRequested{RequestId(number + 1), team, count});
    });
    return number;
}

std::size_t Session::submit(std::uint32_t instance, const TeamName &team, const JobKey &key, JobSpec job)
{
    const std::size_t number = this->newCall(instance, team, key);
    this->trace(fmt::format("call {} submit to e{} tasks={}", number, instance, job.tasks.size()));
    const std::uint64_t life = this->instances[instance].life;
    this->schedule(this->options.delays.caller, [this, instance, life, number, team, key, job = std::move(job)] {
        this->deliver(instance, life, JobSubmitted{RequestId(number + 1), team, key, job});
    });
    return number;
}

std::size_t Session::fetch(std::uint32_t instance, const TeamName &team, const JobKey &key, bool wait)
{
    const std::size_t number = this->newCall(instance, team, key);
    this->trace(fmt::format("call {} fetch from e{} wait={}", number, instance, wait));
    const std::uint64_t life = this->instances[instance].life;
    this->schedule(this->options.delays.caller, [this, instance, life, number, team, key, wait] {
        this->deliver(instance, life, FetchRequested{RequestId(number + 1), team, key, wait});
    });
    return number;
}

std::size_t Session::cancel(std::uint32_t instance, const TeamName &team, const JobKey &key)
{
    const std::size_t number = this->newCall(instance, team, key);
    this->trace(fmt::format("call {} cancel at e{}", number, instance));
    const std::uint64_t life = this->instances[instance].life;
    this->schedule(this->options.delays.caller, [this, instance, life, number, team, key] {
        this->deliver(instance, life, CancelRequested{RequestId(number + 1), team, key});
    });
    return number;
}

void Session::operate(std::uint32_t instance, const OperatorName &by, const std::string &text, bool dryRun)
{
    this->trace(fmt::format("operator {} at e{}: {}", by.value, instance, text));
    this->deliver(
        instance, this->instances[instance].life,
        OperatorRequested{RequestId(), by, text, dryRun, std::chrono::duration_cast<std::chrono::milliseconds>(this->now()).count()});
}

void Session::on(std::uint32_t instance, ReplyToCaller &action)
{
    const std::size_t number = action.request.value - 1;
    this->trace(fmt::format("e{} replies to call {}: {}", instance, number, std::visit(ReplyText(), action.reply)));
    this->schedule(this->options.delays.caller, [this, number, reply = std::move(action.reply)] {
        this->calls.at(number).replies.push_back(SessionReply{this->clock, reply});
        if (this->replyHandler) {
            this->replyHandler(number, SessionReply{this->clock, reply});
        }
    });
}

void Session::on(std::uint32_t instance, ReplyToOperator &action)
{
    const std::string text
        = action.error ? fmt::format("refused {} \"{}\"", toString(action.error->code), action.error->message) : action.json;
    this->trace(fmt::format("e{} replies to operator: {}", instance, text));
    this->operatorReplyLog.push_back(std::move(action));
}

} // namespace Tanagertally
