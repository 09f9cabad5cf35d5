/** The platform's transactional table: rows in memory with versions that grow over the whole table. */
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally::Standins {

/** A row. */
struct Row {
    std::string key; ///< Its key.
    std::optional<std::string> value; ///< Its value; unset if there is no such row or the value is left out.
    std::uint64_t version = 0; ///< Its version; 0 if there is no such row.
};

/** Condition of a transaction. */
struct Condition {
    std::string key; ///< Row that it speaks of.
    std::uint64_t version = 0; ///< Version that the row has to have; 0 for no such row.
};

/** A row to write. */
struct Write {
    std::string key; ///< Row to write.
    std::optional<std::string> value; ///< New value; unset to delete.
};

/** A transaction. */
struct Transaction {
    std::vector<Condition> conditions; ///< Conditions, all of which have to hold.
    std::vector<Write> writes; ///< Writes, in order; the last one on a key stands.
};

/** What became of a transaction. */
struct TransactionResult {
    bool committed = false; ///< Whether it took effect.
    std::vector<Row> rows; ///< Rows written with new versions, or the present rows behind the conditions that failed.
};

/** A read. */
struct TableQuery {
    std::vector<std::string> keys; ///< Rows to read.
    std::vector<std::string> prefixes; ///< Prefixes to read the rows of.
    std::size_t limit = 1000; ///< Most rows for each prefix.
};

/** Work that the table has done. */
struct TableCounters {
    std::uint64_t transactions = 0; ///< Transactions that took effect.
    std::uint64_t conflicts = 0; ///< Transactions whose conditions failed.
    std::uint64_t rowsWritten = 0; ///< Rows written or deleted.
    std::uint64_t reads = 0; ///< Reads.
    std::uint64_t rowsRead = 0; ///< Rows returned by reads.
};

/** The table. Thread safety: any thread; every call takes effect at one instant. */
class PlatformTable
{
public:
    /** Carry out a transaction. @return What became of it. */
    TransactionResult transact(const Transaction &transaction);

    /** @return The named rows that exist, then up to the limit of the rows of each prefix in key order. */
    std::vector<Row> read(const TableQuery &query);

    /** @return All rows under a prefix in key order, without counting it as a read. */
    std::vector<Row> dump(std::string_view prefix) const;

    /** @return Number of rows. */
    std::size_t size() const;

    /** @return Work done since the last reset. */
    TableCounters counters() const;

    /** Set the counters to zero; rows stay. */
    void resetCounters();

private:
    /** A row as it is held. */
    struct Cell {
        std::string value; ///< Its value.
        std::uint64_t version = 0; ///< Its version.
    };

    Row rowAt(const std::string &key) const;
    void appendRows(std::string_view prefix, std::size_t limit, std::vector<Row> &rows) const;

    mutable std::mutex mutex; ///< Guards the rest.
    std::map<std::string, Cell, std::less<>> cells; ///< Rows by key.
    std::uint64_t lastVersion = 0; ///< Last version given.
    TableCounters counts; ///< Work done.
};

} // namespace Tanagertally::Standins
