/**
 * The endpoints that registered themselves, decoded from the rows of their table.
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

/** Keeps decoded registrations. Thread safety: none. */
class EndpointRegistry
{
public:
    using Decode = std::function<Result<EndpointRecord>(std::string_view id, std::string_view value)>; ///< Reads one row.
    using NoteFault = std::function<void(const std::string &id, const Error &error)>; ///< Hears of a row that can't be read, once a life.

    /** Make an empty registry. */
    EndpointRegistry(Decode decode, NoteFault noteFault);

    /**
     * Take over the rows of the table, by key.
     * @param lastFailure When the store failed last: rows that lapsed meanwhile may be back a moment later.
     * @return Whether a record changed, came or went.
     */
    bool update(const std::map<std::string, Row> &rows, TimePoint now, TimePoint lastFailure);

    /** @return All records, in the order of their names. */
    std::vector<EndpointRecord> records() const;

    /** @return Rows that were decoded so far. */
    std::size_t decodedRows() const;

    /** Forget everything. */
    void clear();

private:
    /** A row as last seen. */
    struct Entry {
        RowVersion version; ///< Its version.
        std::optional<EndpointRecord> record; ///< What it says; nothing if it can't be read.
    };

    bool decodeRow(const std::string &id, const Row &row, Entry &entry);

    Decode decode; ///< Reads one row.
    NoteFault noteFault; ///< Hears of unreadable rows.
    std::map<std::string, Entry> entries; ///< By key.
    std::size_t decoded = 0; ///< Rows decoded.
};

} // namespace Tanagertally::Cells
