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

constexpr unsigned HttpVersion = 11; ///< HTTP/1.1 in Beast's notation.

HttpClientRequest makeRequest(http::verb verb, std::string_view target, const PlatformRequestFields &fields)
{
    HttpClientRequest request(verb, target, HttpVersion);
    request.set(http::field::host, fields.host);
    request.set("Client-Instance", fields.instance);
    return request;
}

/** Make a request with a JSON body. @throws Json::exception if a string in the document is not UTF-8. */
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

HttpClientRequest toHttpRequest(const TableTransaction &transaction, const PlatformRequestFields &fields)
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

HttpClientRequest toHttpRequest(const TableRead &read, const PlatformRequestFields &fields)
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

HttpClientRequest toHttpRequest(const ObjectPut &put, const PlatformRequestFields &fields)
{
    HttpClientRequest request = makeRequest(http::verb::put, objectTarget(put.name), fields);
    request.set(http::field::content_type, "application/octet-stream");
    request.body() = std::make_shared<const std::string>(put.body);
    request.prepare_payload();
    return request;
}

HttpClientRequest toHttpRequest(const ObjectGet &get, const PlatformRequestFields &fields)
{
    return makeRequest(http::verb::get, objectTarget(get.name), fields);
}

/** @return The string in a field. @throws Json::exception if the field is missing or not a string. */
const std::string &stringField(const Json &object, const char *name)
{
    return object.at(name).get_ref<const Json::string_t &>();
}

/** @return The number in a field. @throws Json::exception if the field is missing or not an unsigned integer. */
std::uint64_t unsignedField(const Json &object, const char *name)
{
    return object.at(name).get_ref<const Json::number_unsigned_t &>();
}

/** @return The array in a field. @throws Json::exception if the field is missing or not an array. */
const Json::array_t &arrayField(const Json &object, const char *name)
{
    return object.at(name).get_ref<const Json::array_t &>();
}

/**
 * Parse the rows in the body of a response.
 * @param withValues Whether the rows have a field `value`; it may be null in a row of version 0, which does not exist.
 * @throws Json::exception if the body is malformed.
 */
std::vector<TableRow> rowsFromJson(std::string_view body, bool withValues)
{
    const Json document = Json::parse(body);
    std::vector<TableRow> rows;
    for (const Json &entry : arrayField(document, "rows")) {
        TableRow &row = rows.emplace_back();
        row.key = RowKey(stringField(entry, "key"));
        row.version = RowVersion(unsignedField(entry, "version"));
        if (withValues && !(row.version == RowVersion() && entry.at("value").is_null())) {
            row.value = stringField(entry, "value");
        }
    }
    return rows;
}

/** @return Whether the rows contain an existing row with this key; version 0 denotes a row that does not exist. */
bool hasRow(std::span<const TableRow> rows, const RowKey &key)
{
    return std::any_of(rows.begin(), rows.end(), [&key](const TableRow &row) { return row.key == key && row.version != RowVersion(); });
}

/** @return Whether the committed rows are those that the transaction writes; a deleted row may be missing. */
bool matchesTransaction(const TableTransaction &transaction, const Committed &committed)
{
    const auto isReported = [&committed](const RowWrite &write) { return !write.value || hasRow(committed.rows, write.key); };
    const auto isWritten = [&transaction](const TableRow &row) {
        return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                           [&row](const RowWrite &write) { return write.key == row.key; });
    };
    return std::all_of(transaction.writes.begin(), transaction.writes.end(), isReported)
           && std::all_of(committed.rows.begin(), committed.rows.end(), isWritten);
}

/** @return Whether the rows are not empty and each has a version that contradicts a condition of the transaction. */
bool matchesTransaction(const TableTransaction &transaction, const ConditionFailed &failed)
{
    const auto isContradicted = [&transaction](const TableRow &row) {
        return std::any_of(transaction.conditions.begin(), transaction.conditions.end(),
                           [&row](const RowCondition &condition) { return condition.key == row.key && condition.version != row.version; });
    };
    return !failed.rows.empty() && std::all_of(failed.rows.begin(), failed.rows.end(), isContradicted);
}

bool isWrite(const PlatformRequest &request)
{
    const auto *transaction = std::get_if<TableTransaction>(&request);
    return std::holds_alternative<ObjectPut>(request) || (transaction && !transaction->writes.empty());
}

PlatformUnavailable unexpectedStatus(const PlatformRequest &request, const HttpResponse &response)
{
    return {isWrite(request), "unexpected status " + std::to_string(response.result_int())};
}

