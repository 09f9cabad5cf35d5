/** One decision part by itself, for measuring what it costs. */
#pragma once

#include "controllers/coordinator.h"
#include "session/fake_platform.h"

#include <deque>

namespace Tanagertally {

/** Sizes around the decision part. */
struct CostSizes {
    std::uint32_t endpoints = 16; ///< Endpoints of its failure domain.
    std::uint32_t peers = 0; ///< Peers of its failure domain with a link up.
    std::uint32_t slots = 8; ///< Slots of an endpoint.
};

/**
 * Drives a decision part without links or endpoints around it: the platform replies at once, attempts end when told.
 * Thread safety: none.
 */
class CostInstance
{
public:
    /** Set up; ready to take jobs. */
    explicit CostInstance(const CostSizes &sizes);

    /** Handle an event and everything that follows at once. */
    void feed(Event event);

    /** Let virtual time pass, with instance lists and heartbeats coming in. */
    void pass(Duration time);

    /** Have all running attempts succeed, and those that start in their place, until none is left. */
    void finishAttempts();

    /** Submit a job. @param key Its key; a fresh one is issued if it is empty. */
    void submit(const TeamName &team, const JobKey &key, std::uint32_t tasks);

    /** @return Fresh keys. */
    std::vector<JobKey> issueKeys(const TeamName &team, std::uint32_t count);

    /** @return Events handled so far. */
    std::uint64_t events() const
    {
        return this->eventCount;
    }

    /** @return Jobs answered complete so far. */
    std::uint64_t completeJobs() const
    {
        return this->completeCount;
    }

private:
    void execute();
    void execute(Action &action);
    InstanceList makeList() const;

    CostSizes sizes; ///< Sizes.
    std::unique_ptr<Coordinator> coordinator; ///< The decision part.
    FakePlatform platform; ///< The platform.
    TimePoint now{}; ///< Virtual time.
    ActionList actions; ///< Actions of the last event.
    std::deque<PlatformReplied> replies; ///< Replies of the platform to hand in.
    std::vector<AttemptId> running; ///< Attempts in flight.
    std::vector<JobKey> lastKeys; ///< Keys issued last.
    Payload payload = std::make_shared<const std::string>("{}"); ///< Input and output of every task.
    std::uint64_t lastRequest = 0; ///< Last request number.
    std::uint64_t eventCount = 0; ///< Events.
    std::uint64_t completeCount = 0; ///< Jobs answered complete.
};

} // namespace Tanagertally
