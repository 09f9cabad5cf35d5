#include "cli/timeline.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

namespace Tanagertally {

namespace {

using Microseconds = std::chrono::microseconds;

constexpr Microseconds ContextMargin = std::chrono::seconds(1); ///< Related lines are printed up to this time around those of the job.
constexpr std::array<std::string_view, 4> LeadEvents = {"lead-vacant", "lead-claim", "lead-taken", "lead-ended"};

/** A parsed log line. */
struct LogLine {
    Microseconds time{}; ///< Timestamp since the epoch, by the clock of the instance.
    std::string source; ///< File name without folder and extension; stands for the instance.
    std::map<std::string, std::string, std::less<>> fields; ///< Pairs of key and value.
    std::string text; ///< Text of the line from `event=` on.

    std::string_view field(std::string_view name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string_view() : std::string_view(found->second);
    }
};

/** @return The time of a text such as 2026-12-04T01:35:45.855769Z; unset if it can't be parsed. */
std::optional<Microseconds> parseTime(const std::string &text)
{
    std::tm parts{};
    std::istringstream stream(text);
    stream >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    double fraction = 0;
    if (!stream || (stream.peek() == '.' && !(stream >> fraction))) {
        return std::nullopt;
    }
    const auto seconds = std::chrono::seconds(timegm(&parts));
    return seconds + std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(fraction));
}

/** @return The key=value pairs of a line. A quoted value ends at the next quote; escapes are not decoded. */
std::map<std::string, std::string, std::less<>> parsePairs(std::string_view line)
{
    std::map<std::string, std::string, std::less<>> pairs;
    while (!line.empty()) {
        const std::size_t equals = line.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        const std::size_t space = line.substr(0, equals).rfind(' ');
        const std::string key(
            line.substr(space == std::string_view::npos ? 0 : space + 1, equals - (space == std::string_view::npos ? 0 : space + 1)));
        line.remove_prefix(equals + 1);
        const bool isQuoted = line.starts_with('"');
        line.remove_prefix(isQuoted ? 1 : 0);
        const std::size_t end = std::min(line.find(isQuoted ? '"' : ' '), line.size());
        pairs[key] = std::string(line.substr(0, end));
        line.remove_prefix(std::min(line.size(), end + 1));
    }
    return pairs;
}

/** Calls a function with each line of a log that has a timestamp and an event. @return Whether the file could be read. */
template<typename Callback>
bool forEachLine(const std::string &path, Callback callback)
{
    std::ifstream file(path);
    const std::string source = std::filesystem::path(path).stem().string();
    for (std::string line; std::getline(file, line);) {
        LogLine parsed;
        parsed.fields = parsePairs(line);
        const std::optional<Microseconds> time = parseTime(std::string(parsed.field("ts")));
        if (time && !parsed.field("event").empty()) {
            parsed.time = *time;
            parsed.source = source;
            parsed.text = line.substr(line.find("event="));
            callback(parsed);
        }
    }
    return !file.bad() && file.eof();
}

/** Cells, endpoints and time span of the lines of the job. */
struct JobContext {
    std::set<std::string, std::less<>> cells;
    std::set<std::string, std::less<>> endpoints;
    Microseconds first = Microseconds::max(); ///< Earliest timestamp.
    Microseconds last = Microseconds::min(); ///< Latest timestamp.
};

bool isRelated(const JobContext &context, const LogLine &line)
{
    if (line.time < context.first - ContextMargin || line.time > context.last + ContextMargin) {
        return false;
    }
    const bool isLead
        = std::ranges::find(LeadEvents, line.field("event")) != LeadEvents.end() && context.cells.contains(line.field("cell"));
    return isLead || (line.field("event") == "endpoint-lost" && context.endpoints.contains(line.field("endpoint")));
}

/** Finds clocks that are behind another one: no instance can observe a new leader before that leader took the lead. */
class ClockSkewFinder
{
public:
    void add(const LogLine &line)
    {
        const std::string lead = std::string(line.field("cell")) + " " + std::string(line.field("token"));
        if (line.field("event") == "lead-taken") {
            this->acquisitions.insert_or_assign(lead, std::pair(line.source, line.time));
        } else if (line.field("event") == "lead-known" && line.field("by") != "store") {
            // A lead reported by the store proves nothing, since the store records it before the leader logs it.
            this->observations[lead].emplace_back(line.source, line.time);
        }
    }

    void print(std::ostream &out) const
    {
        std::map<std::pair<std::string, std::string>, Microseconds> skewBySources;
        for (const auto &[lead, acquisition] : this->acquisitions) {
            const auto observed = this->observations.find(lead);
            for (const auto &[source, time] : observed == this->observations.end() ? Observations() : observed->second) {
                Microseconds &maxSkew = skewBySources[{source, acquisition.first}];
                maxSkew = std::max(maxSkew, acquisition.second - time);
            }
        }
        for (const auto &[sources, skew] : skewBySources) {
            if (skew > Microseconds{}) {
                out << "note: the clock of " << sources.first << " is at least " << skew.count() / 1000 << " ms behind that of "
                    << sources.second << '\n';
            }
        }
    }

private:
    using Observations = std::vector<std::pair<std::string, Microseconds>>; ///< Instances that observed a leader, with the timestamp.

    std::map<std::string, std::pair<std::string, Microseconds>> acquisitions; ///< New leader and timestamp, by cell and fencing token.
    std::map<std::string, Observations> observations; ///< By cell and fencing token.
};

} // namespace

ExitCode printTimeline(const TimelineCommand &command, Terminal terminal)
{
    JobContext context;
    std::vector<LogLine> lines;
    ClockSkewFinder skew;
    for (const std::string &file : command.files) {
        const bool isRead = forEachLine(file, [&](const LogLine &line) {
            skew.add(line);
            if (line.field("job") != command.job) {
                return;
            }
            context.cells.emplace(line.field("cell"));
            context.endpoints.emplace(line.field("endpoint"));
            context.first = std::min(context.first, line.time);
            context.last = std::max(context.last, line.time);
            lines.push_back(line);
        });
        if (!isRead) {
            terminal.err << "error: can't read " << file << '\n';
            return ExitCode::BadInput;
        }
    }
    if (lines.empty()) {
        terminal.err << "error: no line of these logs names the job " << command.job << '\n';
        return ExitCode::BadInput;
    }
    for (const std::string &file : command.files) {
        forEachLine(file, [&](const LogLine &line) {
            if (line.field("job") != command.job && isRelated(context, line)) {
                lines.push_back(line);
            }
        });
    }
    std::ranges::stable_sort(lines, {}, &LogLine::time);
    skew.print(terminal.out);
    for (const LogLine &line : lines) {
        const double sinceFirst = std::chrono::duration<double>(line.time - context.first).count();
        terminal.out << std::fixed << std::setprecision(6) << std::setw(12) << sinceFirst << "  " << line.source << "  " << line.text
                     << '\n';
    }
    return ExitCode::Done;
}

} // namespace Tanagertally
