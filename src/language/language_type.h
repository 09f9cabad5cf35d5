/** Statements of the operators' language as typed values; docs/LANGUAGE.md has the grammar. */
#pragma once

#include "blackboard/id_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Tanagertally {

using RefusalId = StrongInt<struct RefusalIdTag>; ///< Identifies a refusal.

/** Kind of rows that a query selects. */
enum class Subject : std::uint8_t {
    Jobs, ///< Jobs held by an instance.
    Tasks, ///< Tasks of those jobs.
    Endpoints, ///< Endpoints known to an instance.
    Instances, ///< Entry instances.
    Domains, ///< Failure domains.
    Teams, ///< Teams that callers belong to.
    Config, ///< Versions of the fleet configuration.
    Audit, ///< Entries of the audit trail.
    Refusals, ///< Recent refusals.
};

/** Identifies a field of a row. A field has the same name and type in all subjects. */
enum class Field : std::uint8_t {
    Address,
    Age,
    Attempts,
    By, ///< Author of a change; in the trail of an explained job, endpoint or refusal: the instance that recorded the entry.
    Code,
    Config,
    Domain,
    Endpoints,
    Failures, ///< Number of consecutive failures of an endpoint.
    Finished, ///< Number of the job's tasks that have ended.
    Free,
    Home, ///< Name of the entry instance that holds the job.
    Id,
    ProcessIncarnation,
    Index, ///< Position of a task in its job, or of an entry in the audit trail; from 0.
    Instances,
    Job,
    Key,
    Kind,
    Latency,
    Message,
    Mode,
    Name,
    Outcome,
    Queued,
    Quota,
    Rack,
    Reason,
    RunTime,
    Running,
    Silence,
    Slots,
    Started, ///< Number of the job's tasks that are running or have ended.
    State,
    Tasks,
    Team,
    Text,
    Timeout,
    RunVerdict,
    Version,
    Weight,
    Worker,
};

/** Type of the values of a field. */
enum class FieldType : std::uint8_t {
    Text, ///< Arbitrary text.
    Name, ///< Enumeration: one of the words that the field allows. Has no order.
    Number, ///< Decimal number.
    TimeSpan, ///< Duration.
};

/** Value of a field; std::monostate where a row has none. Fields of types Text and Name hold a std::string. */
using Value = std::variant<std::monostate, std::string, double, Duration>;

/** Operator that compares a field with a value. */
enum class Comparator : std::uint8_t {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
};

struct Condition;

/** Compares a field with a value of the field's type. */
struct Comparison {
    Field field = Field::Key; ///< Field on the left side.
    Comparator comparator = Comparator::Equal;
    Value value; ///< Value on the right side; never std::monostate.
    friend bool operator==(const Comparison &, const Comparison &) = default;
};

/** Conjunction: holds if all operands hold. */
struct AllOf {
    std::vector<Condition> parts; ///< At least two operands.
    friend bool operator==(const AllOf &, const AllOf &) = default;
};

/** Disjunction: holds if any operand holds. */
struct AnyOf {
    std::vector<Condition> parts; ///< At least two operands.
    friend bool operator==(const AnyOf &, const AnyOf &) = default;
};

/** Negation: holds if its operand does not hold. */
struct Negation {
    std::vector<Condition> part; ///< Exactly one operand; a vector because the type is recursive.
    friend bool operator==(const Negation &, const Negation &) = default;
};

/** Boolean expression over the fields of a row. */
struct Condition {
    std::variant<Comparison, AllOf, AnyOf, Negation> node; ///< Root of the expression tree.
    friend bool operator==(const Condition &, const Condition &) = default;
};

/** Sort order of rows. */
struct Ordering {
    Field field = Field::Key; ///< Field to sort by.
    bool isDescending = false; ///< Whether the largest value comes first.
    friend bool operator==(const Ordering &, const Ordering &) = default;
};

/** show SUBJECT ... */
struct ShowRows {
    Subject subject = Subject::Jobs; ///< Subject of the rows.
    std::optional<Condition> where; ///< Selects rows; all rows if unset.
    std::optional<Ordering> order; ///< Sort order; if unset, rows keep the order of their source.
    std::optional<std::uint32_t> limit; ///< Maximum number of rows, at least 1; unlimited if unset.
    friend bool operator==(const ShowRows &, const ShowRows &) = default;
};

/** show count of SUBJECT ... */
struct ShowCount {
    Subject subject = Subject::Jobs; ///< Subject of the rows to count.
    std::optional<Condition> where; ///< Selects rows; all rows if unset.
    friend bool operator==(const ShowCount &, const ShowCount &) = default;
};

/** explain job KEY */
struct ExplainJob {
    JobKey key;
    friend bool operator==(const ExplainJob &, const ExplainJob &) = default;
};

/** explain endpoint WORKER */
struct ExplainEndpoint {
    WorkerName worker; ///< Name of the endpoint's worker.
    friend bool operator==(const ExplainEndpoint &, const ExplainEndpoint &) = default;
};

/** explain refusal ID */
struct ExplainRefusal {
    RefusalId id;
    friend bool operator==(const ExplainRefusal &, const ExplainRefusal &) = default;
};

/** cancel job KEY */
struct CancelJob {
    JobKey key;
    friend bool operator==(const CancelJob &, const CancelJob &) = default;
};

/** cancel jobs where ... */
struct CancelJobs {
    Condition where; ///< Selects the jobs to cancel.
    friend bool operator==(const CancelJobs &, const CancelJobs &) = default;
};

/** Target of a drain: the endpoint of a worker, all endpoints of a rack, an entry instance, or a failure domain. */
using DrainTarget = std::variant<WorkerName, RackName, InstanceName, FailureDomain>;

/** drain TARGET NAME, or undrain TARGET NAME */
struct Drain {
    DrainTarget target; ///< Target to drain or to put back in service.
    bool isUndrain = false; ///< Whether the command is "undrain", which puts the target back in service.
    std::optional<ConfigVersion> ifVersion; ///< If set, the command applies only while this version is in force.
    friend bool operator==(const Drain &, const Drain &) = default;
};

/** set limit kind KIND concurrency N */
struct SetLimit {
    KindName kind; ///< Kind of request that the limit applies to.
    std::uint32_t concurrency = 0; ///< Maximum number of concurrently running tasks per instance; 0 for no limit.
    std::optional<ConfigVersion> ifVersion; ///< If set, the command applies only while this version is in force.
    friend bool operator==(const SetLimit &, const SetLimit &) = default;
};

/** set quota team TEAM N */
struct SetQuota {
    TeamName team; ///< Team that the quota applies to.
    std::uint32_t quota = 0; ///< Maximum number of concurrently running tasks in the fleet; 0 for no limit.
    std::optional<ConfigVersion> ifVersion; ///< If set, the command applies only while this version is in force.
    friend bool operator==(const SetQuota &, const SetQuota &) = default;
};

/** reconfigure {JSON document} */
struct Reconfigure {
    std::string json; ///< New configuration: a well-formed JSON document; its content is not validated.
    std::optional<ConfigVersion> ifVersion; ///< If set, the command applies only while this version is in force.
    friend bool operator==(const Reconfigure &, const Reconfigure &) = default;
};

/** Any query or command. */
using Statement = std::variant<ShowRows, ShowCount, ExplainJob, ExplainEndpoint, ExplainRefusal, CancelJob, CancelJobs, Drain, SetLimit,
                               SetQuota, Reconfigure>;

/** Row of a subject: fields with their values. */
using Row = std::vector<std::pair<Field, Value>>;

} // namespace Tanagertally
