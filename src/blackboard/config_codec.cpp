#include "blackboard/config_codec.h"

#include "blackboard/duration_func.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>
#include <set>

namespace Tanagertally {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t MaxNameLength = 64;
constexpr std::uint64_t MaxConcurrency = 1'000'000;
constexpr std::uint64_t MaxQuota = 10'000'000;
constexpr std::uint64_t MaxTeamWeight = 1'000;
constexpr double MaxPolicyWeight = 1'000.0;
constexpr double MaxEjectedShare = 0.9;
constexpr Duration MaxRunTime = std::chrono::hours(1);
constexpr Duration MaxWait = std::chrono::hours(1);

/** Spelling of an urgency in the configuration document. */
struct UrgencyWord {
    std::string_view word;
    Urgency urgency;
};

constexpr std::array<UrgencyWord, 3> UrgencyWords{{
    {"urgent", Urgency::Urgent},
    {"normal", Urgency::Normal},
    {"bulk", Urgency::Bulk},
}};

/** Reads the members of one JSON object and collects validation errors. On an error, a read function leaves its target unchanged. */
class ObjectReader
{
public:
    ObjectReader(const Json &value, std::string objectPath, std::vector<Error> &found)
        : json(value)
        , path(std::move(objectPath))
        , errors(found)
    {
        if (!this->json.is_object()) {
            this->addError(this->path, "an object");
        }
    }

    /** Reports each member that no call has read as an unknown key. Call it after all reads. */
    void reportUnknownKeys()
    {
        if (!this->json.is_object()) {
            return;
        }
        for (const auto &[key, value] : this->json.items()) {
            if (!this->known.contains(key)) {
                this->errors.push_back(
                    makeError(ErrorCode::BadInput, "unknown key; expected one of " + this->knownKeys(), this->pathOf(key)));
            }
        }
    }

    void readName(const char *key, std::string &target)
    {
        const Json *value = this->member(key);
        if (value == nullptr) {
            this->addError(this->pathOf(key), "a name (it is missing)");
            return;
        }
        if (!value->is_string() || !isValidName(value->get_ref<const std::string &>())) {
            this->addError(this->pathOf(key), "a name of 1 to 64 letters, digits, '-', '_' and '.'");
            return;
        }
        target = value->get<std::string>();
    }

    void readBool(const char *key, bool &target)
    {
        const Json *value = this->member(key);
        if (value == nullptr) {
            return;
        }
        if (!value->is_boolean()) {
            this->addError(this->pathOf(key), "true or false");
            return;
        }
        target = value->get<bool>();
    }

