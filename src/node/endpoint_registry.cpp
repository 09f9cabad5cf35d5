#include "node/endpoint_registry.h"

namespace Tanagertally::Cells {

namespace {

constexpr Duration LapseGrace = std::chrono::milliseconds(2300); // Live endpoints are back about 2 s after the store.

} // namespace

EndpointRegistry::EndpointRegistry(Decode rowDecode, NoteFault faultHandler)
    : decode(std::move(rowDecode))
    , noteFault(std::move(faultHandler))
{
}

bool EndpointRegistry::update(const std::map<std::string, Row> &rows, TimePoint now, TimePoint lastFailure)
{
    const bool mayHaveLapsed = now < lastFailure + LapseGrace;
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
            hasChanged = this->decodeRow(id, row, found->second) || hasChanged;
        }
    }
    return hasChanged;
}

bool EndpointRegistry::decodeRow(const std::string &id, const Row &row, Entry &entry)
{
    ++this->decoded;
    const bool wasNew = entry.version == RowVersion();
    entry.version = row.version;
    Result<EndpointRecord> read = this->decode(id, row.value);
    std::optional<EndpointRecord> record;
    if (read) {
        record = std::move(read).value();
    } else if (wasNew || entry.record) {
        this->noteFault(id, read.error());
    }
    const bool hasChanged = record != entry.record;
    entry.record = std::move(record);
    return hasChanged;
}

std::vector<EndpointRecord> EndpointRegistry::records() const
{
    std::vector<EndpointRecord> all;
    for (const auto &[id, entry] : this->entries) {
        if (entry.record) {
            all.push_back(*entry.record);
        }
    }
    return all;
}

std::size_t EndpointRegistry::decodedRows() const
{
    return this->decoded;
}

void EndpointRegistry::clear()
{
    this->entries.clear();
}

} // namespace Tanagertally::Cells
