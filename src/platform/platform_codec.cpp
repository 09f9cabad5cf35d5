#include "platform/platform_codec.h"

#include "endpoint/net_address_func.h"
#include "endpoint/percent_func.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <span>

namespace Tanagertally {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr unsigned HttpVersion = 11; ///< HTTP/1.1, as Beast counts.

HttpClientRequest makeRequest(http::verb verb, std::string_view target, const PlatformRequestFields &fields)
{
    HttpClientRequest request(verb, target, HttpVersion);
    request.set(http::field::host, fields.host);
    request.set("Client-Instance", fields.instance);
    return request;
}

/** Make a request with a JSON body. @throws Json::exception if a text in it is not UTF-8. */
HttpClientRequest makeJsonRequest(std::string_view target, const Json &document, const PlatformRequestFields &fields)
{
    HttpClientRequest request = makeRequest(http::verb::post, target, fields);
    request.set(http::field::content_type, "application/json");
    request.body() = std::make_shared<const std::string>(document.dump());
    request.prepare_payload();
    return request;
}

std::string objectTarget(const ObjectName &name)
{
    return "/v1/objects/" + percentEncode(name.value);
}

HttpClientRequest toHttp(const TableTransaction &transaction, const PlatformRequestFields &fields)
{
    Json conditions = Json::array();
    for (const RowCondition &condition : transaction.conditions) {
        conditions.push_back({{"key", condition.key.value}, {"version", condition.version.value}});
    }
    Json writes = Json::array();
    for (const RowWrite &write : transaction.writes) {
        writes.push_back({{"key", write.key.value}, {"value", write.value ? Json(*write.value) : Json()}});
    }
    return makeJsonRequest("/v1/transact", {{"conditions", std::move(conditions)}, {"writes", std::move(writes)}}, fields);
}

HttpClientRequest toHttp(const TableRead &read, const PlatformRequestFields &fields)
{
    Json keys = Json::array();
    for (const RowKey &key : read.keys) {
        keys.push_back(key.value);
    }
    Json prefixes = Json::array();
    for (const RowKey &prefix : read.prefixes) {
        prefixes.push_back(prefix.value);
    }
    return makeJsonRequest("/v1/read", {{"keys", std::move(keys)}, {"prefixes", std::move(prefixes)}, {"limit", read.limit}}, fields);
}

HttpClientRequest toHttp(const ObjectPut &put, const PlatformRequestFields &fields)
{
    HttpClientRequest request = makeRequest(http::verb::put, objectTarget(put.name), fields);
    request.set(http::field::content_type, "application/octet-stream");
    request.body() = std::make_shared<const std::string>(put.body);
    request.prepare_payload();
    return request;
}

HttpClientRequest toHttp(const ObjectGet &get, const PlatformRequestFields &fields)
{
    return makeRequest(http::verb::get, objectTarget(get.name), fields);
}

/** @throws Json::exception unless it is a string. */
const std::string &text(const Json &object, const char *name)
{
    return object.at(name).get_ref<const Json::string_t &>();
}

/** @throws Json::exception unless it is a number without sign or fraction. */
std::uint64_t number(const Json &object, const char *name)
{
    return object.at(name).get_ref<const Json::number_unsigned_t &>();
}

/** @throws Json::exception unless it is an array. */
const Json::array_t &array(const Json &object, const char *name)
{
    return object.at(name).get_ref<const Json::array_t &>();
}

/** Read the rows of an answer; the value of a row is only there if its request asks for it. @throws Json::exception */
std::vector<TableRow> rowsFromJson(std::string_view body, bool withValues)
{
    const Json document = Json::parse(body);
    std::vector<TableRow> rows;
    for (const Json &entry : array(document, "rows")) {
        TableRow &row = rows.emplace_back();
        row.key = RowKey(text(entry, "key"));
        row.version = RowVersion(number(entry, "version"));
        if (withValues && !(row.version == RowVersion() && entry.at("value").is_null())) {
            row.value = text(entry, "value");
        }
    }
    return rows;
}

/** @return Whether a row is among those that exist. */
bool hasRow(std::span<const TableRow> rows, const RowKey &key)
{
    return std::any_of(rows.begin(), rows.end(), [&key](const TableRow &row) { return row.key == key && row.version != RowVersion(); });
}

/** @return Whether the rows are those that a transaction wrote; a deleted row may be left out. */
bool fits(const TableTransaction &transaction, const Committed &committed)
{
    const auto reported = [&committed](const RowWrite &write) { return !write.value || hasRow(committed.rows, write.key); };
    const auto wanted = [&transaction](const TableRow &row) {
        return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                           [&row](const RowWrite &write) { return write.key == row.key; });
    };
    return std::all_of(transaction.writes.begin(), transaction.writes.end(), reported)
           && std::all_of(committed.rows.begin(), committed.rows.end(), wanted);
}

/** @return Whether the rows are some that a transaction has conditions on, at other versions. */
bool fits(const TableTransaction &transaction, const ConditionFailed &failed)
{
    const auto contradicted = [&transaction](const TableRow &row) {
        return std::any_of(transaction.conditions.begin(), transaction.conditions.end(),
                           [&row](const RowCondition &condition) { return condition.key == row.key && condition.version != row.version; });
    };
    return !failed.rows.empty() && std::all_of(failed.rows.begin(), failed.rows.end(), contradicted);
}

bool isWrite(const PlatformRequest &request)
{
    const auto *transaction = std::get_if<TableTransaction>(&request);
    return std::holds_alternative<ObjectPut>(request) || (transaction && !transaction->writes.empty());
}

