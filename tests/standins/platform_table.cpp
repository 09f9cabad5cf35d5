#include "platform_table.h"

#include <limits>

namespace Tanagertally::Standins {

Row PlatformTable::rowAt(const std::string &key) const
{
    const auto found = this->cells.find(key);
    if (found == this->cells.end()) {
        return Row{key, std::nullopt, 0};
    }
    return Row{key, found->second.value, found->second.version};
}

TransactionResult PlatformTable::transact(const Transaction &transaction)
{
    const std::lock_guard lock(this->mutex);
    TransactionResult result;
    for (const Condition &condition : transaction.conditions) {
        Row row = this->rowAt(condition.key);
        if (row.version != condition.version) {
            result.rows.push_back(std::move(row));
        }
    }
    if (!result.rows.empty()) {
        this->counts.conflicts++;
        return result;
    }
    for (const Write &write : transaction.writes) {
        const std::uint64_t version = ++this->lastVersion;
        if (write.value) {
            this->cells.insert_or_assign(write.key, Cell{*write.value, version});
        } else {
            this->cells.erase(write.key);
        }
        result.rows.push_back(Row{write.key, std::nullopt, version});
    }
    result.committed = true;
    this->counts.transactions++;
    this->counts.rowsWritten += transaction.writes.size();
    return result;
}

void PlatformTable::appendRows(std::string_view prefix, std::size_t limit, std::vector<Row> &rows) const
{
    std::size_t taken = 0;
    for (auto cell = this->cells.lower_bound(prefix); cell != this->cells.end() && taken < limit; ++cell, ++taken) {
        if (!std::string_view(cell->first).starts_with(prefix)) {
            return;
        }
        rows.push_back(Row{cell->first, cell->second.value, cell->second.version});
    }
}

std::vector<Row> PlatformTable::read(const TableQuery &query)
{
    const std::lock_guard lock(this->mutex);
    std::vector<Row> rows;
    for (const std::string &key : query.keys) {
        Row row = this->rowAt(key);
        if (row.version != 0) {
            rows.push_back(std::move(row));
        }
    }
    for (const std::string &prefix : query.prefixes) {
        this->appendRows(prefix, query.limit, rows);
    }
    this->counts.reads++;
    this->counts.rowsRead += rows.size();
    return rows;
}

std::vector<Row> PlatformTable::dump(std::string_view prefix) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<Row> rows;
    this->appendRows(prefix, std::numeric_limits<std::size_t>::max(), rows);
    return rows;
}

std::size_t PlatformTable::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->cells.size();
}

TableCounters PlatformTable::counters() const
{
    const std::lock_guard lock(this->mutex);
    return this->counts;
}

void PlatformTable::resetCounters()
{
    const std::lock_guard lock(this->mutex);
    this->counts = TableCounters();
}

} // namespace Tanagertally::Standins
