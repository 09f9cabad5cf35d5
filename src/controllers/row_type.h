/** Rows that entry instances store in the platform's table, and their codec. */
#pragma once

#include "blackboard/config_type.h"
#include "blackboard/job_base.h"
#include "controllers/table_type.h"

namespace Tanagertally {

/** The incarnation that holds a claim: the home of the key. */
struct ClaimHolder {
    InstanceName name;
    FailureDomain domain;
    NetAddress address; ///< Address at which the instance accepts peer links.
    Incarnation incarnation;
};

/** Claim on a key: row "claims/TEAM/KEY". */
struct ClaimRow {
    ClaimHolder holder; ///< Home of the key.
    bool durable = false; ///< Whether the job is durable; its state is then in a DurableJobRow.
    bool idempotent = false; ///< Whether all tasks of the job may run more than once.
    bool takenOver = false; ///< Whether an earlier holder may have started tasks.
};

/** State of a durable job. */
enum class DurableState : std::uint8_t {
    Accepted, ///< Not yet answered.
    Answered, ///< The answer is in the object store.
};

/** A durable job: row "durable/DOMAIN/TEAM/KEY". */
struct DurableJobRow {
    TeamName team;
    JobKey key;
    ClaimHolder holder;
    DurableState state = DurableState::Accepted;
    std::uint32_t mark = 0; ///< High-water mark: tasks below this index may have been started.
    ObjectName job; ///< Name of the object that holds the job.
    ObjectName answer; ///< Name of the object that holds the answer; empty until the answer is stored.
};

/** State of a configuration. */
enum class ProposalState : std::uint8_t {
    Proposed, ///< Stored, but not yet in force in every failure domain.
    Accepted, ///< In force in every failure domain.
};

/** The configuration: row "config/current". */
struct ConfigRow {
    FleetConfig config; ///< The document with its version.
    ProposalState state = ProposalState::Proposed; ///< Whether the configuration is in force everywhere.
    OperatorName by; ///< Operator who proposed it.
};

/** Type of the target of a drain. */
enum class DrainScope : std::uint8_t {
    Worker, ///< One worker.
    Rack, ///< All workers of a rack.
    Domain, ///< All workers of a failure domain.
    Instance, ///< An entry instance.
};

/** A drain: row "drains/SCOPE/NAME"; deleted by an undrain. */
struct DrainRow {
    DrainScope scope = DrainScope::Worker;
    std::string name; ///< Name of the target.
    OperatorName by; ///< Operator who drained it.
};

/** An entry of the audit trail: row "audit/NUMBER". */
struct AuditRow {
    std::int64_t atMs = 0; ///< Wall-clock time in milliseconds since the Unix epoch; for display only.
    OperatorName by; ///< Operator who issued the command.
    std::string command; ///< Command in the operators' language.
    std::string outcome; ///< Result of the command.
};

/** @return Key of the claim row of a job key. */
RowKey claimRowKey(const TeamKey &name);
/** @return Prefix of the rows of all durable jobs of a failure domain. */
RowKey durablePrefix(const FailureDomain &domain);
/** @return Key of the row of a durable job. */
RowKey durableRowKey(const FailureDomain &domain, const TeamKey &name);
/** @return Name of the object that holds a durable job. */
ObjectName jobObjectName(Incarnation incarnation, JobId job);
/** @return Name of the object that holds the answer to a durable job. */
ObjectName answerObjectName(Incarnation incarnation, JobId job);

/** @return The row in its stored text form. */
std::string encodeRow(const ClaimRow &row);
/** @return The row in its stored text form. */
std::string encodeRow(const DurableJobRow &row);
/** @return The row in its stored text form. */
std::string encodeRow(const ConfigRow &row);
/** @return The row in its stored text form. */
std::string encodeRow(const DrainRow &row);
/** @return The row in its stored text form. */
std::string encodeRow(const AuditRow &row);

/**
 * Decodes a row that encodeRow() wrote.
 * @tparam Row One of the row types.
 * @return The row, or an error if the text is malformed.
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

/** @return A job in the form in which it is stored as an object. */
std::string encodeJob(const JobSpec &job);
/** @return The job that encodeJob() wrote, or an error if the text is malformed. */
Result<JobSpec> decodeJob(std::string_view text);
/** @return An answer in the form in which it is stored as an object. */
std::string encodeAnswer(const JobAnswer &answer);
/** @return The answer that encodeAnswer() wrote, or an error if the text is malformed. */
Result<JobAnswer> decodeAnswer(std::string_view text);

} // namespace Tanagertally