    template<typename Int>
    void readInt(const char *key, Int &target, std::uint64_t low, std::uint64_t high)
    {
        const Json *value = this->member(key);
        if (value == nullptr) {
            return;
        }
        if (!value->is_number_unsigned() || value->get<std::uint64_t>() < low || value->get<std::uint64_t>() > high) {
            this->addError(this->pathOf(key), "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
            return;
        }
        target = static_cast<Int>(value->get<std::uint64_t>());
    }

    void readNumber(const char *key, double &target, double high)
    {
        const Json *value = this->member(key);
        if (value == nullptr) {
            return;
        }
        if (!value->is_number() || !(value->get<double>() >= 0.0) || value->get<double>() > high) {
            this->addError(this->pathOf(key), "a number from 0 to " + Json(high).dump());
            return;
        }
        target = value->get<double>();
    }

    void readDuration(const char *key, Duration &target, Duration low, Duration high)
    {
        const Json *value = this->member(key);
        if (value == nullptr) {
            return;
        }
        const std::string expected = "a duration with a unit from " + durationToText(low) + " to " + durationToText(high);
        if (!value->is_string()) {
            this->addError(this->pathOf(key), expected);
            return;
        }
        const Result<Duration> parsed = durationFromText(value->get_ref<const std::string &>());
        if (!parsed || parsed.value() < low || parsed.value() > high) {
            this->addError(this->pathOf(key), expected);
            return;
        }
        target = parsed.value();
    }

    void readUrgency(const char *key, Urgency &target)
    {
        const Json *value = this->member(key);
        if (value == nullptr) {
            return;
        }
        for (const UrgencyWord &entry : UrgencyWords) {
            if (value->is_string() && value->get_ref<const std::string &>() == entry.word) {
                target = entry.urgency;
                return;
            }
        }
        this->addError(this->pathOf(key), "urgent, normal or bulk");
    }

    /** @return The elements of an array member, each with its JSON path; empty if the member is missing or is not an array. */
    std::vector<std::pair<const Json *, std::string>> readArray(const char *key)
    {
        std::vector<std::pair<const Json *, std::string>> elements;
        const Json *value = this->member(key);
        if (value == nullptr) {
            return elements;
        }
        if (!value->is_array()) {
            this->addError(this->pathOf(key), "a list");
            return elements;
        }
        for (std::size_t index = 0; index < value->size(); ++index) {
            elements.emplace_back(&(*value)[index], this->pathOf(key) + "[" + std::to_string(index) + "]");
        }
        return elements;
    }

    /** Marks a key as known. @return The member, or null if it is missing. */
    const Json *member(const char *key)
    {
        this->known.insert(key);
        if (!this->json.is_object()) {
            return nullptr;
        }
        const auto found = this->json.find(key);
        return found == this->json.end() ? nullptr : &*found;
    }

    std::string pathOf(std::string_view key) const
    {
        return this->path.empty() ? std::string(key) : this->path + "." + std::string(key);
    }

    void addError(const std::string &where, const std::string &expected)
    {
        this->errors.push_back(makeError(ErrorCode::BadInput, "expected " + expected, where));
    }

private:
    static bool isValidName(const std::string &text)
    {
        constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
        return !text.empty() && text.size() <= MaxNameLength && text.find_first_not_of(Allowed) == std::string::npos;
    }

    std::string knownKeys() const
    {
        std::string list;
        for (const std::string &key : this->known) {
            list += list.empty() ? key : ", " + key;
        }
        return list;
    }

    const Json &json; ///< Object to read; may be a value of another type, which the constructor reports.
    std::string path; ///< JSON path of the object; empty for the document itself.
    std::vector<Error> &errors; ///< Receives the errors.
    std::set<std::string> known; ///< Keys that have been read.
};

KindConfig readKind(const Json &json, const std::string &path, std::vector<Error> &errors)
{
    KindConfig kind;
    bool idempotent = false;
    ObjectReader reader(json, path, errors);
    reader.readName("name", kind.name.value);
    reader.readBool("idempotent", idempotent);
    reader.readUrgency("urgency", kind.urgency);
    reader.readDuration("expectedRunTime", kind.expectedRunTime, std::chrono::milliseconds(1), MaxRunTime);
    reader.readInt("concurrencyLimit", kind.concurrencyLimit, 0, MaxConcurrency);
    reader.readBool("hedged", kind.hedged);
    reader.reportUnknownKeys();
    kind.idempotence = idempotent ? Idempotence::Idempotent : Idempotence::NonIdempotent;
    if (kind.hedged && !idempotent) {
        reader.addError(reader.pathOf("hedged"), "false, since the kind is not idempotent");
    }
    return kind;
}

TeamConfig readTeam(const Json &json, const std::string &path, std::vector<Error> &errors)
{
    TeamConfig team;
    ObjectReader reader(json, path, errors);
    reader.readName("name", team.name.value);
    reader.readInt("quota", team.quota, 0, MaxQuota);
    reader.readInt("weight", team.weight, 1, MaxTeamWeight);
    reader.reportUnknownKeys();
    return team;
}

PolicyConfig readPolicy(const Json &json, const std::string &path, std::vector<Error> &errors)
{
    PolicyConfig policy;
    ObjectReader reader(json, path, errors);
    reader.readNumber("responseTimeWeight", policy.responseTimeWeight, MaxPolicyWeight);
    reader.readNumber("wastedMessageWeight", policy.wastedMessageWeight, MaxPolicyWeight);
    reader.readNumber("retryBudget", policy.retryBudget, 1.0);
    reader.readNumber("hedgeBudget", policy.hedgeBudget, 1.0);
    reader.readDuration("maxQueueWait", policy.maxQueueWait, Duration::zero(), MaxWait);
    reader.readNumber("ejectedShare", policy.ejectedShare, MaxEjectedShare);
    reader.reportUnknownKeys();
    return policy;
}

/** Reports each entry that has the name of an earlier entry. */
template<typename Entry>
void checkUnique(const std::vector<Entry> &entries, const std::string &list, std::vector<Error> &errors)
{
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const std::string &name = entries[index].name.value;
        if (!name.empty() && !names.insert(name).second) {
            errors.push_back(makeError(ErrorCode::BadInput, "expected a name that no earlier entry has, found \"" + name + "\"",
                                       list + "[" + std::to_string(index) + "].name"));
        }
    }
}

FleetConfig readConfig(std::string_view text, std::vector<Error> &errors)
{
    FleetConfig config;
    const Json document = Json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        errors.push_back(makeError(ErrorCode::BadInput, "expected a JSON document", "$"));
        return config;
    }
    if (!document.is_object()) {
        errors.push_back(makeError(ErrorCode::BadInput, "expected an object", "$"));
        return config;
    }
    ObjectReader reader(document, "", errors);
    reader.readInt("version", config.version.value, 0, std::numeric_limits<std::int64_t>::max());
    for (const auto &[element, path] : reader.readArray("kinds")) {
        config.kinds.push_back(readKind(*element, path, errors));
    }
    for (const auto &[element, path] : reader.readArray("teams")) {
        config.teams.push_back(readTeam(*element, path, errors));
    }
    if (const Json *policy = reader.member("policy"); policy != nullptr) {
        config.policy = readPolicy(*policy, "policy", errors);
    }
    reader.reportUnknownKeys();
    checkUnique(config.kinds, "kinds", errors);
    checkUnique(config.teams, "teams", errors);
    return config;
}

