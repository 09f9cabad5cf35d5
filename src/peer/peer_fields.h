/**
 * Lists the fields of every peer message and of the types inside them, in encoding order.
 *
 * visitFields(fields, value) calls fields(name, member) for each member. Vectors are passed with their Bounds and payloads with their
 * Presence. The structured bindings make a new member a compile error here until it is listed.
 * New members must be appended at the end; see the compatibility rule in docs/PEERS.md.
 */
#pragma once

#include "controllers/peer_message_type.h"

#include <concepts>
#include <cstddef>
#include <type_traits>

namespace Tanagertally::PeerFields {

/** Accepted number of elements of an array; both limits are inclusive. */
struct Bounds {
    std::size_t minSize = 0;
    std::size_t maxSize = 0;
};

/** Whether a payload may be null. */
enum class Presence : std::uint8_t {
    Required, ///< Null is rejected.
    Optional, ///< Null is accepted.
};

constexpr Bounds TaskBounds = {1, 1'000};
constexpr Bounds AnswerBounds = {0, 1'000};
constexpr Bounds KeyBounds = {0, 10'000};
constexpr Bounds TeamBounds = {0, 10'000};
constexpr Bounds KindBounds = {0, 10'000};
constexpr Bounds DomainBounds = {0, 1'000};
constexpr Bounds EndpointBounds = {0, 10'000};

/** Last enumerator of an enumeration whose values are contiguous from 0. */
template<typename Enumeration>
inline constexpr Enumeration LastEnumerator = Enumeration{};
template<>
inline constexpr Idempotence LastEnumerator<Idempotence> = Idempotence::Idempotent;
template<>
inline constexpr Urgency LastEnumerator<Urgency> = Urgency::Bulk;
template<>
inline constexpr SubmitMode LastEnumerator<SubmitMode> = SubmitMode::Later;
template<>
inline constexpr JobOutcome LastEnumerator<JobOutcome> = JobOutcome::Failed;
template<>
inline constexpr JobState LastEnumerator<JobState> = JobState::Closed;
template<>
inline constexpr Verdict LastEnumerator<Verdict> = Verdict::Ran;
template<>
inline constexpr ErrorCode LastEnumerator<ErrorCode> = ErrorCode::Internal;

/** Satisfied if M is T or const T. */
template<typename M, typename T>
concept SameOrConst = std::same_as<std::remove_const_t<M>, T>;

template<typename Fields, SameOrConst<InstanceIdentity> M>
void visitFields(Fields &fields, M &value)
{
    auto &[name, domain, peerAddress, incarnation] = value;
    fields("name", name);
    fields("domain", domain);
    fields("peerAddress", peerAddress);
    fields("incarnation", incarnation);
}

template<typename Fields, SameOrConst<Hello> M>
void visitFields(Fields &fields, M &value)
{
    auto &[protocol, identity] = value;
    fields("protocol", protocol);
    fields("identity", identity);
}

template<typename Fields, SameOrConst<TeamUsage> M>
void visitFields(Fields &fields, M &value)
{
    auto &[team, running] = value;
    fields("team", team);
    fields("running", running);
}

template<typename Fields, SameOrConst<std::pair<FailureDomain, ConfigVersion>> M>
void visitFields(Fields &fields, M &value)
{
    auto &[domain, version] = value;
    fields("domain", domain);
    fields("version", version);
}

template<typename Fields, SameOrConst<Heartbeat> M>
void visitFields(Fields &fields, M &value)
{
    auto &[stopping, configInForce, queued, freeSlots, usage, domainConfig] = value;
    fields("stopping", stopping);
    fields("configInForce", configInForce);
    fields("queued", queued);
    fields("freeSlots", freeSlots);
    fields("usage", usage, TeamBounds);
    fields("domainConfig", domainConfig, DomainBounds);
}

template<typename Fields, SameOrConst<TaskSpec> M>
void visitFields(Fields &fields, M &value)
{
    auto &[kind, payload, declaredRunTime] = value;
    fields("kind", kind);
    fields("payload", payload, Presence::Required);
    fields("declaredRunTime", declaredRunTime);
}

template<typename Fields, SameOrConst<JobSpec> M>
void visitFields(Fields &fields, M &value)
{
    auto &[tasks, timeout, mode] = value;
    fields("tasks", tasks, TaskBounds);
    fields("timeout", timeout);
    fields("mode", mode);
}

template<typename Fields, SameOrConst<ForwardedSubmit> M>
void visitFields(Fields &fields, M &value)
{
    auto &[id, team, key, job] = value;
    fields("id", id);
    fields("team", team);
    fields("key", key);
    fields("job", job);
}

template<typename Fields, SameOrConst<ForwardedFetch> M>
void visitFields(Fields &fields, M &value)
{
    auto &[id, team, key, wait] = value;
    fields("id", id);
    fields("team", team);
    fields("key", key);
    fields("wait", wait);
}

template<typename Fields, SameOrConst<ForwardedCancel> M>
void visitFields(Fields &fields, M &value)
{
    auto &[id, team, key] = value;
    fields("id", id);
    fields("team", team);
    fields("key", key);
}

template<typename Fields, SameOrConst<KeysIssued> M>
void visitFields(Fields &fields, M &value)
{
    auto &[keys, validFor] = value;
    fields("keys", keys, KeyBounds);
    fields("validFor", validFor);
}

template<typename Fields, SameOrConst<JobAccepted> M>
void visitFields(Fields &fields, M &value)
{
    auto &[key] = value;
    fields("key", key);
}

template<typename Fields, SameOrConst<JobStatus> M>
void visitFields(Fields &fields, M &value)
{
    auto &[key, state, tasks, started, finished] = value;
    fields("key", key);
    fields("state", state);
    fields("tasks", tasks);
    fields("started", started);
    fields("finished", finished);
}

template<typename Fields, SameOrConst<TaskAnswer> M>
void visitFields(Fields &fields, M &value)
{
    auto &[verdict, succeeded, output, error] = value;
    fields("verdict", verdict);
    fields("succeeded", succeeded);
    fields("output", output, Presence::Optional);
    fields("error", error);
}

template<typename Fields, SameOrConst<JobAnswer> M>
void visitFields(Fields &fields, M &value)
{
    auto &[key, outcome, reason, message, tasks] = value;
    fields("key", key);
    fields("outcome", outcome);
    fields("reason", reason);
    fields("message", message);
    fields("tasks", tasks, AnswerBounds);
}

template<typename Fields, SameOrConst<Error> M>
void visitFields(Fields &fields, M &value)
{
    auto &[code, message, field] = value;
    fields("code", code);
    fields("message", message);
    fields("field", field);
}

template<typename Fields, SameOrConst<Refusal> M>
void visitFields(Fields &fields, M &value)
{
    auto &[error, verdict, retryAfter] = value;
    fields("error", error);
    fields("verdict", verdict);
    fields("retryAfter", retryAfter);
}

template<typename Fields, SameOrConst<ForwardedReply> M>
void visitFields(Fields &fields, M &value)
{
    auto &[id, reply] = value;
    fields("id", id);
    fields("reply", reply);
}

template<typename Fields, SameOrConst<KindConfig> M>
void visitFields(Fields &fields, M &value)
{
    auto &[name, idempotence, urgency, expectedRunTime, concurrencyLimit, hedged] = value;
    fields("name", name);
    fields("idempotence", idempotence);
    fields("urgency", urgency);
    fields("expectedRunTime", expectedRunTime);
    fields("concurrencyLimit", concurrencyLimit);
    fields("hedged", hedged);
}

template<typename Fields, SameOrConst<TeamConfig> M>
void visitFields(Fields &fields, M &value)
{
    auto &[name, quota, weight] = value;
    fields("name", name);
    fields("quota", quota);
    fields("weight", weight);
}

template<typename Fields, SameOrConst<PolicyConfig> M>
void visitFields(Fields &fields, M &value)
{
    auto &[responseTimeWeight, wastedMessageWeight, retryBudget, hedgeBudget, maxQueueWait, ejectedShare] = value;
    fields("responseTimeWeight", responseTimeWeight);
    fields("wastedMessageWeight", wastedMessageWeight);
    fields("retryBudget", retryBudget);
    fields("hedgeBudget", hedgeBudget);
    fields("maxQueueWait", maxQueueWait);
    fields("ejectedShare", ejectedShare);
}

template<typename Fields, SameOrConst<FleetConfig> M>
void visitFields(Fields &fields, M &value)
{
    auto &[version, kinds, teams, policy] = value;
    fields("version", version);
    fields("kinds", kinds, KindBounds);
    fields("teams", teams, TeamBounds);
    fields("policy", policy);
}

template<typename Fields, SameOrConst<ConfigUpdate> M>
void visitFields(Fields &fields, M &value)
{
    auto &[config] = value;
    fields("config", config);
}

template<typename Fields, SameOrConst<DrainNotice> M>
void visitFields(Fields &fields, M &value)
{
    auto &[worker, draining, sequence] = value;
    fields("worker", worker);
    fields("draining", draining);
    fields("sequence", sequence);
}

template<typename Fields, SameOrConst<SlotRequest> M>
void visitFields(Fields &fields, M &value)
{
    auto &[slots] = value;
    fields("slots", slots);
}

template<typename Fields, SameOrConst<SlotCount> M>
void visitFields(Fields &fields, M &value)
{
    auto &[worker, slots] = value;
    fields("worker", worker);
    fields("slots", slots);
}

template<typename Fields, SameOrConst<SlotGrant> M>
void visitFields(Fields &fields, M &value)
{
    auto &[lease, validFor, slots] = value;
    fields("lease", lease);
    fields("validFor", validFor);
    fields("slots", slots, EndpointBounds);
}

template<typename Fields, SameOrConst<SlotReturn> M>
void visitFields(Fields &fields, M &value)
{
    auto &[lease, slots] = value;
    fields("lease", lease);
    fields("slots", slots, EndpointBounds);
}

template<typename Fields, SameOrConst<ForwardedStatement> M>
void visitFields(Fields &fields, M &value)
{
    auto &[id, text] = value;
    fields("id", id);
    fields("text", text);
}

template<typename Fields, SameOrConst<QueryRows> M>
void visitFields(Fields &fields, M &value)
{
    auto &[id, json] = value;
    fields("id", id);
    fields("json", json);
}

} // namespace Tanagertally::PeerFields
