#include "session/fake_platform.h"

namespace Tanagertally {

PlatformReply FakePlatform::execute(const PlatformRequest &request)
{
    return std::visit([this](const auto &one) { return this->apply(one); }, request);
}

PlatformReply FakePlatform::apply(const TableTransaction &transaction)
{
    ConditionFailed failed;
    for (const RowCondition &condition : transaction.conditions) {
        const auto found = this->table.find(condition.key.value);
        const RowVersion present = found == this->table.end() ? RowVersion() : found->second.version;
        if (present != condition.version) {
            failed.rows.push_back(found == this->table.end() ? TableRow{condition.key, {}, RowVersion()} : found->second);
        }
    }
    if (!failed.rows.empty()) {
        return failed;
    }
    ++this->writeCount;
    Committed committed;
    for (const RowWrite &write : transaction.writes) {
        const RowVersion version(++this->lastVersion);
        committed.rows.push_back(TableRow{write.key, {}, version});
        if (write.value) {
            this->table[write.key.value] = TableRow{write.key, *write.value, version};
        } else {
            this->table.erase(write.key.value);
        }
    }
    return committed;
}

PlatformReply FakePlatform::apply(const TableRead &read)
{
    ++this->readCount;
    RowsRead result;
    for (const RowKey &key : read.keys) {
        const auto found = this->table.find(key.value);
        if (found != this->table.end()) {
            result.rows.push_back(found->second);
        }
    }
    for (const RowKey &prefix : read.prefixes) {
        std::uint32_t count = 0;
        for (auto row = this->table.lower_bound(prefix.value); row != this->table.end() && count < read.limit; ++row, ++count) {
            if (!row->first.starts_with(prefix.value)) {
                break;
            }
            result.rows.push_back(row->second);
        }
    }
    return result;
}

PlatformReply FakePlatform::apply(const ObjectPut &put)
{
    ++this->writeCount;
    this->objects[put.name.value] = put.body;
    return ObjectStored();
}

PlatformReply FakePlatform::apply(const ObjectGet &get)
{
    ++this->readCount;
    const auto found = this->objects.find(get.name.value);
    return ObjectRead{found == this->objects.end() ? std::nullopt : std::optional<std::string>(found->second)};
}

} // namespace Tanagertally
