/** The control thread: passes events to the coordinator and the actions of the coordinator to the adapters. */
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

/** Steady clock in the time type of the coordinator. */
struct SteadyClock {
    /** @return The current time. Thread safety: may be called from any thread. */
    TimePoint now() const
    {
        return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }
};
static_assert(Clock<SteadyClock>);

/** A type that carries out one type of action. */
template<typename T, typename ActionType>
concept CarriesOut = requires(T &adapters, ActionType action)
{
    adapters.execute(std::move(action));
};

/** Whether a type carries out all alternatives of a variant of actions, except Exit, which the control thread handles itself. */
template<typename T, typename Actions>
inline constexpr bool CarriesOutAll = false;
template<typename T, typename... ActionTypes>
inline constexpr bool
    CarriesOutAll<T, std::variant<ActionTypes...>> = ((std::same_as<ActionTypes, Exit> || CarriesOut<T, ActionTypes>)&&...);

/** Requirements on the adapters; the control thread is the only one that calls them. */
template<typename T>
concept Adapters = CarriesOutAll<T, Action> && requires(T &adapters)
{
    adapters.stopAccepting(); // Stops accepting connections.
    adapters.close(); // Flushes pending replies and closes all connections.
};

/**
 * Event loop of the control thread.
 * Thread safety: run() has to be called once; the calling thread becomes the control thread.
 */
template<Adapters AdapterSet>
class ControlThread
{
public:
    /** Longest wait for events, so that the published statistics stay current. */
    static constexpr Duration MaxSleep = std::chrono::milliseconds(250);
    /** Number of events after which actions are carried out, even if more events are queued. */
    static constexpr std::size_t MaxEventsPerBatch = 256;
    /** After Exit, the control thread stops answering calls once none arrived for this time. */
    static constexpr Duration ExitQuietPeriod = std::chrono::milliseconds(200);
    /** Longest time after Exit for answering late calls, with the listener open and again after it is closed. */
    static constexpr Duration MaxExitGracePeriod = std::chrono::seconds(2);

    /**
     * Creates a control thread.
     * @param coordinator The coordinator; must not be null.
     * @param events Source of events; has to outlive the control thread.
     * @param adapters Carry out actions; have to outlive the control thread.
     * @param sharedStats Receives the statistics; has to outlive the control thread.
     * @return The control thread, or Internal if `coordinator` is null.
     */
    static Result<std::unique_ptr<ControlThread>> create(std::unique_ptr<Coordinator> coordinator, EventQueue &events, AdapterSet &adapters,
                                                         SharedStats &sharedStats)
    {
        if (coordinator == nullptr) {
            return makeError(ErrorCode::Internal, "the coordinator, a required part of the control thread, is missing");
        }
        return std::unique_ptr<ControlThread>(new ControlThread(std::move(coordinator), events, adapters, sharedStats));
    }

    /**
     * Runs until the coordinator emits Exit, then closes the adapters. In between, calls are answered as long as they keep arriving:
     * first with the listener open, because the load balancer notices only after a delay that this instance is not ready, then on
     * the remaining connections.
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

    /** Waits for events, handles them and carries out the due actions. @return Whether there were calls of callers or operators. */
    bool processEvents(std::chrono::steady_clock::time_point until)
    {
        this->events.popAll(until, this->batch);
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

    /** @return Whether an event is a call that has to be replied to. */
    static bool isCall(const Event &event)
    {
        return std::holds_alternative<KeysRequested>(event) || std::holds_alternative<JobSubmitted>(event)
               || std::holds_alternative<FetchRequested>(event) || std::holds_alternative<CancelRequested>(event)
               || std::holds_alternative<OperatorRequested>(event);
    }

    void advanceIfDue(bool isForced)
    {
        const TimePoint now = this->clock.now();
        if (isForced || this->coordinator->nextDeadline() <= now) {
            this->coordinator->advance(now, this->actions);
        }
        this->executeAll();
    }

    void executeAll()
    {
        for (Action &action : this->actions) {
            std::visit([this](auto &&alternative) { this->execute(std::forward<decltype(alternative)>(alternative)); }, std::move(action));
        }
        this->actions.clear();
    }

    template<typename ActionType>
    void execute(ActionType &&action)
    {
        if constexpr (std::same_as<std::remove_cvref_t<ActionType>, Exit>) {
            this->isExiting = true;
        } else {
            this->adapterSet.execute(std::forward<ActionType>(action));
        }
    }

    /** Processes events until no call has arrived for ExitQuietPeriod, or until MaxExitGracePeriod has passed. */
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

    /** Processes events until the given time or the first call. @return Whether there were calls. */
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

    std::unique_ptr<Coordinator> coordinator;
    EventQueue &events; ///< Source of events.
    AdapterSet &adapterSet; ///< Carry out the actions.
    SharedStats &sharedStats; ///< Receives the statistics.
    SteadyClock clock;
    std::vector<Event> batch; ///< Events being handled.
    ActionList actions; ///< Actions not yet carried out.
    ControlThreadStats threadStats; ///< Statistics to publish.
    bool isExiting = false; ///< The coordinator has emitted Exit.
};

} // namespace Tanagertally
