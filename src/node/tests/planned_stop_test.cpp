// Sequence of a planned stop: callers get their answers, and the process ends within its grace time.
#include "node/planned_stop.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace std::chrono_literals;

namespace {

constexpr Duration Grace = 6s;
constexpr Duration TickInterval = 20ms;
const TimePoint Start(100s);

/** @return Time from the start of the stop to its exit, with calls open until `busyFor` after its start. */
Duration timeToExit(Duration busyFor)
{
    PlannedStop stop(Start, Grace);
    TimePoint now = Start;
    while (stop.advance(now, now >= Start + busyFor) != StopStep::Exit) {
        now += TickInterval;
    }
    return now - Start;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Stop)

BOOST_AUTO_TEST_CASE(AnswerThatIsGivenRightBeforeTheExitIsWritten)
{
    // A call was answered between the last two ticks before the exit, and the process ended before the answer was written.
    for (Duration busyFor = 0ms; busyFor < 5s; busyFor += 10ms) {
        BOOST_TEST_REQUIRE((timeToExit(busyFor) >= busyFor + 100ms - TickInterval));
    }
}

BOOST_AUTO_TEST_CASE(IdleInstanceServesUntilTheBalancerHasRemovedItAndThenExits)
{
    PlannedStop stop(Start, Grace);
    BOOST_TEST((stop.advance(Start + 2400ms, true) == StopStep::Serve));
    BOOST_TEST((stop.advance(Start + 2500ms, true) == StopStep::CloseListener));
    BOOST_TEST((stop.advance(Start + 2520ms, true) == StopStep::AwaitReaders));
    BOOST_TEST((stop.advance(Start + 2900ms, true) == StopStep::Exit));
}

BOOST_AUTO_TEST_CASE(OpenCallsAreAnsweredAndTheProcessExitsBeforeItIsKilled)
{
    PlannedStop stop(Start, Grace);
    stop.advance(Start + 3s, false);
    BOOST_TEST((stop.advance(Start + 5400ms, false) == StopStep::CloseIdleConnections));
    BOOST_TEST((stop.advance(Start + 5500ms, false) == StopStep::AnswerOpenCalls));
    BOOST_TEST((stop.advance(Start + 5700ms, false) == StopStep::Exit));
}

BOOST_AUTO_TEST_SUITE_END()
