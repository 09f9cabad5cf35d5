/** Program tanagertally-bench: scenarios on the decision part alone, on a virtual clock. */
#include "batch.h"
#include "cost.h"
#include "plot.h"
#include "report.h"
#include "scenario_table.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

using namespace Tanagertally;

/** Arguments of the command "run". */
struct RunArguments {
    std::string scenario = "all"; ///< Name of a scenario, several with commas, or "all".
    std::vector<std::string> users = {"riyad"}; ///< Users.
    std::vector<std::string> policies = {"two-choices", "least-expected", "round-robin", "random"}; ///< Policies.
    std::uint64_t seed = 1; ///< Seed.
    std::uint32_t threads = 2; ///< Runs at the same time.
    double seconds = 30; ///< Measured time.
    std::string out; ///< Directory for reports; empty for none.
    std::string trace; ///< File for the transcript of a single run; empty for none.
};

void writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream(path) << text;
}

template<typename Entry>
bool select(std::span<const Entry> table, const std::vector<std::string> &names, std::vector<Entry> &selected)
{
    for (const std::string &name : names) {
        if (name == "all") {
            selected.insert(selected.end(), table.begin(), table.end());
            continue;
        }
        const Entry *entry = findByName(table, name);
        if (entry == nullptr) {
            std::cerr << "unknown name: " << name << "\n";
            return false;
        }
        selected.push_back(*entry);
    }
    return true;
}

void writePlots(const std::filesystem::path &directory, const std::vector<RunResult> &results)
{
    std::map<std::string, std::vector<RunResult>> groups;
    for (const RunResult &result : results) {
        groups[result.user + "-" + result.scenario].push_back(result);
    }
    for (const auto &[name, group] : groups) {
        writeFile(directory / (name + ".svg"), makePlot(group, name));
    }
}

int run(const RunArguments &arguments)
{
    Batch batch;
    batch.seed = arguments.seed;
    batch.length.measured = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arguments.seconds));
    const bool known = select(allUsers(), arguments.users, batch.users)
                       && select(allScenarios(), CLI::detail::split(arguments.scenario, ','), batch.scenarios)
                       && select(allPolicies(), arguments.policies, batch.policies);
    if (!known) {
        return 2;
    }
    std::ofstream traceFile;
    if (!arguments.trace.empty()) {
        traceFile.open(arguments.trace);
        batch.trace = [&traceFile](TimePoint at, const std::string &line) {
            traceFile << fmt::format("{:.6f} {}\n", std::chrono::duration<double>(at.time_since_epoch()).count(), line);
        };
    }
    const std::vector<RunResult> results = runBatch(batch, batch.trace ? 1 : arguments.threads);
    const std::string text = makeTextReport(results);
    std::cout << text;
    if (!arguments.out.empty()) {
        const std::filesystem::path directory(arguments.out);
        std::error_code error;
        std::filesystem::create_directories(directory, error);
        if (error) {
            std::cerr << "can't write to " << arguments.out << ": " << error.message() << "\n";
            return 1;
        }
        writeFile(directory / "report.txt", text);
        writeFile(directory / "report.csv", makeCsvReport(results));
        writeFile(directory / "worst.txt", makeWorstReport(results));
        writePlots(directory, results);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Scenarios on the decision part alone, on a virtual clock");
    app.require_subcommand(1);
    RunArguments arguments;
    CLI::App *runCommand = app.add_subcommand("run", "Run scenarios and report");
    runCommand->add_option("scenario", arguments.scenario, "Scenarios with commas between, or all")->required();
    runCommand->add_option("--user", arguments.users, "riyad or inyange")->delimiter(',');
    runCommand->add_option("--policy", arguments.policies, "Policies, side by side")->delimiter(',');
    runCommand->add_option("--seed", arguments.seed, "Seed");
    runCommand->add_option("--threads", arguments.threads, "Runs at the same time");
    runCommand->add_option("--seconds", arguments.seconds, "Measured virtual time");
    runCommand->add_option("--out", arguments.out, "Directory for reports");
    runCommand->add_option("--trace", arguments.trace, "File for the transcript");
    const CLI::App *costCommand = app.add_subcommand("cost", "Measure processor time and memory of the decision part");
    CLI11_PARSE(app, argc, argv);
    if (costCommand->parsed()) {
        std::cout << measureCosts();
        return 0;
    }
    return run(arguments);
}
