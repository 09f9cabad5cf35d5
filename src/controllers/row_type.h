/** Rows that entry instances keep in the platform's table. */
#pragma once

#include "blackboard/config_type.h"
#include "blackboard/job_base.h"
#include "controllers/table_type.h"

namespace Tanagertally {

/** Who holds a claim. */
struct ClaimHolder {
    InstanceName name; ///< Name of the home.
    FailureDomain domain; ///< Its failure domain.
    NetAddress address; ///< Where it accepts peer links.
    Incarnation incarnation; ///< Its incarnation.
};

/** Claim on a caller's key: row "claims/TEAM/KEY". */
struct ClaimRow {
    ClaimHolder holder; ///< Home of the key.
    bool durable = false; ///< Whether the job is durable; its state is then in a DurableJobRow.
    bool idempotent = false; ///< Whether all its tasks may run more than once.
    bool takenOver = false; ///< Whether an earlier holder may have started tasks.
};

/** Where a durable job stands. */
enum class DurableState : std::uint8_t {
    Accepted, ///< Not yet answered.
    Answered, ///< The answer is in the object store.
};

/** A job accepted for later: row "durable/DOMAIN/TEAM/KEY". */
struct DurableJobRow {
    TeamName team; ///< Its team.
    JobKey key; ///< Its key.
    ClaimHolder holder; ///< Its home.
    DurableState state = DurableState::Accepted; ///< Where it stands.
    std::uint32_t mark = 0; ///< High-water mark: tasks below this index may have been started.
    ObjectName job; ///< Object that holds the job.
    ObjectName answer; ///< Object that holds the answer; empty until there is one.
};

/** What became of a configuration. */
enum class ProposalState : std::uint8_t {
    Proposed, ///< Durable, and spreading.
    Accepted, ///< In force in every failure domain.
};

/** The configuration: row "config/current". */
struct ConfigRow {
    FleetConfig config; ///< The document with its version.
    ProposalState state = ProposalState::Proposed; ///< Proposed or accepted.
    OperatorName by; ///< Who proposed it.
};

/** What a drain speaks of. */
enum class DrainScope : std::uint8_t {
    Worker, ///< One worker.
    Rack, ///< All workers of a rack.
    Domain, ///< All workers of a failure domain.
    Instance, ///< An entry instance.
};

/** A drain: row "drains/SCOPE/NAME"; deleted by an undrain. */
struct DrainRow {
    DrainScope scope = DrainScope::Worker; ///< What is drained.
    std::string name; ///< Its name.
    OperatorName by; ///< Who drained it.
};

/** An entry of the audit trail: row "audit/NUMBER". */
struct AuditRow {
    std::int64_t atMs = 0; ///< Wall-clock time in milliseconds since the epoch, for people.
    OperatorName by; ///< Who.
    std::string command; ///< The command in the operators' language.
    std::string outcome; ///< What came of it.
};

/** @return Key of the claim row of a team's key. */
RowKey claimRowKey(const TeamKey &name);
/** @return Prefix of all durable jobs of a failure domain. */
RowKey durablePrefix(const FailureDomain &domain);
/** @return Key of a durable job's row. */
RowKey durableRowKey(const FailureDomain &domain, const TeamKey &name);
/** @return Name of the object that holds a durable job. */
ObjectName jobObjectName(Incarnation incarnation, JobId job);
/** @return Name of the object that holds the answer to a durable job. */
ObjectName answerObjectName(Incarnation incarnation, JobId job);

/** @return The row as text. */
std::string encodeRow(const ClaimRow &row);
/** @return The row as text. */
std::string encodeRow(const DurableJobRow &row);
/** @return The row as text. */
std::string encodeRow(const ConfigRow &row);
/** @return The row as text. */
std::string encodeRow(const DrainRow &row);
/** @return The row as text. */
std::string encodeRow(const AuditRow &row);

/**
 * Read a row back.
 * @tparam Row One of the row types.
 * @param text Text that encodeRow() made.
 * @return The row, or an error if the text is not such a row.
 */
template<typename Row>
Result<Row> decodeRow(std::string_view text);

template<>
Result<ClaimRow> decodeRow<ClaimRow>(std::string_view text);
template<>
Result<DurableJobRow> decodeRow<DurableJobRow>(std::string_view text);
template<>
Result<ConfigRow> decodeRow<ConfigRow>(std::string_view text);
template<>
Result<DrainRow> decodeRow<DrainRow>(std::string_view text);
template<>
Result<AuditRow> decodeRow<AuditRow>(std::string_view text);

/** @return A job as the content of an object. */
std::string encodeJob(const JobSpec &job);
/** @return The job in an object's content, or an error. */
Result<JobSpec> decodeJob(std::string_view text);
/** @return An answer as the content of an object. */
std::string encodeAnswer(const JobAnswer &answer);
/** @return The answer in an object's content, or an error. */
Result<JobAnswer> decodeAnswer(std::string_view text);

} // namespace Tanagertally