PlatformUnavailable mismatch(const PlatformRequest &request)
{
    return {isWrite(request), "the reply does not fit the request"};
}

/** Decode the response to a transaction. @throws Json::exception if its body is malformed. */
PlatformReply decodeReply(const TableTransaction &transaction, HttpResponse &response)
{
    if (response.result() == http::status::ok) {
        Committed committed{rowsFromJson(response.body(), false)};
        return matchesTransaction(transaction, committed) ? PlatformReply(std::move(committed)) : mismatch(transaction);
    }
    if (response.result() == http::status::conflict) {
        ConditionFailed failed{rowsFromJson(response.body(), true)};
        return matchesTransaction(transaction, failed) ? PlatformReply(std::move(failed)) : mismatch(transaction);
    }
    if (response.result() == http::status::bad_request) {
        return PlatformUnavailable{false, "refused as malformed: " + response.body()};
    }
    return unexpectedStatus(transaction, response);
}

/** Decode the response to a table read. @throws Json::exception if its body is malformed. */
PlatformReply decodeReply(const TableRead &read, HttpResponse &response)
{
    if (response.result() != http::status::ok) {
        return unexpectedStatus(read, response);
    }
    return RowsRead{rowsFromJson(response.body(), true)};
}

PlatformReply decodeReply(const ObjectPut &put, HttpResponse &response)
{
    return response.result() == http::status::ok ? PlatformReply(ObjectStored{}) : unexpectedStatus(put, response);
}

PlatformReply decodeReply(const ObjectGet &get, HttpResponse &response)
{
    if (response.result() == http::status::not_found) {
        return ObjectRead{};
    }
    if (response.result() != http::status::ok) {
        return unexpectedStatus(get, response);
    }
    return ObjectRead{std::move(response.body())};
}

/** @return The state of an entry. @throws Json::exception if it is neither "live" nor "leaving"; the id 501 has no meaning here. */
ListedState stateFromJson(const Json &entry)
{
    const std::string &state = stringField(entry, "state");
    if (state != "live" && state != "leaving") {
        throw Json::other_error::create(501, "unknown state '" + state + "', expected live or leaving", &entry);
    }
    return state == "live" ? ListedState::Live : ListedState::Leaving;
}

/** @return The address in a field. @throws Json::exception unless it is a string of the form IP:port; the id 501 has no meaning here. */
NetAddress addressFromJson(const Json &entry, const char *name)
{
    NetAddress address(stringField(entry, name));
    if (toSocketAddress(address).has_error()) {
        throw Json::other_error::create(501, "not an address of the form IP:port: '" + address.value + "'", &entry);
    }
    return address;
}

/** @return The name in a field. @throws Json::exception unless it is a non-empty string; the id 501 has no meaning here. */
std::string nameFromJson(const Json &entry, const char *name)
{
    const std::string &value = stringField(entry, name);
    if (value.empty()) {
        throw Json::other_error::create(501, std::string("expected a non-empty string in the field ") + name, &entry);
    }
    return value;
}

ListedEndpoint endpointFromJson(const Json &entry)
{
    ListedEndpoint endpoint;
    endpoint.worker = WorkerName(nameFromJson(entry, "worker"));
    endpoint.rack = RackName(stringField(entry, "rack"));
    endpoint.domain = FailureDomain(nameFromJson(entry, "domain"));
    endpoint.address = addressFromJson(entry, "address");
    endpoint.slots = static_cast<std::uint32_t>(std::min<std::uint64_t>(unsignedField(entry, "slots"), UINT32_MAX));
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
        return std::visit([&fields](const auto &typed) { return toHttpRequest(typed, fields); }, request);
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
        return std::visit([&result](const auto &typed) { return decodeReply(typed, result.answer); }, request);
    } catch (const Json::exception &error) {
        return PlatformUnavailable{isWrite(request), error.what()};
    }
}

Result<InstanceList> instanceListFromJson(std::string_view json)
{
    try {
        const Json document = Json::parse(json);
        InstanceList list;
        for (const Json &entry : arrayField(document, "endpoints")) {
            list.endpoints.push_back(endpointFromJson(entry));
        }
        for (const Json &entry : arrayField(document, "instances")) {
            list.instances.push_back(instanceFromJson(entry));
        }
        return list;
    } catch (const Json::exception &error) {
        return makeError(ErrorCode::BadInput, error.what());
    }
}

} // namespace Tanagertally
