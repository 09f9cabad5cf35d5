// Part of Node: divides failure domains into cells, once in the life of a fleet.
#include "node/node.h"

#include <algorithm>

namespace Tanagertally::Cells {

namespace {

constexpr Duration LayoutReadInterval = std::chrono::milliseconds(350); // While a fleet starts for the first time.
constexpr Duration LateLayoutReadInterval = std::chrono::seconds(2); // While a failure domain has no endpoints.
constexpr Duration FirstStartTime = std::chrono::seconds(3); // All instances of a fleet have registered by then.
/** Time without a change of the number of registered endpoints after which they count as complete. */
constexpr Duration EndpointSettleTime = std::chrono::milliseconds(300);

} // namespace

bool Node::areLayoutsComplete() const
{
    return this->layouts.size() == this->options.domains.size();
}

void Node::readLayouts()
{
    this->isLayoutReadInFlight = true;
    const TimePoint now = this->ports.now();
    this->nextLayoutReadAt = now + (now < this->startedAt + FirstStartTime ? LayoutReadInterval : LateLayoutReadInterval);
    this->ports.read({std::string(LayoutsTable), "", "", 0}, [this](const ReadResult &result) {
        this->isLayoutReadInFlight = false;
        if (!result.isAnswered) {
            this->log("layouts-read-failed", {{"error", result.error}}, true);
            return;
        }
        this->onLayoutsRead(result);
    });
}

void Node::onLayoutsRead(const ReadResult &result)
{
    this->areLayoutsRead = true;
    for (const Row &row : result.rows) {
        const FailureDomain domain(row.key.key);
        const bool isOfThisFleet = std::ranges::find(this->options.domains, domain) != this->options.domains.end();
        if (!isOfThisFleet || this->layouts.contains(domain)) {
            continue;
        }
        const Result<std::uint32_t> count = decodeCellCount(row.value);
        if (count.has_error()) {
            this->log("row-unreadable", {{"table", row.key.table}, {"key", row.key.key}, {"error", count.error().message}}, true);
            continue;
        }
        const DomainLayout layout{domain, count.value()};
        this->layouts.emplace(domain, layout);
        this->endpointCounts.erase(domain);
        this->log("layout", {{"domain", domain.value}, {"cells", std::to_string(layout.cellCount)}});
        for (const CellName &cell : cellsOf(layout)) {
            CellView &view = this->cells[cell];
            view.domain = domain;
            view.isEvacuated = this->evacuations.contains(domain);
            view.vacantSince = this->startedAt;
        }
    }
}

void Node::chooseLayouts(TimePoint now)
{
    if (!this->isLayoutReadInFlight && now >= this->nextLayoutReadAt) {
        this->readLayouts();
    }
    if (!this->areLayoutsRead || this->isLeaving || this->membersReadAt == TimePoint()) {
        return;
    }
    const std::vector<LeadCandidate> candidates = this->leadCandidates();
    for (const FailureDomain &domain : this->options.domains) {
        const bool isResponsible
            = isOwnTurn(this->options.self.name, CellName(domain.value), domain, candidates, now - this->startedAt, this->limits);
        if (this->layouts.contains(domain) || !isResponsible) {
            continue;
        }
        this->requestEndpoints(now);
        if (!this->areEndpointsKnown) {
            continue;
        }
        const auto count = static_cast<std::size_t>(std::ranges::count(this->endpoints, domain, &EndpointRecord::domain));
        EndpointCount &known = this->endpointCounts[domain];
        if (known.count != count) {
            known = {count, now};
        }
        if (count > 0 && now - known.changedAt >= EndpointSettleTime) {
            this->storeLayout({domain, chooseCellCount(count)});
        }
    }
}

void Node::storeLayout(const DomainLayout &layout)
{
    this->log("layout-chosen", {{"domain", layout.domain.value},
                                {"endpoints", std::to_string(this->endpointCounts.at(layout.domain).count)},
                                {"cells", std::to_string(layout.cellCount)}});
    // The row is read back whatever the outcome, as another instance may have stored one at the same time.
    this->areLayoutsRead = false;
    StoreTransaction transaction;
    transaction.conditions.push_back({layoutKey(layout.domain), RowVersion(0)});
    transaction.writes.push_back({layoutKey(layout.domain), encodeCellCount(layout.cellCount)});
    this->ports.commit(std::move(transaction), [this](const TransactionResult &) {
        this->nextLayoutReadAt = this->ports.now();
        if (!this->isLayoutReadInFlight && !this->areLayoutsComplete()) {
            this->readLayouts();
        }
    });
}

} // namespace Tanagertally::Cells
