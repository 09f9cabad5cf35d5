// What the losses of endpoints tell of the tasks that ran there, decided without a network.
#include "cells/crash_history.h"
#include "cells/store_rows.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagertally;
using namespace Tanagertally::Cells;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(100s);
const TaskRef Task{JobId("00000000000000a1"), 0, 0};
const TaskRef Neighbour{JobId("00000000000000a2"), 0, 3};

EndpointLoss lossOf(int number, std::vector<TaskRef> tasks, bool wereRunning = true)
{
    EndpointLoss loss;
    loss.endpoint = EndpointName("e" + std::to_string(number));
    loss.address = NetAddress("10.0.0." + std::to_string(number) + ":1");
    loss.wasAlone = tasks.size() == 1;
    for (const TaskRef &task : tasks) {
        loss.tasks.push_back({task, wereRunning});
    }
    loss.at = Start;
    return loss;
}

/** @return Registration of another incarnation at the address of a lost endpoint. */
EndpointRecord replacementOf(const EndpointLoss &loss)
{
    EndpointRecord record;
    record.name = EndpointName(loss.endpoint.value + "-next");
    record.address = loss.address;
    return record;
}

struct History {
    CrashHistory history;

    void crash(int number, std::vector<TaskRef> tasks, bool wereRunning = true)
    {
        const EndpointLoss loss = lossOf(number, std::move(tasks), wereRunning);
        this->history.recordLoss(loss);
        const std::vector<EndpointRecord> records{replacementOf(loss)};
        BOOST_TEST(this->history.onRegistry(records));
    }

    bool hasVerdict(const TaskRef &task, CrashVerdict expected, TimePoint now = Start) const
    {
        return this->history.verdict(task, now) == expected;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashHistories, History)

BOOST_AUTO_TEST_CASE(TasksOfALostEndpointRunOnProbation)
{
    this->history.recordLoss(lossOf(1, {Task, Neighbour}));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
    BOOST_TEST(this->hasVerdict(Neighbour, CrashVerdict::RunOnProbation));
    BOOST_TEST(this->hasVerdict({JobId("00000000000000a3"), 0, 0}, CrashVerdict::None));
    BOOST_TEST(this->hasVerdict({Task.job, 0, 1}, CrashVerdict::None));
}

BOOST_AUTO_TEST_CASE(SharedCrashesAloneDoNotMakeATaskDeadly)
{
    this->crash(1, {Task, Neighbour});
    this->crash(2, {Task, Neighbour});
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
    this->crash(3, {Task});
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::Deadly));
    BOOST_TEST(this->hasVerdict(Neighbour, CrashVerdict::RunOnProbation));
}

// Guards against a task that is given up for the crash of an endpoint that never started it.
BOOST_AUTO_TEST_CASE(CrashBeforeTheRunWasConfirmedIsNoEvidence)
{
    this->crash(1, {Task, Neighbour}, false);
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
    this->crash(2, {Task});
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
    this->crash(3, {Task});
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::Deadly));
}

// Guards against a deadly task that is started for ever, as the answers of its starts are lost and no run of it is confirmed.
BOOST_AUTO_TEST_CASE(RepeatedCrashesUnderUnconfirmedRunsAloneAreEvidence)
{
    this->crash(1, {Task, Neighbour}, false);
    this->crash(2, {Task}, false);
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
    this->crash(3, {Task}, false);
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::Deadly));
    BOOST_TEST(this->hasVerdict(Neighbour, CrashVerdict::RunOnProbation));
}

// Guards against a healthy task that is given up because endpoints crashed, beside others, before its starts arrived.
BOOST_AUTO_TEST_CASE(SharedCrashesUnderUnconfirmedRunsAreNoEvidence)
{
    this->crash(1, {Task, Neighbour}, false);
    this->crash(2, {Task, Neighbour}, false);
    this->crash(3, {Task}, false);
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
    BOOST_TEST(this->hasVerdict(Neighbour, CrashVerdict::RunOnProbation));
}

// Guards against a healthy task that is given up because endpoints were cut off before its starts arrived.
BOOST_AUTO_TEST_CASE(UnconfirmedRunsOnEndpointsThatAnswerAgainAreNoEvidence)
{
    for (int number = 1; number <= 3; ++number) {
        this->history.recordLoss(lossOf(number, {Task}, false));
    }
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::AwaitEvidence, Start + 3s));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation, Start + 20s));
    for (int number = 1; number <= 3; ++number) {
        BOOST_TEST(this->history.onAnswered(EndpointName("e" + std::to_string(number)), std::nullopt));
    }
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::None));
}

BOOST_AUTO_TEST_CASE(OneCrashIsNotEnough)
{
    this->crash(1, {Task});
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
}

