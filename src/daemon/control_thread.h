/** The control thread: hands events to the decision part and its actions to the adapters. */
#pragma once

#include "controllers/coordinator.h"
#include "controllers/event_queue.h"
#include "core/result_type.h"
#include "daemon/shared_stats.h"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <ctime>
#include <memory>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace Tanagertally {

/** The steady clock as the decision part sees it. */
struct SteadyClock {
    /** @return The present time. Thread safety: any thread. */
    TimePoint now() const
    {
        return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }
};
static_assert(Clock<SteadyClock>);

/** Something that carries out one type of action. */
template<typename T, typename ActionType>
concept CarriesOut = requires(T &adapters, ActionType action)
{
    adapters.carryOut(std::move(action));
};

/** Whether something carries out all actions but Exit, which ends the control thread. */
template<typename T, typename Actions>
inline constexpr bool CarriesOutAll = false;
template<typename T, typename... ActionTypes>
inline constexpr bool
    CarriesOutAll<T, std::variant<ActionTypes...>> = ((std::same_as<ActionTypes, Exit> || CarriesOut<T, ActionTypes>)&&...);

/** The adapters as the control thread uses them; called from that thread only. */
template<typename T>
concept Adapters = CarriesOutAll<T, Action> && requires(T &adapters)
{
    adapters.stopAccepting(); // Take in no new connections.
    adapters.close(); // Flush what was handed over, and close.
};

/**
 * The loop of the control thread.
 * Thread safety: run() is called once, by the thread that is to be the control thread.
 */
template<Adapters AdapterSet>
class ControlThread
{
public:
    /** Longest sleep, so that figures stay fresh. */
    static constexpr Duration MaxSleep = std::chrono::milliseconds(250);
    /** Events after which actions are carried out, even if more events wait. */
    static constexpr std::size_t MaxEventsPerBatch = 256;
    /** After Exit, time without calls after which nothing more is expected. */
    static constexpr Duration ExitQuietPeriod = std::chrono::milliseconds(200);
    /** Longest time after Exit in which late calls are still answered. */
    static constexpr Duration MaxExitGracePeriod = std::chrono::seconds(2);

    /**
     * Make a control thread.
     * @param coordinator The decision part; never null.
     * @param events Where events come from; has to outlive the control thread.
     * @param adapters What carries out actions; has to outlive the control thread.
     * @param sharedStats Where figures are published; has to outlive the control thread.
     * @return The control thread, or Internal if there is no decision part.
     */
    static Result<std::unique_ptr<ControlThread>> create(std::unique_ptr<Coordinator> coordinator, EventQueue &events, AdapterSet &adapters,
                                                         SharedStats &sharedStats)
    {
        if (coordinator == nullptr) {
            return makeError(ErrorCode::Internal, "the control thread needs a decision part");
        }
        return std::unique_ptr<ControlThread>(new ControlThread(std::move(coordinator), events, adapters, sharedStats));
    }

    /**
     * Work until the decision part asks for Exit, then close the adapters. Between the two, calls are still answered, as
     * long as they keep coming: first by an open listener, since the balancer learns late that this instance is not ready,
     * then on the connections that are left.
     */
    void run()
    {
        this->advanceIfDue(true);
        while (!this->isExiting) {
            this->processEvents(this->wakeTime());
        }
        this->answerLateCalls();
        this->adapterSet.stopAccepting();
        this->answerLateCalls();
        this->adapterSet.close();
    }

private:
    ControlThread(std::unique_ptr<Coordinator> ownedCoordinator, EventQueue &eventQueue, AdapterSet &adapterReference,
                  SharedStats &statsReference)
        : coordinator(std::move(ownedCoordinator))
        , events(eventQueue)
        , adapterSet(adapterReference)
        , sharedStats(statsReference)
    {
    }

    std::chrono::steady_clock::time_point wakeTime() const
    {
        return toSteady(std::min(this->coordinator->nextDeadline(), this->clock.now() + MaxSleep));
    }

    static std::chrono::steady_clock::time_point toSteady(TimePoint time)
    {
        return std::chrono::steady_clock::time_point(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(time.time_since_epoch()));
    }

    /** Wait for events, handle them, and do what is due. @return Whether there were calls of callers or operators. */
    bool processEvents(std::chrono::steady_clock::time_point until)
    {
        this->events.drain(until, this->batch);
        const bool hasCalls = std::ranges::any_of(this->batch, isCall);
        std::size_t handled = 0;
        for (Event &event : this->batch) {
            this->coordinator->handle(this->clock.now(), std::move(event), this->actions);
            if (++handled % MaxEventsPerBatch == 0) {
                this->advanceIfDue(false);
            }
        }
        this->advanceIfDue(false);
        this->threadStats.events += handled;
        this->threadStats.batches += handled > 0 ? 1 : 0;
        this->publish();
        return hasCalls;
    }

    /** @return Whether an event is a call that awaits a reply. */
    static bool isCall(const Event &event)
    {
        return std::holds_alternative<KeysRequested>(event) || std::holds_alternative<JobSubmitted>(event)
               || std::holds_alternative<JobFetched>(event) || std::holds_alternative<JobCancelled>(event)
               || std::holds_alternative<OperatorAsked>(event);
    }

    void advanceIfDue(bool isForced)
    {
        const TimePoint now = this->clock.now();
        if (isForced || this->coordinator->nextDeadline() <= now) {
            this->coordinator->advance(now, this->actions);
        }
        this->carryOutAll();
    }

    void carryOutAll()
    {
        for (Action &action : this->actions) {
            std::visit([this](auto &&alternative) { this->carryOut(std::forward<decltype(alternative)>(alternative)); }, std::move(action));
        }
        this->actions.clear();
    }

    template<typename ActionType>
    void carryOut(ActionType &&action)
    {
        if constexpr (std::same_as<std::remove_cvref_t<ActionType>, Exit>) {
            this->isExiting = true;
        } else {
            this->adapterSet.carryOut(std::forward<ActionType>(action));
        }
    }

    /** Have calls answered by the decision part until no more come, or for MaxExitGracePeriod. */
    void answerLateCalls()
    {
        const TimePoint deadline = this->clock.now() + MaxExitGracePeriod;
        while (this->clock.now() < deadline) {
            const TimePoint quiet = this->clock.now() + ExitQuietPeriod;
            if (!this->processEventsUntilCall(std::min(quiet, deadline))) {
                return;
            }
        }
    }

    /** Step until a time or until there were calls. @return Whether there were calls. */
    bool processEventsUntilCall(TimePoint until)
    {
        bool hasCalls = false;
        while (!hasCalls && this->clock.now() < until) {
            hasCalls = this->processEvents(std::min(toSteady(until), this->wakeTime()));
        }
        return hasCalls;
    }

    void publish()
    {
        timespec used{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
        this->threadStats.processorTime = std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
        this->threadStats.coordinatorStats = this->coordinator->stats();
        this->sharedStats.publish(this->threadStats);
    }

    std::unique_ptr<Coordinator> coordinator; ///< The decision part.
    EventQueue &events; ///< Where events come from.
    AdapterSet &adapterSet; ///< What carries out actions.
    SharedStats &sharedStats; ///< Where figures are published.
    SteadyClock clock; ///< The clock.
    std::vector<Event> batch; ///< Events taken last.
    ActionList actions; ///< Actions not yet carried out.
    ControlThreadStats threadStats; ///< Figures published last.
    bool isExiting = false; ///< Whether the decision part asked for Exit.
};

} // namespace Tanagertally
