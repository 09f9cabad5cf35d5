#include "node/endpoint_registry.h"

#include <algorithm>

namespace Tanagertally::Cells {

namespace {

constexpr Duration LapseGrace = std::chrono::milliseconds(2300); // Rows of live endpoints reappear about 2 s after a store outage.

} // namespace

EndpointRegistry::EndpointRegistry(RowDecoder rowDecoder, FaultHandler faultHandler)
    : decoder(std::move(rowDecoder))
    , onFault(std::move(faultHandler))
{
}

bool EndpointRegistry::update(const std::map<std::string, Row> &rows, TimePoint now, TimePoint lastFailureAt)
{
    const bool mayHaveLapsed = now < lastFailureAt + LapseGrace;
    const std::size_t before = this->entries.size();
    std::erase_if(this->entries, [&](const auto &entry) {
        const std::optional<EndpointRecord> &record = entry.second.record;
        const bool isKept = mayHaveLapsed && record && !record->isDraining;
        return !rows.contains(entry.first) && !isKept;
    });
    bool hasChanged = this->entries.size() != before;
    for (const auto &[id, row] : rows) {
        const auto [found, isNew] = this->entries.try_emplace(id);
        if (isNew || found->second.version != row.version) {
            hasChanged = this->updateEntry(id, row, found->second) || hasChanged;
        }
    }
    if (hasChanged) {
        this->reportMissingBirths();
    }
    return hasChanged;
}

bool EndpointRegistry::hasBirths() const
{
    return std::ranges::any_of(this->entries, [](const auto &entry) { return entry.second.record && entry.second.record->born; });
}

void EndpointRegistry::reportMissingBirths()
{
    const bool areBirthsExpected = this->hasBirths();
    for (auto &[id, entry] : this->entries) {
        const bool isMissing = areBirthsExpected && entry.record && !entry.record->born;
        if (isMissing && !entry.isBirthMissing) {
            this->onFault(id, makeError(ErrorCode::BadInput, "born: missing, while other registrations have it", "born"));
        }
        entry.isBirthMissing = isMissing;
    }
}

bool EndpointRegistry::updateEntry(const std::string &id, const Row &row, Entry &entry)
{
    ++this->decodedCount;
    const bool wasNew = entry.version == RowVersion();
    entry.version = row.version;
    Result<EndpointRecord> decoded = this->decoder(id, row.value);
    std::optional<EndpointRecord> record;
    if (decoded) {
        record = std::move(decoded).value();
    } else if (wasNew || entry.record) {
        this->onFault(id, decoded.error());
    }
    const bool hasChanged = record != entry.record;
    entry.record = std::move(record);
    return hasChanged;
}

std::vector<EndpointRecord> EndpointRegistry::records() const
{
    const bool areBirthsExpected = this->hasBirths();
    std::vector<EndpointRecord> all;
    for (const auto &[id, entry] : this->entries) {
        if (entry.record && (entry.record->born || !areBirthsExpected)) {
            all.push_back(*entry.record);
        }
    }
    return all;
}

std::size_t EndpointRegistry::decodedRowCount() const
{
    return this->decodedCount;
}

void EndpointRegistry::clear()
{
    this->entries.clear();
}

} // namespace Tanagertally::Cells
