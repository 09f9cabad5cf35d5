// Answers to start orders, among them those that a listing of the endpoint's runs has overtaken.
#include "cells/start_answer.h"
#include "cells/tests/cell_world.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace Tanagertally::Cells::Test;
using namespace std::chrono_literals;

namespace {

const JobId Job("00000000000000a1");
const TaskRef Task{Job, 0, 0};

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** Two endpoints, of which one starts a run whose start order is repeated because its connection is reset. */
struct RepeatedStart {
    CellWorld world{2};
    std::size_t leader = this->world.addLeader();
    std::size_t orders = 0; ///< Number of start orders.
    Duration repetitionDelay = 130ms; ///< Time from sending the repeated order to its answer.
    std::size_t answeredHolds = 0; ///< Number of holds that are answered after the first start order.
    Duration holdsLostFor{}; ///< How long holds are lost after these.

    RepeatedStart()
    {
        this->world.advanceTime(100ms);
        this->world.startOutcome = [this] { return ++this->orders == 1 ? CallOutcome::Reset : CallOutcome::Answered; };
        this->world.startDelay = [this] { return this->orders == 2 ? this->repetitionDelay : 1ms; };
    }

    /** Submits a job of one task and lets it end. */
    void runJob(bool isBestEffort)
    {
        this->world.orderOutcome = [this, holds = std::size_t(0), lostUntil = TimePoint()]() mutable {
            if (this->orders == 0 || holds++ < this->answeredHolds) {
                return CallOutcome::Answered;
            }
            if (lostUntil == TimePoint()) {
                lostUntil = this->world.now + this->holdsLostFor;
            }
            return this->world.now < lostUntil ? CallOutcome::Lost : CallOutcome::Answered;
        };
        this->world.submit(this->leader, Job, 1, isBestEffort);
        this->world.advanceTime(3s);
    }
};

using Kind = StartResult::Kind;
using Kinds = std::vector<Kind>;
using Phases = std::vector<RunPhase>;

const Kinds AllKinds{Kind::Started,   Kind::NoCapacity, Kind::TooLate,          Kind::Fenced,  Kind::Superseded,
                     Kind::Unhealthy, Kind::Rejected,   Kind::OtherIncarnation, Kind::NotSent, Kind::Unknown};
const Kinds Refusals{Kind::NoCapacity, Kind::TooLate, Kind::Unhealthy, Kind::Rejected, Kind::NotSent};
const Phases AllPhases{RunPhase::Starting, RunPhase::Running, RunPhase::Unconfirmed, RunPhase::Stopping};

/** Which runs a row of the table is about, beside their phase. */
enum class Doubt : std::uint8_t {
    Sole = 1, ///< One order was sent and the run isn't listed.
    Repeated = 2, ///< The order was repeated and the run isn't listed.
    Listed = 4, ///< One order was sent and the run is listed.
    RepeatedListed = 8, ///< The order was repeated and the run is listed.
    AnyListed = 12,
    NotSole = 14,
    Any = 15,
};

/** A group of cells of the table: the same answers lead to the same decision, for the same reason. */
struct DecisionRow {
    Kinds kinds;
    Phases phases;
    Doubt doubt;
    StartReaction reaction;
    std::optional<RunPhase> phase; ///< Phase afterwards; unset if the run is given up.
    bool isRefused;
    std::string_view reason; ///< Why no second run begins.
};

const std::vector<DecisionRow> Table{
    {{Kind::Started},
     {RunPhase::Starting, RunPhase::Running},
     Doubt::Any,
     StartReaction::RecordStart,
     RunPhase::Running,
     false,
     "A task with a run is not started."},
    {{Kind::Started},
     {RunPhase::Unconfirmed},
     Doubt::Any,
     StartReaction::RecordStart,
     RunPhase::Unconfirmed,
     false,
     "The run is kept until its end is listed, or it is missing in a listing after its confirmed stop."},
    {{Kind::Started},
     {RunPhase::Stopping},
     Doubt::Any,
     StartReaction::RecordStart,
     RunPhase::Stopping,
     false,
     "The run is kept until its end is listed, or it is missing in a listing after its confirmed stop."},

    {{Kind::Fenced},
     {RunPhase::Starting, RunPhase::Stopping},
     Doubt::Sole,
     StartReaction::EndLead,
     {},
     true,
     "This leader starts nothing any more; its successor waits for the endpoint's listing."},
    {{Kind::Fenced},
     {RunPhase::Starting, RunPhase::Stopping},
     Doubt::NotSole,
     StartReaction::EndLead,
     {},
     false,
     "This leader starts nothing any more; its successor waits for the endpoint's listing."},
    {{Kind::Fenced},
     {RunPhase::Running, RunPhase::Unconfirmed},
     Doubt::Any,
     StartReaction::EndLead,
     {},
     false,
     "This leader starts nothing any more; its successor waits for the endpoint's listing."},

    {{Kind::OtherIncarnation},
     {RunPhase::Starting, RunPhase::Stopping},
     Doubt::Sole,
     StartReaction::DropAll,
     {},
     true,
     "The incarnation is over with its runs and unacknowledged ends, and no other one carries its orders out."},
    {{Kind::OtherIncarnation},
     {RunPhase::Starting, RunPhase::Stopping},
     Doubt::NotSole,
     StartReaction::DropAll,
     {},
     false,
     "The incarnation is over with its runs and unacknowledged ends, and no other one carries its orders out."},
    {{Kind::OtherIncarnation},
     {RunPhase::Running, RunPhase::Unconfirmed},
     Doubt::Any,
     StartReaction::DropAll,
     {},
     false,
     "The incarnation is over with its runs and unacknowledged ends, and no other one carries its orders out."},

    {Refusals,
     {RunPhase::Starting, RunPhase::Stopping},
     Doubt::Sole,
     StartReaction::Drop,
     {},
     true,
     "The only order was refused, so the run never existed and never will."},
    {Refusals,
     {RunPhase::Starting},
     Doubt::Repeated,
     StartReaction::Stop,
     RunPhase::Unconfirmed,
     false,
     "The other order may have been carried out; the run is kept until a confirmed stop and a listing."},
    {Refusals,
     {RunPhase::Starting, RunPhase::Running},
     Doubt::AnyListed,
     StartReaction::None,
     RunPhase::Running,
     false,
     "The listing shows that an order was carried out; the run is kept until its end is listed."},
    {Refusals,
     {RunPhase::Running},
     Doubt::Sole,
     StartReaction::None,
     RunPhase::Running,
     false,
     "The endpoint has confirmed the run; it is kept until its end is listed."},
    {Refusals,
     {RunPhase::Running},
     Doubt::Repeated,
     StartReaction::None,
     RunPhase::Running,
     false,
     "The endpoint has confirmed the run; it is kept until its end is listed."},
    {Refusals,
     {RunPhase::Unconfirmed},
     Doubt::Any,
     StartReaction::None,
     RunPhase::Unconfirmed,
     false,
     "The run is kept until its end is listed, or it is missing in a listing after its confirmed stop."},
    {Refusals,
     {RunPhase::Stopping},
     Doubt::NotSole,
     StartReaction::None,
     RunPhase::Stopping,
     false,
     "The run is kept until its end is listed, or it is missing in a listing after its confirmed stop."},

    {{Kind::Superseded},
     {RunPhase::Starting, RunPhase::Stopping},
     Doubt::Sole,
     StartReaction::Drop,
     {},
     false,
     "The only order was refused, so the run never existed and never will."},
    {{Kind::Superseded},
     {RunPhase::Starting},
     Doubt::NotSole,
     StartReaction::AwaitListing,
     RunPhase::Running,
     false,
     "Another order has started the run; it is kept until its end is listed."},
    {{Kind::Superseded},
     {RunPhase::Running},
     Doubt::Any,
     StartReaction::AwaitListing,
     RunPhase::Running,
     false,
     "The run has ended, perhaps successfully; it is kept until its end is listed."},
    {{Kind::Superseded},
     {RunPhase::Unconfirmed},
     Doubt::Any,
     StartReaction::AwaitListing,
     RunPhase::Unconfirmed,
     false,
     "The run has ended or is stopped; it is kept until its end is listed, or it is missing in a listing after its confirmed stop."},
    {{Kind::Superseded},
     {RunPhase::Stopping},
     Doubt::NotSole,
     StartReaction::AwaitListing,
     RunPhase::Stopping,
     false,
     "The run has ended or is stopped; it is kept until its end is listed, or it is missing in a listing after its confirmed stop."},

    {{Kind::Unknown},
     {RunPhase::Starting},
     Doubt::Sole,
     StartReaction::Repeat,
     RunPhase::Starting,
     false,
     "The repetition has the same run number, which an endpoint starts once."},
    {{Kind::Unknown},
     {RunPhase::Starting},
     Doubt::Repeated,
     StartReaction::Stop,
     RunPhase::Unconfirmed,
     false,
     "Either order may have been carried out; the run is kept until a confirmed stop and a listing."},
    {{Kind::Unknown},
     {RunPhase::Starting, RunPhase::Running},
     Doubt::AnyListed,
     StartReaction::None,
     RunPhase::Running,
     false,
     "The listing shows that an order was carried out; the run is kept until its end is listed."},
    {{Kind::Unknown},
     {RunPhase::Running},
     Doubt::Sole,
     StartReaction::None,
     RunPhase::Running,
     false,
     "The endpoint has confirmed the run; it is kept until its end is listed."},
    {{Kind::Unknown},
     {RunPhase::Running},
     Doubt::Repeated,
     StartReaction::None,
     RunPhase::Running,
     false,
     "The endpoint has confirmed the run; it is kept until its end is listed."},
    {{Kind::Unknown},
     {RunPhase::Unconfirmed},
     Doubt::Any,
     StartReaction::None,
     RunPhase::Unconfirmed,
     false,
     "The run is kept until its end is listed, or it is missing in a listing after its confirmed stop."},
    {{Kind::Unknown},
     {RunPhase::Stopping},
     Doubt::Any,
     StartReaction::None,
     RunPhase::Stopping,
     false,
     "The run is kept until its end is listed, or it is missing in a listing after its confirmed stop."},
};

/** @return Whether a row is about an answer. */
bool concerns(const DecisionRow &row, const StartAnswer &answer)
{
    const unsigned bit = (answer.isRepeated ? 2U : 1U) << (answer.isListed ? 2U : 0U);
    return (static_cast<unsigned>(row.doubt) & bit) != 0 && std::ranges::find(row.kinds, answer.kind) != row.kinds.end()
           && std::ranges::find(row.phases, answer.phase) != row.phases.end();
}

} // namespace

