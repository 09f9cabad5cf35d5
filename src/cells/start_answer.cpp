#include "cells/start_answer.h"

namespace Tanagertally::Cells {

namespace {

using Kind = StartResult::Kind;

/** @return Phase of a run of which it is known that it was started. */
RunPhase afterStart(RunPhase phase)
{
    return phase == RunPhase::Starting ? RunPhase::Running : phase;
}

/** @return Phase of a run once its listing is taken into account. */
RunPhase knownPhase(const StartAnswer &answer)
{
    return answer.isListed ? afterStart(answer.phase) : answer.phase;
}

/** @return Whether a refusal of the order means that the run was never started and never will be. */
bool isConclusive(const StartAnswer &answer)
{
    const bool canAwaitAnswer = answer.phase == RunPhase::Starting || answer.phase == RunPhase::Stopping;
    return canAwaitAnswer && !answer.isRepeated && !answer.isListed;
}

/** @return Decision about an order that may have been carried out, although its answer doesn't say so. */
StartDecision decideUnconfirmed(const StartAnswer &answer)
{
    const RunPhase phase = knownPhase(answer);
    if (phase != RunPhase::Starting) {
        return {StartReaction::None, phase};
    }
    if (answer.isRepeated) {
        return {StartReaction::Stop, RunPhase::Unconfirmed};
    }
    return {StartReaction::Repeat, RunPhase::Starting};
}

/** @return Decision about an order that was refused because the run, or a later one of the task, was stopped or has ended. */
StartDecision decideSuperseded(const StartAnswer &answer)
{
    if (isConclusive(answer)) {
        return {StartReaction::Drop, std::nullopt}; // Another run of the task exists or existed there.
    }
    // Another order has started the run, and the endpoint lists its end; the run may have ended successfully.
    return {StartReaction::AwaitListing, afterStart(answer.phase)};
}

} // namespace

StartDecision decideStart(const StartAnswer &answer)
{
    switch (answer.kind) {
    case Kind::Started:
        return {StartReaction::RecordStart, afterStart(answer.phase)};
    case Kind::Fenced:
        return {StartReaction::EndLead, std::nullopt, isConclusive(answer)};
    case Kind::OtherIncarnation:
        return {StartReaction::DropAll, std::nullopt, isConclusive(answer)};
    case Kind::Superseded:
        return decideSuperseded(answer);
    case Kind::NoCapacity:
    case Kind::TooLate:
    case Kind::Unhealthy:
    case Kind::Rejected:
    case Kind::NotSent:
        if (isConclusive(answer)) {
            return {StartReaction::Drop, std::nullopt, true};
        }
        return decideUnconfirmed(answer);
    case Kind::Unknown:
        return decideUnconfirmed(answer);
    }
    return decideUnconfirmed(answer);
}

} // namespace Tanagertally::Cells
