#include "fleet.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <iterator>

namespace Tanagertally::Standins {

namespace {

/** Append the endpoints whose place has one of the names. @return The first name that none has. */
std::optional<std::string> appendNamed(const Fleet::Endpoints &all, const std::vector<std::string> &names,
                                       std::string EndpointPlace::*member, Fleet::Endpoints &chosen)
{
    for (const std::string &name : names) {
        bool found = false;
        for (Endpoint *endpoint : all) {
            if (endpoint->place().*member == name) {
                chosen.push_back(endpoint);
                found = true;
            }
        }
        if (!found) {
            return name;
        }
    }
    return std::nullopt;
}

} // namespace

EndpointPlace placeOf(std::uint32_t worker, const FleetOptions &options)
{
    const std::uint32_t rack = worker / options.workersPerRack;
    return EndpointPlace{"w" + std::to_string(worker + 1), "r" + std::to_string(rack + 1),
                         "dc" + std::to_string(rack % options.domains + 1), options.slots};
}

Fleet::Fleet(Private, FleetOptions fleetOptions, LaggingList &instanceList)
    : options(std::move(fleetOptions))
    , list(instanceList)
{
}

Result<std::unique_ptr<Fleet>> Fleet::create(boost::asio::io_context &io, FleetOptions options, LaggingList &list)
{
    if (options.workersPerRack == 0 || options.domains == 0) {
        return makeError(ErrorCode::BadInput, "racks and failure domains have to hold at least one worker", "endpoints");
    }
    auto fleet = std::make_unique<Fleet>(Private(), std::move(options), list);
    for (std::uint32_t worker = 0; worker < fleet->options.endpoints; ++worker) {
        const std::uint16_t base = fleet->options.basePort;
        const auto port = static_cast<std::uint16_t>(base == 0 ? 0 : base + worker);
        EndpointOptions endpointOptions{placeOf(worker, fleet->options),
                                        HttpListenerOptions{fleet->options.host, port, fleet->options.connectionLimit}};
        BOOST_OUTCOME_TRY(auto endpoint, Endpoint::create(io, std::move(endpointOptions), fleet->options.runTimes, fleet->ledger));
        list.changeAtOnce(fleet->entryOf(*endpoint, false));
        fleet->endpoints.push_back(std::move(endpoint));
    }
    return fleet;
}

EndpointEntry Fleet::entryOf(const Endpoint &endpoint, bool leaving) const
{
    const EndpointPlace &place = endpoint.place();
    return EndpointEntry{place.worker, place.rack, place.domain, endpoint.address(), place.slots, leaving};
}

Fleet::Endpoints Fleet::all() const
{
    Endpoints all;
    for (const auto &endpoint : this->endpoints) {
        all.push_back(endpoint.get());
    }
    return all;
}

Result<Fleet::Endpoints> Fleet::select(const EndpointScope &scope) const
{
    const Endpoints all = this->all();
    if (scope.all) {
        return all;
    }
    Endpoints chosen;
    std::optional<std::string> missing = appendNamed(all, scope.workers, &EndpointPlace::worker, chosen);
    missing = missing ? missing : appendNamed(all, scope.racks, &EndpointPlace::rack, chosen);
    missing = missing ? missing : appendNamed(all, scope.domains, &EndpointPlace::domain, chosen);
    if (missing) {
        return makeError(ErrorCode::NotFound, "no such worker, rack or failure domain: " + *missing, *missing);
    }
    if (chosen.empty()) {
        return makeError(ErrorCode::BadInput, "name workers, racks or domains, or say \"all\": true", "workers");
    }
    Endpoints ordered;
    std::copy_if(all.begin(), all.end(), std::back_inserter(ordered),
                 [&chosen](Endpoint *endpoint) { return std::find(chosen.begin(), chosen.end(), endpoint) != chosen.end(); });
    return ordered;
}

StartLedger &Fleet::starts()
{
    return this->ledger;
}

void Fleet::leave(const Endpoints &chosen, bool refuses)
{
    for (Endpoint *endpoint : chosen) {
        if (endpoint->state() == EndpointState::Live) {
            endpoint->leave(refuses);
            this->list.change(Endpoint::Clock::now(), this->entryOf(*endpoint, true));
        }
    }
}

void Fleet::kill(const Endpoints &chosen, bool unlist)
{
    for (Endpoint *endpoint : chosen) {
        endpoint->kill();
        if (unlist) {
            this->list.change(Endpoint::Clock::now(), EndpointGone{endpoint->place().worker});
        }
    }
}

Result<void> Fleet::revive(const Endpoints &chosen)
{
    for (Endpoint *endpoint : chosen) {
        BOOST_OUTCOME_TRY(endpoint->revive());
        this->list.change(Endpoint::Clock::now(), this->entryOf(*endpoint, false));
    }
    return boost::outcome_v2::success();
}

void Fleet::resetCounters()
{
    this->ledger.reset();
    for (const auto &endpoint : this->endpoints) {
        endpoint->resetCounters();
    }
}

} // namespace Tanagertally::Standins