BOOST_AUTO_TEST_CASE(SecondLossAwaitsEvidenceForALimitedTime)
{
    this->history.recordLoss(lossOf(1, {Task, Neighbour}));
    this->history.recordLoss(lossOf(2, {Task}));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::AwaitEvidence, Start + 3s));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation, Start + 20s));
}

BOOST_AUTO_TEST_CASE(EndpointThatAnswersAgainDidNotCrash)
{
    this->history.recordLoss(lossOf(1, {Task}));
    this->history.recordLoss(lossOf(2, {Task}));
    BOOST_TEST(this->history.onAnswered(EndpointName("e1"), std::nullopt));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
    BOOST_TEST(this->history.onAnswered(EndpointName("e2"), std::nullopt));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::None));
    BOOST_TEST(!this->history.concerns(Task.job));
}

BOOST_AUTO_TEST_CASE(ConfirmedCrashIsNotTakenBack)
{
    this->crash(1, {Task});
    BOOST_TEST(!this->history.onAnswered(EndpointName("e1"), std::nullopt));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
}

BOOST_AUTO_TEST_CASE(IncarnationsUnderOneNameAreToldApartByTheirBirth)
{
    EndpointLoss loss = lossOf(1, {Task});
    loss.born = 1000;
    this->history.recordLoss(loss);
    EndpointRecord record = replacementOf(loss);
    record.name = loss.endpoint;
    record.born = 1000;
    BOOST_TEST(!this->history.onRegistry(std::vector<EndpointRecord>{record}));
    record.born = 2000;
    BOOST_TEST(this->history.onRegistry(std::vector<EndpointRecord>{record}));
    BOOST_TEST(!this->history.onAnswered(loss.endpoint, 2000));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
}

// Guards against a sound endpoint that is taken for crashed because the registry still shows the one before it at its address.
BOOST_AUTO_TEST_CASE(RowOfAPredecessorConfirmsNoCrash)
{
    EndpointLoss loss = lossOf(1, {Task});
    EndpointRecord predecessor = replacementOf(loss);
    predecessor.name = EndpointName("e1-before");
    loss.predecessors = {predecessor.name};
    this->history.recordLoss(loss);
    BOOST_TEST(!this->history.onRegistry(std::vector<EndpointRecord>{predecessor}));
    BOOST_TEST(this->history.onRegistry(std::vector<EndpointRecord>{predecessor, replacementOf(loss)}));
}

// Guards against a healthy job that is given up because endpoints fell silent under it, however long the silence may still be a cut.
BOOST_AUTO_TEST_CASE(TaskIsGivenUpAfterFiveLossesWhenTheirSilenceLasts)
{
    for (int number = 1; number <= 4; ++number) {
        this->history.recordLoss(lossOf(number, {Task}));
    }
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation, Start + 20s));
    this->history.recordLoss(lossOf(5, {Task}));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::AwaitEvidence, Start));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::AwaitEvidence, Start + 29s));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::Deadly, Start + 30s));
    BOOST_TEST(this->history.onAnswered(EndpointName("e3"), std::nullopt));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation, Start + 30s));
}

// Guards against a deadly task that goes on because each of its crashes hit an endpoint with other runs.
BOOST_AUTO_TEST_CASE(TaskIsGivenUpAtOnceAfterFiveCrashes)
{
    for (int number = 1; number <= 4; ++number) {
        this->crash(number, {Task, Neighbour}, false);
    }
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
    this->crash(5, {Task, Neighbour}, false);
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::Deadly));
}

BOOST_AUTO_TEST_CASE(SuccessClearsATaskAndNotItsNeighbour)
{
    this->crash(1, {Task, Neighbour});
    BOOST_TEST(this->history.forgetTask(Neighbour));
    BOOST_TEST(!this->history.forgetTask(Neighbour));
    BOOST_TEST(this->hasVerdict(Neighbour, CrashVerdict::None));
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
    BOOST_TEST(this->history.forgetJob(Task.job));
    BOOST_TEST(this->history.losses().empty());
}

BOOST_AUTO_TEST_CASE(HistoryIsBoundedInSizeAndTime)
{
    for (int number = 0; number < 1000; ++number) {
        this->history.recordLoss(lossOf(number, {{JobId(std::to_string(number)), 0, 0}}));
    }
    BOOST_TEST(this->history.losses().size() == 256U);
    BOOST_TEST(!this->history.concerns(JobId("0")));
    BOOST_TEST(this->history.forgetOld(Start + 200s));
    BOOST_TEST(this->history.losses().empty());
    BOOST_TEST(!this->history.concerns(JobId("999")));
}

BOOST_AUTO_TEST_CASE(ManyLossesAtOnceHaveACommonCause)
{
    BOOST_TEST(!hasCommonCause(3, 4));
    BOOST_TEST(hasCommonCause(4, 16));
    BOOST_TEST(!hasCommonCause(4, 44));
    BOOST_TEST(hasCommonCause(9, 44));
}