BOOST_AUTO_TEST_SUITE(StartDecisions)

// Guards against an answer that lets a task be started beside or after a run that exists: each answer in each state has one row.
BOOST_AUTO_TEST_CASE(EachAnswerInEachStateIsDecidedAsTheTableSays)
{
    std::size_t cells = 0;
    for (const RunPhase phase : AllPhases) {
        for (const Kind kind : AllKinds) {
            for (const bool isRepeated : {false, true}) {
                for (const bool isListed : {false, true}) {
                    const StartAnswer answer{phase, isRepeated, isListed, kind};
                    const auto row = std::ranges::find_if(Table, [&](const DecisionRow &entry) { return concerns(entry, answer); });
                    BOOST_TEST_REQUIRE((row != Table.end()));
                    BOOST_TEST(std::ranges::count_if(Table, [&](const DecisionRow &entry) { return concerns(entry, answer); }) == 1);
                    BOOST_TEST_CONTEXT("phase " << static_cast<int>(phase) << ", answer " << static_cast<int>(kind) << ", repeated "
                                                << isRepeated << ", listed " << isListed << ": " << row->reason)
                    {
                        BOOST_TEST((decideStart(answer) == StartDecision{row->reaction, row->phase, row->isRefused}));
                    }
                    ++cells;
                }
            }
        }
    }
    BOOST_TEST(cells == 160U);
}

