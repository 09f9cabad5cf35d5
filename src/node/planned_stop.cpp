#include "node/planned_stop.h"

namespace Tanagertally::Cells {

namespace {

constexpr Duration ReadinessDrainTime = std::chrono::milliseconds(2500); // The balancer probes each second and removes after two misses.
constexpr Duration CloseDelay = std::chrono::milliseconds(400); // Time for callers to read the last replies.
constexpr Duration ExitMargin = std::chrono::milliseconds(300); // Safety margin before the platform kills the process.
constexpr Duration FinalAnswerMargin = std::chrono::milliseconds(200); // Before the exit deadline, open calls are answered as unknown.
// An answer that was given since the last call of advance() may not have been written to its socket yet.
constexpr Duration AnswerFlushTime = std::chrono::milliseconds(100);

} // namespace

PlannedStop::PlannedStop(TimePoint now, Duration grace)
    : listenerClosesAt(now + ReadinessDrainTime)
    , exitDeadline(now + grace - ExitMargin)
    , lastBusyAt(now)
{
}

StopStep PlannedStop::advance(TimePoint now, bool isIdle)
{
    if (!isIdle) {
        this->lastBusyAt = now;
    }
    if (now < this->listenerClosesAt) {
        return StopStep::Serve;
    }
    if (!this->isListenerClosed) {
        this->isListenerClosed = true;
        return StopStep::CloseListener;
    }
    if (now < this->listenerClosesAt + CloseDelay) {
        return StopStep::AwaitReaders;
    }
    if (now >= this->lastBusyAt + AnswerFlushTime || now >= this->exitDeadline) {
        return StopStep::Exit;
    }
    return now >= this->exitDeadline - FinalAnswerMargin ? StopStep::AnswerOpenCalls : StopStep::CloseIdleConnections;
}

} // namespace Tanagertally::Cells
