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

using RefusalId = StrongInt<struct RefusalIdTag>; ///< Number of a refusal.

/** What a query is about. */
enum class Subject : std::uint8_t {
    Jobs, ///< Jobs that an instance holds.
    Tasks, ///< Tasks of those jobs.
    Endpoints, ///< Endpoints that an instance knows.
    Instances, ///< Entry instances.
    Domains, ///< Failure domains.
    Teams, ///< Teams of callers.
    Config, ///< Versions of the fleet configuration.
    Audit, ///< The audit trail.
    Refusals, ///< Recent refusals.
};

/** A field of a row. The same name stands for the same field in all subjects. */
enum class Field : std::uint8_t {
    Address,
    Age,
    Attempts,
    By,
    Code,
    Config,
    Domain,
    Endpoints,
    Failures,
    Finished,
    Free,
    Home,
    Id,
    ProcessIncarnation,
    Index,
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
    Started,
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

/** What values a field has. */
enum class FieldType : std::uint8_t {
    Text, ///< Any text.
    Name, ///< One of a few words.
    Number, ///< A number.
    TimeSpan, ///< A span of time.
};

/** A value of a field; unset where a row has none. Texts and names are both texts. */
using Value = std::variant<std::monostate, std::string, double, Duration>;

/** How a field is compared with a value. */
enum class Comparator : std::uint8_t {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
};

struct Condition;

/** A field compared with a value of the field's type. */
struct Comparison {
    Field field = Field::Key; ///< The field.
    Comparator comparator = Comparator::Equal; ///< How it is compared.
    Value value; ///< What it is compared with; never unset.
    friend bool operator==(const Comparison &, const Comparison &) = default;
};

/** Holds if all parts hold. */
struct AllOf {
    std::vector<Condition> parts; ///< Two or more.
    friend bool operator==(const AllOf &, const AllOf &) = default;
};

/** Holds if any part holds. */
struct AnyOf {
    std::vector<Condition> parts; ///< Two or more.
    friend bool operator==(const AnyOf &, const AnyOf &) = default;
};

/** Holds if its part doesn't. */
struct Negation {
    std::vector<Condition> part; ///< Exactly one; a vector because the type is recursive.
    friend bool operator==(const Negation &, const Negation &) = default;
};

/** A condition on a row. */
struct Condition {
    std::variant<Comparison, AllOf, AnyOf, Negation> node; ///< The outermost part.
    friend bool operator==(const Condition &, const Condition &) = default;
};

/** How rows are ordered. */
struct Ordering {
    Field field = Field::Key; ///< Field to order by.
    bool isDescending = false; ///< Largest first.
    friend bool operator==(const Ordering &, const Ordering &) = default;
};

/** show SUBJECT ... */
struct ShowRows {
    Subject subject = Subject::Jobs; ///< What the rows are.
    std::optional<Condition> where; ///< Which rows.
    std::optional<Ordering> order; ///< In which order; as they come if unset.
    std::optional<std::uint32_t> limit; ///< Most rows, from 1.
    friend bool operator==(const ShowRows &, const ShowRows &) = default;
};

/** show count of SUBJECT ... */
struct ShowCount {
    Subject subject = Subject::Jobs; ///< What is counted.
    std::optional<Condition> where; ///< Which rows.
    friend bool operator==(const ShowCount &, const ShowCount &) = default;
};

/** explain job KEY */
struct ExplainJob {
    JobKey key; ///< The job.
    friend bool operator==(const ExplainJob &, const ExplainJob &) = default;
};

/** explain endpoint WORKER */
struct ExplainEndpoint {
    WorkerName worker; ///< Worker of the endpoint.
    friend bool operator==(const ExplainEndpoint &, const ExplainEndpoint &) = default;
};

/** explain refusal ID */
struct ExplainRefusal {
    RefusalId id; ///< The refusal.
    friend bool operator==(const ExplainRefusal &, const ExplainRefusal &) = default;
};

/** cancel job KEY */
struct CancelJob {
    JobKey key; ///< The job.
    friend bool operator==(const CancelJob &, const CancelJob &) = default;
};

/** cancel jobs where ... */
struct CancelJobs {
    Condition where; ///< Which jobs.
    friend bool operator==(const CancelJobs &, const CancelJobs &) = default;
};

/** What is drained: the endpoint of one worker, those of a rack, an entry instance, or a whole failure domain. */
using DrainTarget = std::variant<WorkerName, RackName, InstanceName, FailureDomain>;

/** drain TARGET NAME, or undrain TARGET NAME */
struct Drain {
    DrainTarget target; ///< What is drained.
    bool isUndone = false; ///< Whether it is put back in service.
    std::optional<ConfigVersion> ifVersion; ///< Only if this version is in force.
    friend bool operator==(const Drain &, const Drain &) = default;
};

/** set limit kind KIND concurrency N */
struct SetLimit {
    KindName kind; ///< The kind of request.
    std::uint32_t concurrency = 0; ///< Most tasks running at once per instance; 0 for no limit.
    std::optional<ConfigVersion> ifVersion; ///< Only if this version is in force.
    friend bool operator==(const SetLimit &, const SetLimit &) = default;
};

/** set quota team TEAM N */
struct SetQuota {
    TeamName team; ///< The team.
    std::uint32_t quota = 0; ///< Most tasks running at once in the fleet; 0 for no limit.
    std::optional<ConfigVersion> ifVersion; ///< Only if this version is in force.
    friend bool operator==(const SetQuota &, const SetQuota &) = default;
};

/** reconfigure {JSON document} */
struct Reconfigure {
    std::string json; ///< The document; well-formed JSON, not checked further.
    std::optional<ConfigVersion> ifVersion; ///< Only if this version is in force.
    friend bool operator==(const Reconfigure &, const Reconfigure &) = default;
};

/** Any query or command. */
using Statement = std::variant<ShowRows, ShowCount, ExplainJob, ExplainEndpoint, ExplainRefusal, CancelJob, CancelJobs, Drain, SetLimit,
                               SetQuota, Reconfigure>;

/** One row of a subject: values of its fields. */
using Row = std::vector<std::pair<Field, Value>>;

} // namespace Tanagertally
