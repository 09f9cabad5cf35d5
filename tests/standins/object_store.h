/** The platform's object store: named bodies in memory. */
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Tanagertally::Standins {

/** Work that the object store has done. */
struct ObjectCounters {
    std::uint64_t puts = 0; ///< Objects written.
    std::uint64_t gets = 0; ///< Objects asked for.
};

/** The object store. Thread safety: any thread. */
class ObjectStore
{
public:
    /** Write an object. */
    void put(std::string name, std::string body);

    /** @return An object's body; unset if there is none. */
    std::optional<std::string> get(const std::string &name);

    /** @return Number of objects. */
    std::size_t size() const;

    /** @return Work done since the last reset. */
    ObjectCounters counters() const;

    /** Set the counters to zero; objects stay. */
    void resetCounters();

private:
    mutable std::mutex mutex; ///< Guards the rest.
    std::map<std::string, std::string> objects; ///< Bodies by name.
    ObjectCounters counts; ///< Work done.
};

} // namespace Tanagertally::Standins
