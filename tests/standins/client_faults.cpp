#include "client_faults.h"

#include <algorithm>

namespace Tanagertally::Standins {

namespace {

void apply(const PlatformFaultsChange &change, PlatformFaults &faults)
{
    faults.extraLatency = change.extraLatency.value_or(faults.extraLatency);
    faults.slowFactor = change.slowFactor.value_or(faults.slowFactor);
    faults.lostAnswerProbability = change.lostAnswerProbability.value_or(faults.lostAnswerProbability);
    faults.outage = change.outage.value_or(faults.outage);
    faults.cut = change.cut.value_or(faults.cut);
}

const PlatformFaults &lookUp(const std::map<std::string, PlatformFaults> &faults, const std::string &name)
{
    static const PlatformFaults none;
    const auto found = faults.find(name);
    return found == faults.end() ? none : found->second;
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

PlatformFaults combine(const PlatformFaults &left, const PlatformFaults &right)
{
    PlatformFaults both;
    both.extraLatency = left.extraLatency + right.extraLatency;
    both.slowFactor = left.slowFactor * right.slowFactor;
    both.lostAnswerProbability = std::max(left.lostAnswerProbability, right.lostAnswerProbability);
    both.outage = std::max(left.outage, right.outage);
    both.cut = left.cut || right.cut;
    return both;
}

void ClientFaults::place(const std::string &instance, const std::string &domain)
{
    const std::lock_guard lock(this->mutex);
    this->domains.insert_or_assign(instance, domain);
}

void ClientFaults::change(const ClientScope &scope, const PlatformFaultsChange &change)
{
    const std::lock_guard lock(this->mutex);
    if (scope.all) {
        apply(change, this->all);
    }
    for (const std::string &domain : scope.domains) {
        apply(change, this->byDomain[domain]);
    }
    for (const std::string &instance : scope.instances) {
        apply(change, this->byInstance[instance]);
    }
}

void ClientFaults::clear(const ClientScope &scope)
{
    const std::lock_guard lock(this->mutex);
    if (scope.all) {
        this->all = PlatformFaults();
        this->byDomain.clear();
        this->byInstance.clear();
    }
    for (const std::string &domain : scope.domains) {
        this->byDomain.erase(domain);
    }
    for (const std::string &instance : scope.instances) {
        this->byInstance.erase(instance);
    }
}

void ClientFaults::heal(const ClientScope &scope)
{
    const std::lock_guard lock(this->mutex);
    if (scope.all) {
        this->all.cut = false;
    }
    for (auto &[domain, faults] : this->byDomain) {
        faults.cut = faults.cut && !scope.all && !contains(scope.domains, domain);
    }
    for (auto &[instance, faults] : this->byInstance) {
        faults.cut = faults.cut && !scope.all && !contains(scope.instances, instance);
    }
}

std::string ClientFaults::domainOf(const std::string &client) const
{
    const auto found = this->domains.find(client);
    return found == this->domains.end() ? std::string() : found->second;
}

PlatformFaults ClientFaults::faultsFor(const std::string &client) const
{
    const std::lock_guard lock(this->mutex);
    const PlatformFaults wide = combine(this->all, lookUp(this->byDomain, this->domainOf(client)));
    return combine(wide, lookUp(this->byInstance, client));
}

PlatformFaults ClientFaults::faultsForAll() const
{
    const std::lock_guard lock(this->mutex);
    return this->all;
}

bool ClientFaults::covers(const ClientScope &scope, const std::string &client) const
{
    const std::lock_guard lock(this->mutex);
    return scope.all || contains(scope.instances, client) || contains(scope.domains, this->domainOf(client));
}

} // namespace Tanagertally::Standins
