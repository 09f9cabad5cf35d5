// Part of Node: applies the operators' requests to evacuate failure domains.
#include "node/node.h"

#include "core/time_func.h"

#include <algorithm>

namespace Tanagertally::Cells {

void Node::setEvacuations(const EvacuationRequests &requests)
{
    this->areEvacuationsKnown = true;
    this->operatorTableVersion = requests.tableVersion;
    const TimePoint now = this->ports.now();
    bool hasChanged = false;
    for (const auto &[domain, evacuation] : this->evacuations) {
        if (!requests.domains.contains(domain)) {
            hasChanged = true;
            this->log("evacuation-ended", {{"domain", domain.value},
                                           {"row_version", std::to_string(evacuation.version.value)},
                                           {"held_ms", formatMilliseconds(now - evacuation.seenAt)}});
        }
    }
    std::erase_if(this->evacuations, [&](const auto &entry) { return !requests.domains.contains(entry.first); });
    for (const auto &[domain, version] : requests.domains) {
        const TimePoint startsUntil = lastStartTime(requests.formerlyCurrentAt, this->options.evacuationBound);
        const auto [found, isNew] = this->evacuations.try_emplace(domain, DomainEvacuation{version, now, startsUntil});
        if (!isNew && found->second.version == version) {
            continue;
        }
        hasChanged = true;
        found->second.version = version;
        const bool isKnown = std::ranges::find(this->options.domains, domain) != this->options.domains.end();
        this->log("evacuation-seen",
                  {{"domain", domain.value},
                   {"row_version", std::to_string(version.value)},
                   {"known_domain", isKnown ? "yes" : "no"},
                   {"starts_left_ms", formatMilliseconds(std::max(found->second.startsUntil - now, Duration{}))}},
                  !isKnown);
    }
    if (hasChanged) {
        this->applyEvacuations(now);
    }
}

void Node::applyEvacuations(TimePoint now)
{
    for (auto &[cell, view] : this->cells) {
        view.isEvacuated = this->evacuations.contains(view.domain);
    }
    std::vector<CellName> names;
    for (const auto &[cell, entry] : this->ledCells) {
        names.push_back(cell);
    }
    for (const CellName &cell : names) {
        this->ledCells.at(cell).leader->setEvacuated(now, this->startLimitOf(cell));
        this->runActions(cell);
    }
    // The cells' available capacity has changed.
    this->isAdvertDue = this->isAdvertDue || !names.empty();
}

std::optional<TimePoint> Node::startLimitOf(const CellName &cell) const
{
    const auto found = this->evacuations.find(this->cells.at(cell).domain);
    return found == this->evacuations.end() ? std::nullopt : std::optional(found->second.startsUntil);
}

bool Node::areAllDomainsEvacuated() const
{
    const auto isEvacuated = [this](const FailureDomain &domain) { return this->evacuations.contains(domain); };
    return !this->options.domains.empty() && std::ranges::all_of(this->options.domains, isEvacuated);
}

std::size_t Node::evacuatedDomainCount() const
{
    return this->evacuations.size();
}

} // namespace Tanagertally::Cells