std::string_view urgencyToWord(Urgency urgency)
{
    for (const UrgencyWord &entry : UrgencyWords) {
        if (entry.urgency == urgency) {
            return entry.word;
        }
    }
    return "normal";
}

Json kindToJson(const KindConfig &kind)
{
    Json json;
    json["name"] = kind.name.value;
    json["idempotent"] = kind.idempotence == Idempotence::Idempotent;
    json["urgency"] = urgencyToWord(kind.urgency);
    json["expectedRunTime"] = durationToText(kind.expectedRunTime);
    json["concurrencyLimit"] = kind.concurrencyLimit;
    json["hedged"] = kind.hedged;
    return json;
}

Json teamToJson(const TeamConfig &team)
{
    Json json;
    json["name"] = team.name.value;
    json["quota"] = team.quota;
    json["weight"] = team.weight;
    return json;
}

Json policyToJson(const PolicyConfig &policy)
{
    Json json;
    json["responseTimeWeight"] = policy.responseTimeWeight;
    json["wastedMessageWeight"] = policy.wastedMessageWeight;
    json["retryBudget"] = policy.retryBudget;
    json["hedgeBudget"] = policy.hedgeBudget;
    json["maxQueueWait"] = durationToText(policy.maxQueueWait);
    json["ejectedShare"] = policy.ejectedShare;
    return json;
}

} // namespace

std::vector<Error> validateFleetConfig(std::string_view text)
{
    std::vector<Error> errors;
    readConfig(text, errors);
    return errors;
}

Result<FleetConfig> fleetConfigFromJson(std::string_view text)
{
    std::vector<Error> errors;
    FleetConfig config = readConfig(text, errors);
    if (!errors.empty()) {
        return errors.front();
    }
    return config;
}

std::string fleetConfigToJson(const FleetConfig &config)
{
    Json document;
    document["version"] = config.version.value;
    document["kinds"] = Json::array();
    for (const KindConfig &kind : config.kinds) {
        document["kinds"].push_back(kindToJson(kind));
    }
    document["teams"] = Json::array();
    for (const TeamConfig &team : config.teams) {
        document["teams"].push_back(teamToJson(team));
    }
    document["policy"] = policyToJson(config.policy);
    return document.dump();
}

} // namespace Tanagertally
