#include "platform_codec.h"

#include "json_reader.h"

#include <boost/outcome/try.hpp>
#include <charconv>

namespace Tanagertally::Standins {

namespace {

std::string_view stateName(bool leaving)
{
    return leaving ? "leaving" : "live";
}

Result<Condition> readCondition(JsonReader &reader)
{
    Condition condition;
    condition.key = reader.text("key");
    const std::optional<std::uint64_t> version = reader.count("version");
    if (!version) {
        reader.fail("version", "a whole number from 0");
    }
    condition.version = version.value_or(0);
    BOOST_OUTCOME_TRY(reader.finish());
    return condition;
}

Result<Write> readWrite(JsonReader &reader)
{
    Write write;
    write.key = reader.text("key");
    const std::optional<std::optional<std::string>> value = reader.nullableText("value");
    if (!value) {
        reader.fail("value", "a text or null");
    }
    write.value = value.value_or(std::nullopt);
    BOOST_OUTCOME_TRY(reader.finish());
    return write;
}

} // namespace

Result<Transaction> readTransaction(std::string_view body)
{
    BOOST_OUTCOME_TRY(JsonReader reader, JsonReader::create(body));
    Transaction transaction;
    std::vector<JsonReader> conditions = reader.objects("conditions");
    std::vector<JsonReader> writes = reader.objects("writes");
    BOOST_OUTCOME_TRY(reader.finish());
    for (JsonReader &condition : conditions) {
        BOOST_OUTCOME_TRY(Condition read, readCondition(condition));
        transaction.conditions.push_back(std::move(read));
    }
    for (JsonReader &write : writes) {
        BOOST_OUTCOME_TRY(Write read, readWrite(write));
        transaction.writes.push_back(std::move(read));
    }
    return transaction;
}

Result<TableQuery> readQuery(std::string_view body)
{
    BOOST_OUTCOME_TRY(JsonReader reader, JsonReader::create(body));
    TableQuery query;
    query.keys = reader.texts("keys");
    query.prefixes = reader.texts("prefixes");
    query.limit = reader.count("limit").value_or(query.limit);
    BOOST_OUTCOME_TRY(reader.finish());
    return query;
}

nlohmann::json rowsToJson(const std::vector<Row> &rows, RowValues values)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Row &row : rows) {
        nlohmann::json entry{{"key", row.key}, {"version", row.version}};
        if (values == RowValues::Included) {
            entry["value"] = row.value ? nlohmann::json(*row.value) : nlohmann::json(nullptr);
        }
        list.push_back(std::move(entry));
    }
    return nlohmann::json{{"rows", std::move(list)}};
}

nlohmann::json membersToJson(const MemberList &members)
{
    nlohmann::json endpoints = nlohmann::json::array();
    for (const auto &[worker, entry] : members.endpoints) {
        endpoints.push_back({{"worker", entry.worker},
                             {"rack", entry.rack},
                             {"domain", entry.domain},
                             {"address", entry.address},
                             {"slots", entry.slots},
                             {"state", stateName(entry.leaving)}});
    }
    nlohmann::json instances = nlohmann::json::array();
    for (const auto &[name, entry] : members.instances) {
        instances.push_back(
            {{"name", entry.name}, {"domain", entry.domain}, {"peerAddress", entry.peerAddress}, {"state", stateName(entry.leaving)}});
    }
    return nlohmann::json{{"endpoints", std::move(endpoints)}, {"instances", std::move(instances)}};
}

Result<std::string> decodePercent(std::string_view text)
{
    constexpr std::size_t EscapeLength = 3;
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            decoded.push_back(text[at]);
            continue;
        }
        unsigned code = 0;
        const std::string_view digits = text.substr(at + 1, EscapeLength - 1);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
        if (digits.size() != EscapeLength - 1 || error != std::errc() || end != digits.data() + digits.size()) {
            return makeError(ErrorCode::BadInput, "malformed percent escape", std::string(text));
        }
        decoded.push_back(static_cast<char>(code));
        at += EscapeLength - 1;
    }
    return decoded;
}

} // namespace Tanagertally::Standins
