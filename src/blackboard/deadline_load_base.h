/** Waiting work by due time, for the admission test. */
#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <map>

namespace Tanagertally {

/** Work with a due time. */
struct DueWork {
    TimePoint due{}; ///< Time by which the work is due.
    Duration work{}; ///< Slot time that the work occupies.
};

/**
 * Sums of waiting work by due time; answers whether further work can be served in time.
 * Method: the feasibility test of earliest deadline first, C. L. Liu and J. W. Layland, "Scheduling algorithms for
 * multiprogramming in a hard-real-time environment", applied to sums per 250 ms step of due time.
 * Thread safety: none.
 */
class DeadlineLoad
{
public:
    void add(const DueWork &work);

    /** Removes waiting work. @pre The same amount of work was added with the same due time. */
    void remove(const DueWork &work);

    /**
     * Estimates how late work would be if it were added.
     * @param now Current time.
     * @param added Work to be added; the sums are not changed.
     * @param slots Number of slots that serve the work; at least 1.
     * @return The largest lateness of the added work and of the waiting work with a later due time; zero if all of it can be
     *         served in time.
     */
    Duration lateness(TimePoint now, const DueWork &added, std::uint32_t slots) const;

private:
    std::map<std::int64_t, Duration> steps; ///< Slot time by step of due time.
};

} // namespace Tanagertally
