/**
 * Registrations of endpoints, decoded from the rows of their table.
 *
 * Load pattern: each endpoint rewrites its row every 1.5 s, and most writes change nothing but a sequence number. At 3,000 endpoints that
 * is 2,000 rows a second; only rows with a new version are decoded, and only changed records are passed on.
 */
#pragma once

#include "cells/fleet_type.h"
#include "cells/store_type.h"
#include "core/result_type.h"

#include <functional>
#include <map>

namespace Tanagertally::Cells {

/** Caches decoded registrations. Thread safety: none. */
class EndpointRegistry
{
public:
    using RowDecoder = std::function<Result<EndpointRecord>(std::string_view id, std::string_view value)>; ///< Decodes one row.

    /** Reports an undecodable row; called when the row turns undecodable, not for its later versions. */
    using FaultHandler = std::function<void(const std::string &id, const Error &error)>;

    EndpointRegistry(RowDecoder decoder, FaultHandler onFault);

    /**
     * Update the records from all current rows of the table, by key.
     * @param lastFailureAt Time of the last failed store call. Rows of live endpoints may lapse during an outage and reappear about 2 s
     * after it, so records whose row is missing are kept for a grace period after this time, unless they are draining.
     * @return Whether a record was added, changed or removed.
     */
    bool update(const std::map<std::string, Row> &rows, TimePoint now, TimePoint lastFailureAt);

    /** @return All records, sorted by row key. If any endpoint reports its birth, those without one are left out as malformed. */
    std::vector<EndpointRecord> records() const;

    /** @return Number of rows decoded since construction. */
    std::size_t decodedRowCount() const;

    /** Remove all records. */
    void clear();

private:
    /** Last version seen of a row. */
    struct Entry {
        RowVersion version;
        std::optional<EndpointRecord> record; ///< Decoded row; nothing if it can't be decoded.
        bool isBirthMissing = false; ///< Whether the row was reported as one without a birth among others with one.
    };

    bool hasBirths() const;
    void reportMissingBirths();
    bool updateEntry(const std::string &id, const Row &row, Entry &entry);

    RowDecoder decoder;
    FaultHandler onFault;
    std::map<std::string, Entry> entries; ///< By row key.
    std::size_t decodedCount = 0; ///< See decodedRowCount().
};

} // namespace Tanagertally::Cells
