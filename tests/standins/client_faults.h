/** Faults of the platform as each of its clients meets them: for all, by failure domain and by instance. */
#pragma once

#include "platform_type.h"
#include "scope_type.h"

#include <map>
#include <mutex>
#include <optional>

namespace Tanagertally::Standins {

/** Fields of PlatformFaults to change; unset ones stay. */
struct PlatformFaultsChange {
    std::optional<Duration> extraLatency; ///< Added to every latency.
    std::optional<double> slowFactor; ///< Factor on every latency.
    std::optional<double> lostAnswerProbability; ///< Share of the writes whose answer is lost.
    std::optional<Outage> outage; ///< Whether it is out.
    std::optional<bool> cut; ///< Whether a partition lies between.
};

/** The faults by client. Thread safety: any thread. */
class ClientFaults
{
public:
    /** Learn the failure domain of an instance; it is kept when the instance is gone. */
    void place(const std::string &instance, const std::string &domain);

    /** Change the faults of a scope. */
    void change(const ClientScope &scope, const PlatformFaultsChange &change);

    /** Clear the faults of the names in a scope; all of them everywhere if the scope is for all. */
    void clear(const ClientScope &scope);

    /** End the cuts of the names in a scope; all cuts if the scope is for all. */
    void heal(const ClientScope &scope);

    /** @return What a client meets; an unnamed one meets only what holds for all. */
    PlatformFaults faultsFor(const std::string &client) const;

    /** @return What holds for all clients. */
    PlatformFaults faultsForAll() const;

    /** @return Whether a scope covers a client. */
    bool covers(const ClientScope &scope, const std::string &client) const;

private:
    std::string domainOf(const std::string &client) const;

    mutable std::mutex mutex; ///< Guards the rest.
    std::map<std::string, std::string> domains; ///< Failure domain by instance.
    PlatformFaults all; ///< For all clients.
    std::map<std::string, PlatformFaults> byDomain; ///< By failure domain.
    std::map<std::string, PlatformFaults> byInstance; ///< By instance.
};

} // namespace Tanagertally::Standins