// Guards against a run that is given up although it may exist: only a sole refused order, or the end of the incarnation, allows that.
BOOST_AUTO_TEST_CASE(RunThatMayExistIsNeverGivenUp)
{
    for (const RunPhase phase : AllPhases) {
        for (const Kind kind : AllKinds) {
            for (const bool isRepeated : {false, true}) {
                for (const bool isListed : {false, true}) {
                    const StartDecision decision = decideStart({phase, isRepeated, isListed, kind});
                    const bool mayExist = isRepeated || isListed || phase == RunPhase::Running || phase == RunPhase::Unconfirmed
                                          || kind == Kind::Unknown || kind == Kind::Started;
                    const bool canStartAgain = decision.reaction == StartReaction::Drop;
                    BOOST_TEST(!(mayExist && (canStartAgain || decision.isRefused)));
                    const bool isOver = kind == Kind::Fenced || kind == Kind::OtherIncarnation;
                    BOOST_TEST((decision.phase.has_value() != (canStartAgain || isOver)));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(StartAnswers, RepeatedStart)

// Guards against a second start of a task that has ended: the repeated order is answered as superseded once the run, which a hold has
// listed, has ended, and before a hold lists the end.
BOOST_AUTO_TEST_CASE(RepeatedOrderThatIsSupersededAfterAListingStartsNoSecondRun)
{
    this->answeredHolds = 1;
    this->holdsLostFor = 200ms;
    this->runJob(false);
    BOOST_TEST(this->orders == 2U);
    BOOST_TEST(this->world.startsOf(Task) == 1U);
    BOOST_TEST(this->world.shows(this->leader, Job, JobState::Done));
    BOOST_TEST(this->world.violations.empty());
}

// Guards against a second start at any order of the run's end, the answer to the repeated order and the listings.
BOOST_AUTO_TEST_CASE(RepeatedOrderStartsNoSecondRunWhicheverAnswerOvertakesTheOther)
{
    for (Duration delay = 2ms; delay <= 400ms; delay += 6ms) {
        for (std::size_t answered = 0; answered <= 5; ++answered) {
            for (const bool isBestEffort : {false, true}) {
                RepeatedStart order;
                order.repetitionDelay = delay;
                order.answeredHolds = answered;
                order.holdsLostFor = 200ms;
                order.runJob(isBestEffort);
                BOOST_TEST_CONTEXT("repetition after " << toMs(delay) << " ms"
                                                       << ", answered holds " << answered)
                {
                    BOOST_TEST(order.world.startsOf(Task) == 1U);
                    BOOST_TEST(order.world.violations.empty());
                }
            }
        }
    }
}

// Guards against a second run beside one that a hold has listed: a refusal that arrives after the listing ended the leader's belief in the
// run.
BOOST_AUTO_TEST_CASE(RefusalThatAListingHasOvertakenStartsNoSecondRun)
{
    for (const Kind kind : {Kind::NoCapacity, Kind::TooLate, Kind::Superseded, Kind::Unhealthy, Kind::Rejected, Kind::NotSent}) {
        CellWorld twoEndpoints{2};
        const std::size_t first = twoEndpoints.addLeader();
        twoEndpoints.advanceTime(100ms);
        twoEndpoints.workTime = 300ms;
        twoEndpoints.startOutcome = [] { return CallOutcome::AnswerLost; };
        twoEndpoints.submit(first, Job, 1);
        BOOST_TEST_REQUIRE(twoEndpoints.advanceUntil([&] { return twoEndpoints.startsOf(Task) == 1U; }, 100ms));
        twoEndpoints.advanceTime(100ms);
        twoEndpoints.startOutcome = [] { return CallOutcome::Answered; };
        const EndpointModel &endpoint = twoEndpoints.endpoints[twoEndpoints.endpoints[0].runsTask(Task) ? 0 : 1];
        const RunNumber run = endpoint.runs.front().run;
        twoEndpoints.leaders[first].leader->onStarted(twoEndpoints.now, endpoint.record.name, Task, run, {kind, ""});
        twoEndpoints.advanceTime(2s);
        BOOST_TEST_CONTEXT("answer " << static_cast<int>(kind))
        {
            BOOST_TEST(twoEndpoints.startsOf(Task) == 1U);
            BOOST_TEST(twoEndpoints.shows(first, Job, JobState::Done));
            BOOST_TEST(twoEndpoints.violations.empty());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
