#include "start_ledger.h"

#include <algorithm>
#include <functional>

namespace Tanagertally::Standins {

namespace {

std::uint64_t hashOf(std::string_view task)
{
    return std::hash<std::string_view>{}(task);
}

void countKind(std::map<std::string, std::uint64_t, std::less<>> &counts, std::string_view kind)
{
    auto found = counts.find(kind);
    if (found == counts.end()) {
        found = counts.emplace(std::string(kind), 0).first;
    }
    found->second++;
}

} // namespace

std::uint32_t StartLedger::record(std::string_view task, std::string_view kind, std::string_view worker)
{
    const std::uint64_t hash = hashOf(task);
    Shard &shard = this->shards[hash % ShardCount];
    const std::lock_guard lock(shard.mutex);
    const std::uint32_t starts = ++shard.starts[hash];
    countKind(shard.startsByKind, kind);
    if (starts == 1) {
        return starts;
    }
    countKind(shard.repeatsByKind, kind);
    RepeatedStart &repeated = shard.repeated[std::string(task)];
    repeated.task = task;
    repeated.kind = kind;
    repeated.starts = starts;
    repeated.workers.emplace_back(worker);
    return starts;
}

std::uint32_t StartLedger::startsOf(std::string_view task) const
{
    const std::uint64_t hash = hashOf(task);
    const Shard &shard = this->shards[hash % ShardCount];
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.starts.find(hash);
    return found == shard.starts.end() ? 0 : found->second;
}

StartSummary StartLedger::summary() const
{
    StartSummary summary;
    for (const Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        summary.tasks += shard.starts.size();
        for (const auto &[kind, count] : shard.startsByKind) {
            summary.startsByKind[kind] += count;
            summary.starts += count;
        }
        for (const auto &[kind, count] : shard.repeatsByKind) {
            summary.repeatsByKind[kind] += count;
        }
        for (const auto &[task, repeated] : shard.repeated) {
            summary.repeated.push_back(repeated);
        }
    }
    std::sort(summary.repeated.begin(), summary.repeated.end(),
              [](const RepeatedStart &left, const RepeatedStart &right) { return left.task < right.task; });
    return summary;
}

void StartLedger::reset()
{
    for (Shard &shard : this->shards) {
        const std::lock_guard lock(shard.mutex);
        shard.starts.clear();
        shard.startsByKind.clear();
        shard.repeatsByKind.clear();
        shard.repeated.clear();
    }
}

} // namespace Tanagertally::Standins
