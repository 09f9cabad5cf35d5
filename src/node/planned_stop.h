/** Steps of a planned stop of an instance, by time and by whether calls are open; free of side effects. */
#pragma once

#include "core/time_type.h"

#include <cstdint>

namespace Tanagertally::Cells {

/** What an instance does during a planned stop, in order. */
enum class StopStep : std::uint8_t {
    Serve, ///< Accept connections until the balancer has removed the instance.
    CloseListener, ///< Stop accepting connections, and close the idle ones.
    AwaitReaders, ///< Let callers read the last answers.
    CloseIdleConnections, ///< Close connections that have become idle since the last step.
    AnswerOpenCalls, ///< As CloseIdleConnections, and answer all open calls as unknown, as the process is about to end.
    Exit, ///< End the process.
};

/**
 * Sequence of a planned stop. Thread safety: none. The time must not decrease from call to call.
 */
class PlannedStop
{
public:
    /**
     * Starts the sequence.
     * @param grace Time until the platform kills the process.
     */
    PlannedStop(TimePoint now, Duration grace);

    /**
     * Advances the sequence; to be called about every 20 ms.
     * @param isIdle Whether no call is open and no cell is led.
     * @return The step to carry out now. CloseListener is returned once.
     */
    StopStep advance(TimePoint now, bool isIdle);

private:
    TimePoint listenerClosesAt; ///< When connections are no longer accepted.
    TimePoint exitDeadline; ///< When the process exits even if calls are open.
    TimePoint lastBusyAt; ///< Last time at which the instance was not idle.
    bool isListenerClosed = false;
};

} // namespace Tanagertally::Cells
