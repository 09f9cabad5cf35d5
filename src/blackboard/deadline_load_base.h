/** Waiting work by the time at which it is wanted. */
#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <map>

namespace Tanagertally {

/** Work that has to be served by a time. */
struct DueWork {
    TimePoint due{}; ///< When it is wanted.
    Duration work{}; ///< Slot time that it takes.
};

/**
 * Sums of waiting work by the time at which it is wanted, to tell whether more of it can be served in time.
 * Method: the feasibility test of earliest deadline first, C. L. Liu and J. W. Layland, "Scheduling algorithms for
 * multiprogramming in a hard-real-time environment", on sums in steps of a quarter second.
 * Thread safety: none.
 */
class DeadlineLoad
{
public:
    /** Add waiting work. */
    void add(const DueWork &work);

    /** Take out work that was added before, with the same values. */
    void remove(const DueWork &work);

    /**
     * Tell how late work would be.
     * @param now Present time.
     * @param added Work to be added.
     * @param slots Slots that serve it; at least 1.
     * @return The largest time by which it, or work that waits already and is wanted later, would be late; zero if all of
     *         it can be served in time.
     */
    Duration lateness(TimePoint now, const DueWork &added, std::uint32_t slots) const;

private:
    std::map<std::int64_t, Duration> steps; ///< Work by the step in which it is wanted.
};

} // namespace Tanagertally
