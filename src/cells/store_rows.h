/** Rows of the store: their keys, and their values as CBOR. */
#pragma once

#include "cells/cell_job.h"
#include "cells/crash_history.h"
#include "cells/fleet_type.h"
#include "cells/job_transfer.h"
#include "cells/store_type.h"
#include "core/result_type.h"

#include <span>

namespace Tanagertally::Cells {

/** Lead of a cell. Each transaction of the leader rewrites the row, so that the transactions form a chain. */
struct LeadRecord {
    InstanceName owner; ///< The leader; empty if the lead was released.
    Incarnation incarnation; ///< Incarnation of the leader.
    FenceToken token; ///< Increases with each change of leader.
    std::uint64_t transactionNumber = 0; ///< Increases with each transaction.
};

/** A job as stored. */
struct StoredJob {
    JobId id;
    JobSpec spec;
    JobTerms terms; ///< Terms of the job's queue.
};

/** Progress of a job as stored. */
struct StoredProgress {
    JobId id;
    JobProgress progress;
};

/** All stored rows of a cell. */
struct CellContent {
    std::vector<StoredJob> jobs; ///< Jobs that have not ended.
    std::vector<StoredProgress> progress; ///< Progress of these jobs, and final states of ended ones.
    std::vector<EndpointRecord> roster; ///< Endpoints that a leader may have used.
    std::vector<JobTransfer> transfers; ///< Jobs that were handed over to other cells, which haven't confirmed them yet.
    std::vector<EndpointLoss> losses; ///< Endpoints that were lost while tasks ran on them; `at` is not stored.
};

inline constexpr std::string_view InstancesTable = "instances"; ///< One row for each instance, all in the empty partition.
inline constexpr std::string_view CellsTable = "cells"; ///< Lead, roster and losses, in the partition of their cell.
inline constexpr std::string_view LayoutsTable = "layouts"; ///< Number of cells of each failure domain, all in the empty partition.
inline constexpr std::string_view JobsTable = "jobs"; ///< Jobs that have not ended, in the partition of their cell.
inline constexpr std::string_view ProgressTable = "progress"; ///< Progress and final states, in the partition of their cell.
inline constexpr std::string_view TransfersTable = "transfers"; ///< Jobs handed over to other cells, in the partition of their former cell.
inline constexpr std::string_view IdsTable = "ids"; ///< Cell of each job; partitioned by a hash of the job's name.

/** Largest number of cells of a failure domain. Every instance holds a view of each cell of the fleet. */
inline constexpr std::uint32_t MaxCellsPerDomain = 1024;

/** @return Key of the lead row of a cell. */
RowKey leadKey(const CellName &cell);
/** @return Key of the row that lists the endpoints that leaders of a cell may have used. */
RowKey rosterKey(const CellName &cell);
/** @return Key of the row that lists the endpoints that a cell has lost, and the tasks that ran there. */
RowKey lossesKey(const CellName &cell);
/** @return Key of the row of a job. */
RowKey jobKey(const CellName &cell, const JobId &job);
/** @return Key of the row of a job's progress. */
RowKey progressKey(const CellName &cell, const JobId &job);
/** @return Key of the row that records that a cell has handed over a job. */
RowKey transferKey(const CellName &formerCell, const JobId &job);
/** @return Key of the row that names the cell of a job. */
RowKey idKey(const JobId &job);
/** @return Key of the row with the number of cells of a failure domain. */
RowKey layoutKey(const FailureDomain &domain);
/** @return Key of the row of an instance. */
RowKey instanceKey(const InstanceName &instance);

/** @return Row value. */
std::string encodeLead(const LeadRecord &lead);
/** @return The lead, or BadInput for a malformed value. */
Result<LeadRecord> decodeLead(std::string_view value);
/** @return Row value. */
std::string encodeJob(const JobSpec &spec, const JobTerms &terms);
/**
 * Checks whether the row of a job is accepted by the store.
 * @param row Row value of the job.
 * @param maxRowBytes Largest value of a row.
 * @return Error text that names the field and the bound; empty if the row is accepted. Thread safety: any thread.
 */
std::string validateRowSize(const JobSpec &spec, std::string_view row, std::size_t maxRowBytes);
/** @return The job, or BadInput for a malformed value. */
Result<StoredJob> decodeJob(const JobId &id, std::string_view value);
/** @return Row value. */
std::string encodeTransfer(const JobTransfer &transfer);
/** @return The transfer, or BadInput for a malformed value. */
Result<JobTransfer> decodeTransfer(const JobId &id, std::string_view value);
/** @return Row value. */
std::string encodeProgress(const JobProgress &progress);
/** @return The progress, or BadInput for a malformed value. */
Result<JobProgress> decodeProgress(std::string_view value);
/** @return Row value. */
std::string encodeRoster(std::span<const EndpointRecord> endpoints);
/** @return The endpoints, or BadInput for a malformed value. */
Result<std::vector<EndpointRecord>> decodeRoster(std::string_view value);
/** @return Row value. */
std::string encodeLosses(std::span<const EndpointLoss> losses);
/** @return The losses, or BadInput for a malformed value. */
Result<std::vector<EndpointLoss>> decodeLosses(std::string_view value);
/** @return Row value. */
std::string encodeCellCount(std::uint32_t count);
/** @return The number of cells, or BadInput for a malformed value. */
Result<std::uint32_t> decodeCellCount(std::string_view value);
/** @return Row value. */
std::string encodeInstance(const InstanceRecord &instance);
/** @return The instance, or BadInput for a malformed value. */
Result<InstanceRecord> decodeInstance(std::string_view value);

} // namespace Tanagertally::Cells