PlatformUnavailable unexpected(const PlatformRequest &request, const HttpAnswer &answer)
{
    return {isWrite(request), "unexpected status " + std::to_string(answer.result_int())};
}

PlatformUnavailable misfit(const PlatformRequest &request)
{
    return {isWrite(request), "the reply does not fit the request"};
}

/** Read the answer to a transaction. @throws Json::exception */
PlatformReply replyTo(const TableTransaction &transaction, HttpAnswer &answer)
{
    if (answer.result() == http::status::ok) {
        Committed committed{rowsFromJson(answer.body(), false)};
        return fits(transaction, committed) ? PlatformReply(std::move(committed)) : misfit(transaction);
    }
    if (answer.result() == http::status::conflict) {
        ConditionFailed failed{rowsFromJson(answer.body(), true)};
        return fits(transaction, failed) ? PlatformReply(std::move(failed)) : misfit(transaction);
    }
    if (answer.result() == http::status::bad_request) {
        return PlatformUnavailable{false, "refused as malformed: " + answer.body()};
    }
    return unexpected(transaction, answer);
}

/** Read the answer to a read. @throws Json::exception */
PlatformReply replyTo(const TableRead &read, HttpAnswer &answer)
{
    if (answer.result() != http::status::ok) {
        return unexpected(read, answer);
    }
    return RowsRead{rowsFromJson(answer.body(), true)};
}

PlatformReply replyTo(const ObjectPut &put, HttpAnswer &answer)
{
    return answer.result() == http::status::ok ? PlatformReply(ObjectStored{}) : unexpected(put, answer);
}

PlatformReply replyTo(const ObjectGet &get, HttpAnswer &answer)
{
    if (answer.result() == http::status::not_found) {
        return ObjectRead{};
    }
    if (answer.result() != http::status::ok) {
        return unexpected(get, answer);
    }
    return ObjectRead{std::move(answer.body())};
}

/** @throws Json::exception if it is neither live nor leaving. */
ListedState stateFromJson(const Json &entry)
{
    const std::string &state = text(entry, "state");
    if (state != "live" && state != "leaving") {
        throw Json::other_error::create(501, "unknown state '" + state + "'", &entry);
    }
    return state == "live" ? ListedState::Live : ListedState::Leaving;
}

/** @throws Json::exception unless it is an address by number. */
NetAddress addressFromJson(const Json &entry, const char *name)
{
    NetAddress address(text(entry, name));
    if (toSocketAddress(address).has_error()) {
        throw Json::other_error::create(501, "not an address: '" + address.value + "'", &entry);
    }
    return address;
}

/** @throws Json::exception unless it is a string that is not empty. */
std::string nameFromJson(const Json &entry, const char *name)
{
    const std::string &value = text(entry, name);
    if (value.empty()) {
        throw Json::other_error::create(501, std::string("empty ") + name, &entry);
    }
    return value;
}

ListedEndpoint endpointFromJson(const Json &entry)
{
    ListedEndpoint endpoint;
    endpoint.worker = WorkerName(nameFromJson(entry, "worker"));
    endpoint.rack = RackName(text(entry, "rack"));
    endpoint.domain = FailureDomain(nameFromJson(entry, "domain"));
    endpoint.address = addressFromJson(entry, "address");
    endpoint.slots = static_cast<std::uint32_t>(std::min<std::uint64_t>(number(entry, "slots"), UINT32_MAX));
    endpoint.state = stateFromJson(entry);
    return endpoint;
}

ListedInstance instanceFromJson(const Json &entry)
{
    ListedInstance instance;
    instance.name = InstanceName(nameFromJson(entry, "name"));
    instance.domain = FailureDomain(nameFromJson(entry, "domain"));
    instance.peerAddress = addressFromJson(entry, "peerAddress");
    instance.state = stateFromJson(entry);
    return instance;
}

} // namespace

Result<HttpClientRequest> makePlatformRequest(const PlatformRequest &request, const PlatformRequestFields &fields)
{
    try {
        return std::visit([&fields](const auto &typed) { return toHttp(typed, fields); }, request);
    } catch (const Json::exception &error) {
        return makeError(ErrorCode::BadInput, error.what());
    }
}

HttpClientRequest makeInstancesRequest(const PlatformRequestFields &fields)
{
    return makeRequest(http::verb::get, "/v1/instances", fields);
}

PlatformReply toPlatformReply(const PlatformRequest &request, HttpResult result)
{
    if (result.delivery != Delivery::Answered) {
        const bool mayHaveTakenEffect = result.delivery == Delivery::Lost && isWrite(request);
        return PlatformUnavailable{mayHaveTakenEffect, std::move(result.error)};
    }
    if (result.answer.result() == http::status::service_unavailable) {
        return PlatformUnavailable{false, "refused"};
    }
    try {
        return std::visit([&result](const auto &typed) { return replyTo(typed, result.answer); }, request);
    } catch (const Json::exception &error) {
        return PlatformUnavailable{isWrite(request), error.what()};
    }
}

Result<InstanceList> instanceListFromJson(std::string_view json)
{
    try {
        const Json document = Json::parse(json);
        InstanceList list;
        for (const Json &entry : array(document, "endpoints")) {
            list.endpoints.push_back(endpointFromJson(entry));
        }
        for (const Json &entry : array(document, "instances")) {
            list.instances.push_back(instanceFromJson(entry));
        }
        return list;
    } catch (const Json::exception &error) {
        return makeError(ErrorCode::BadInput, error.what());
    }
}

} // namespace Tanagertally
