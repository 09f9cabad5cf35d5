#include "report.h"

#include <fmt/format.h>

#include <functional>

namespace Tanagertally {

namespace {

/** One column of the tables. */
struct Column {
    std::string name; ///< Head.
    int width; ///< Characters in the text table.
    std::function<std::string(const RunResult &)> text; ///< Cell.
};

std::string ratio(const Histogram<10> &histogram, double fraction)
{
    return histogram.count() == 0 ? "-" : fmt::format("{:.3f}", static_cast<double>(histogram.quantile(fraction)) / RatioUnit);
}

std::string percent(double share)
{
    return fmt::format("{:.2f}", share * 100);
}

std::string perTask(std::uint64_t messages, const RunFigures &figures)
{
    const auto tasks = static_cast<double>(std::max<std::uint64_t>(1, figures.completeTasks));
    return fmt::format("{:.3f}", static_cast<double>(messages) / tasks);
}

double wastedShare(const RunFigures &figures)
{
    return figures.messages == 0 ? 0 : static_cast<double>(figures.allWasted()) / static_cast<double>(figures.messages);
}

std::vector<Column> mainColumns()
{
    return {
        {"user", 8, [](const RunResult &run) { return run.user; }},
        {"scenario", 20, [](const RunResult &run) { return run.scenario; }},
        {"policy", 15, [](const RunResult &run) { return run.policy; }},
        {"p50", 7, [](const RunResult &run) { return ratio(run.figures.ratio, 0.5); }},
        {"p99", 8, [](const RunResult &run) { return ratio(run.figures.ratio, 0.99); }},
        {"p99.9", 8, [](const RunResult &run) { return ratio(run.figures.ratio, 0.999); }},
        {"domain-q", 8, [](const RunResult &run) { return ratio(run.figures.domainQueueRatio, 0.99); }},
        {"size-q", 8, [](const RunResult &run) { return ratio(run.figures.sizeQueueRatio, 0.99); }},
        {"fleet-q", 8, [](const RunResult &run) { return ratio(run.figures.fleetQueueRatio, 0.99); }},
        {"big-p50", 8, [](const RunResult &run) { return ratio(run.figures.bigRatio, 0.5); }},
        {"msg/task", 9, [](const RunResult &run) { return perTask(run.figures.messages, run.figures); }},
        {"wasted%", 8, [](const RunResult &run) { return percent(wastedShare(run.figures)); }},
        {"goodput%", 9, [](const RunResult &run) { return percent(run.figures.goodput); }},
        {"capacity%", 10, [](const RunResult &run) { return percent(run.figures.capacityUse); }},
        {"jobs", 7, [](const RunResult &run) { return std::to_string(run.figures.jobs); }},
        {"refused", 8, [](const RunResult &run) { return std::to_string(run.figures.refusedJobs); }},
        {"failed", 7, [](const RunResult &run) { return std::to_string(run.figures.failedJobs); }},
        {"open", 5, [](const RunResult &run) { return std::to_string(run.figures.openJobs); }},
        {"untrue", 7, [](const RunResult &run) { return std::to_string(run.figures.untrueRefusals); }},
        {"doubles", 8, [](const RunResult &run) { return std::to_string(run.figures.doubleStarts); }},
        {"starts", 8, [](const RunResult &run) { return std::to_string(run.figures.starts); }},
        {"retries", 8, [](const RunResult &run) { return std::to_string(run.figures.retries); }},
        {"hedges", 7, [](const RunResult &run) { return std::to_string(run.figures.hedges); }},
    };
}

std::vector<Column> detailColumns()
{
    std::vector<Column> columns = {
        {"seed", 5, [](const RunResult &run) { return std::to_string(run.seed); }},
        {"p99-ms", 9, [](const RunResult &run) { return fmt::format("{:.1f}", double(run.figures.responseMicros.quantile(0.99)) / 1e3); }},
        {"refusal-p99-ms", 9,
         [](const RunResult &run) { return fmt::format("{:.2f}", double(run.figures.refusalMicros.quantile(0.99)) / 1e3); }},
        {"deadline-p99", 9, [](const RunResult &run) { return fmt::format("{:.3f}", run.figures.inTimeP99); }},
        {"rest-goodput%", 9, [](const RunResult &run) { return percent(run.figures.restGoodput); }},
        {"local-goodput%", 9, [](const RunResult &run) { return percent(run.figures.localGoodput); }},
        {"lost-to-worker", 9, [](const RunResult &run) { return std::to_string(run.figures.mostLostToFaultyWorker); }},
        {"peer-msg/task", 9, [](const RunResult &run) { return perTask(run.figures.peerMessages, run.figures); }},
    };
    for (std::size_t cause = 0; cause < WasteCauses; ++cause) {
        columns.push_back({fmt::format("wasted-{}", toString(static_cast<WasteCause>(cause))), 9,
                           [cause](const RunResult &run) { return std::to_string(run.figures.wasted.at(cause)); }});
    }
    return columns;
}

std::string wasteLine(const RunResult &run)
{
    std::string line;
    for (std::size_t cause = 0; cause < WasteCauses; ++cause) {
        if (run.figures.wasted.at(cause) > 0) {
            line += fmt::format(" {}={}", toString(static_cast<WasteCause>(cause)), run.figures.wasted.at(cause));
        }
    }
    for (const auto &[reason, count] : run.figures.reasons) {
        line += fmt::format(" jobs:{}={}", reason, count);
    }
    return line;
}

} // namespace

std::string makeTextReport(std::span<const RunResult> results)
{
    std::string text;
    const std::vector<Column> columns = mainColumns();
    for (const Column &column : columns) {
        text += fmt::format("{:<{}} ", column.name, column.width);
    }
    text += "\n";
    for (const RunResult &run : results) {
        for (const Column &column : columns) {
            text += fmt::format("{:<{}} ", column.text(run), column.width);
        }
        text += "\n";
    }
    text += "\nWasted messages and ends of jobs by cause\n";
    for (const RunResult &run : results) {
        text += fmt::format("{:<8} {:<20} {:<15}{}\n", run.user, run.scenario, run.policy, wasteLine(run));
    }
    text += "\nTargets\n";
    for (const Judgement &judgement : judge(results)) {
        text += fmt::format("{:<7} {:<8} {:<20} {:<15} {:<31} {:>10.4f} {} {}\n", judgement.met ? "met" : "MISSED", judgement.result->user,
                            judgement.result->scenario, judgement.result->policy, judgement.target->what, judgement.measured,
                            judgement.target->atMost ? "<=" : ">=", judgement.target->bound);
    }
    return text;
}

std::string makeCsvReport(std::span<const RunResult> results)
{
    std::vector<Column> columns = mainColumns();
    for (Column &column : detailColumns()) {
        columns.push_back(std::move(column));
    }
    std::string text;
    for (std::size_t index = 0; index < columns.size(); ++index) {
        text += fmt::format("{}{}", index == 0 ? "" : ",", columns[index].name);
    }
    text += "\n";
    for (const RunResult &run : results) {
        for (std::size_t index = 0; index < columns.size(); ++index) {
            text += fmt::format("{}{}", index == 0 ? "" : ",", columns[index].text(run));
        }
        text += "\n";
    }
    return text;
}

std::string makeWorstReport(std::span<const RunResult> results)
{
    std::string text;
    for (const RunResult &run : results) {
        for (const JobEntry &job : run.worst) {
            const std::chrono::duration<double> response = job.endedAt - job.sentAt;
            const std::chrono::duration<double> ideal = job.ideal;
            text += fmt::format("{} {} ratio={:.2f} response-s={:.3f} ideal-s={:.3f} tasks={} domain={} sent-s={:.4f} key={}\n",
                                run.scenario, run.policy, response / ideal, response.count(), ideal.count(), job.tasks, job.domain,
                                std::chrono::duration<double>(job.sentAt.time_since_epoch()).count(), job.key.value);
        }
    }
    return text;
}

} // namespace Tanagertally
