/** Counts how often each task was started, over all endpoints. */
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Tanagertally::Standins {

/** A task that was started more than once. */
struct RepeatedStart {
    std::string task; ///< Its Task-Id.
    std::string kind; ///< Its kind at the last start.
    std::uint32_t starts = 0; ///< How often it was started.
    std::vector<std::string> workers; ///< Workers of the second start and of those after it.
};

/** Starts over all endpoints. */
struct StartSummary {
    std::uint64_t starts = 0; ///< Starts.
    std::uint64_t tasks = 0; ///< Different Task-Ids.
    std::map<std::string, std::uint64_t> startsByKind; ///< Starts by kind.
    std::map<std::string, std::uint64_t> repeatsByKind; ///< Starts after the first of a task, by kind.
    std::vector<RepeatedStart> repeated; ///< Tasks started more than once, in order of Task-Id.
};

/**
 * Counts starts. A task started once is held by a 64-bit hash of its Task-Id.
 * Thread safety: any thread.
 */
class StartLedger
{
public:
    /**
     * Count a start.
     * @param task Task-Id.
     * @param kind Kind of the task.
     * @param worker Worker that starts it.
     * @return How often the task has been started, this start included.
     */
    std::uint32_t record(std::string_view task, std::string_view kind, std::string_view worker);

    /** @return How often a task was started. */
    std::uint32_t startsOf(std::string_view task) const;

    /** @return All counts. */
    StartSummary summary() const;

    /** Forget everything. */
    void reset();

private:
    static constexpr std::size_t ShardCount = 64;

    /** The tasks whose hash falls to one shard. */
    struct Shard {
        mutable std::mutex mutex; ///< Guards the rest.
        std::unordered_map<std::uint64_t, std::uint32_t> starts; ///< Starts by hash of the Task-Id.
        std::map<std::string, std::uint64_t, std::less<>> startsByKind; ///< Starts by kind.
        std::map<std::string, std::uint64_t, std::less<>> repeatsByKind; ///< Starts after the first by kind.
        std::map<std::string, RepeatedStart, std::less<>> repeated; ///< Tasks started more than once.
    };

    std::array<Shard, ShardCount> shards; ///< Shards, to keep threads apart.
};

} // namespace Tanagertally::Standins