// Guards against a deadly task that goes on because it always runs beside others, and against healthy ones that fail after sharing its
// endpoints.
BOOST_AUTO_TEST_CASE(ThirdCrashOfATaskThatWasOnceTheOnlySuspectIsDeadly)
{
    const auto crashBeside = [this](int number, bool isOnlySuspect) {
        EndpointLoss loss = lossOf(number, {Task, Neighbour});
        loss.tasks[0].wasOnlySuspect = isOnlySuspect;
        loss.hadOnlySuspect = isOnlySuspect;
        this->history.recordLoss(loss);
        const std::vector<EndpointRecord> records{replacementOf(loss)};
        this->history.onRegistry(records);
    };
    crashBeside(1, false);
    crashBeside(2, true);
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
    crashBeside(3, false);
    BOOST_TEST(this->hasVerdict(Task, CrashVerdict::Deadly));
    BOOST_TEST(this->hasVerdict(Neighbour, CrashVerdict::RunOnProbation));
}

// Guards against a task that counts as deadly after five losses, of which others are the likely cause.
BOOST_AUTO_TEST_CASE(LossesWithAnotherSuspectDoNotAddUp)
{
    for (int number = 1; number <= 8; ++number) {
        EndpointLoss loss = lossOf(number, {{JobId("00000000000000b" + std::to_string(number)), 0, 0}, Task});
        loss.tasks[0].wasOnlySuspect = true;
        loss.hadOnlySuspect = true;
        this->history.recordLoss(loss);
        const std::vector<EndpointRecord> records{replacementOf(loss)};
        this->history.onRegistry(records);
        BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
        this->history.forgetJob(loss.tasks[0].task.job);
        BOOST_TEST(this->hasVerdict(Task, CrashVerdict::RunOnProbation));
    }
}

// Guards against a probation that ends before the point at which the task crashed its endpoints, and against one that keeps others out for
// as long as a sound task had run before its first loss.
BOOST_AUTO_TEST_CASE(ProbationOutlastsTheShortestLostRun)
{
    const auto lose = [this](int number, std::optional<Duration> ranFor) {
        EndpointLoss loss = lossOf(number, {Task});
        loss.tasks[0].ranFor = ranFor;
        this->history.recordLoss(loss);
    };
    lose(1, 20s);
    BOOST_TEST((this->history.probationOf(Task) <= 3s));
    lose(2, 25s);
    BOOST_TEST((this->history.probationOf(Task) > 25s));
    BOOST_TEST(this->history.hasLossAtAge(Task, 21s));
    BOOST_TEST(!this->history.hasLossAtAge(Task, 8s));
    lose(3, std::nullopt); // Recorded by an earlier version.
    BOOST_TEST((this->history.probationOf(Task) > 25s));
    lose(4, 400ms);
    BOOST_TEST((this->history.probationOf(Task) > 800ms));
    BOOST_TEST((this->history.probationOf(Task) < 2s));
    BOOST_TEST(this->history.lossesUnder(Task) == 4U);
}

BOOST_AUTO_TEST_CASE(StoredLossesAreReadAsWritten)
{
    EndpointLoss reborn = lossOf(2, {Task});
    reborn.born = 1234567890123;
    reborn.state = LossState::Crashed;
    reborn.predecessors = {EndpointName("e2-before"), EndpointName("e2-first")};
    reborn.tasks[0].ranFor = 1500ms;
    reborn.tasks[0].wasOnlySuspect = true;
    reborn.hadOnlySuspect = true;
    const std::vector<EndpointLoss> losses{lossOf(1, {Task, Neighbour}, false), reborn};
    const auto read = decodeLosses(encodeLosses(losses));
    BOOST_TEST_REQUIRE(!read.has_error());
    BOOST_TEST_REQUIRE(read.value().size() == 2U);
    BOOST_TEST((read.value()[0].tasks == losses[0].tasks));
    BOOST_TEST((read.value()[1].tasks == losses[1].tasks));
    BOOST_TEST((read.value()[0].state == LossState::Unconfirmed));
    BOOST_TEST(!read.value()[0].wasAlone);
    BOOST_TEST((read.value()[1].born == reborn.born));
    BOOST_TEST((read.value()[1].state == LossState::Crashed));
    BOOST_TEST(read.value()[1].wasAlone);
    BOOST_TEST(read.value()[1].hadOnlySuspect);
    BOOST_TEST(!read.value()[0].hadOnlySuspect);
    BOOST_TEST(read.value()[0].predecessors.empty());
    BOOST_TEST((read.value()[1].predecessors == reborn.predecessors));
    BOOST_TEST(decodeLosses("no losses").has_error());
}

BOOST_AUTO_TEST_SUITE_END()
