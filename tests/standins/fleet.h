/** All endpoint stand-ins of the process and their entries in the instance list. */
#pragma once

#include "endpoint.h"
#include "lagging_list.h"
#include "scope_type.h"

namespace Tanagertally::Standins {

/** How many endpoints there are and how they are spread. */
struct FleetOptions {
    std::uint32_t endpoints = 8; ///< Number of workers, one endpoint on each.
    std::uint32_t workersPerRack = 6; ///< Workers in a rack.
    std::uint32_t domains = 1; ///< Failure domains; racks are dealt to them in turn.
    std::uint32_t slots = 8; ///< Slots of an endpoint.
    std::string host = "127.0.0.1"; ///< IP number to bind.
    std::uint16_t basePort = 0; ///< Port of the first endpoint, the next has the next; 0 to have each chosen.
    std::size_t connectionLimit = 60; ///< Connections of an endpoint.
    RunTimeTable runTimes; ///< Run times of all kinds.
};

/** @return Where a worker stands; workers are numbered from 0. Thread safety: any thread. */
EndpointPlace placeOf(std::uint32_t worker, const FleetOptions &options);

/** The endpoints. Thread safety: any thread. The io_context has to be stopped before the fleet is destroyed. */
class Fleet
{
    struct Private {
        explicit Private() = default;
    };

public:
    using Endpoints = std::vector<Endpoint *>; ///< Some endpoints.

    /**
     * Make all endpoints and enter them in the list.
     * @param io Context that runs them.
     * @param options How many and where.
     * @param list The instance list; outlives the fleet.
     * @return The fleet, or an error if a port can't be bound.
     */
    static Result<std::unique_ptr<Fleet>> create(boost::asio::io_context &io, FleetOptions options, LaggingList &list);

    Fleet(Private, FleetOptions options, LaggingList &list);

    /** @return The endpoints of a scope, or an error if it names one that there isn't or none at all. */
    Result<Endpoints> select(const EndpointScope &scope) const;

    /** @return All endpoints in the order of their numbers. */
    Endpoints all() const;

    /** @return Counts of starts over all endpoints. */
    StartLedger &starts();

    /** Tell endpoints to leave. @param refuses Whether they refuse work at once. */
    void leave(const Endpoints &endpoints, bool refuses);

    /** Kill endpoints. @param unlist Whether the platform notices and takes them from the list. */
    void kill(const Endpoints &endpoints, bool unlist);

    /** Make endpoints live again after leaving or being killed. @return An error if a port is taken. */
    Result<void> revive(const Endpoints &endpoints);

    /** Set all counts to zero. */
    void resetCounters();

private:
    EndpointEntry entryOf(const Endpoint &endpoint, bool leaving) const;

    FleetOptions options; ///< How it is set up.
    LaggingList &list; ///< The instance list.
    StartLedger ledger; ///< Counts starts.
    std::vector<std::unique_ptr<Endpoint>> endpoints; ///< All endpoints.
};

} // namespace Tanagertally::Standins
