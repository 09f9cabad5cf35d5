/** Rows that this product keeps in the store: their names, and their content as CBOR. */
#pragma once

#include "cells/cell_job.h"
#include "cells/fleet_type.h"
#include "cells/store_type.h"
#include "core/result_type.h"

#include <span>

namespace Tanagertally::Cells {

/** Who leads a cell. The row changes with each transaction of the leader, so that the transactions form a chain. */
struct LeadRecord {
    InstanceName owner; ///< The leader; empty if the lead was given up.
    Incarnation incarnation; ///< Of the leader.
    FenceToken token; ///< Rises with each change of leadership.
    std::uint64_t number = 0; ///< Rises with each transaction.
};

/** A job as stored. */
struct StoredJob {
    JobId id; ///< Its name.
    JobSpec spec; ///< What it consists of.
    JobTerms terms; ///< Terms of its queue.
};

/** Progress of a job as stored. */
struct StoredProgress {
    JobId id; ///< The job.
    JobProgress progress; ///< Its progress.
};

/** All that is stored of a cell. */
struct CellContent {
    std::vector<StoredJob> jobs; ///< Jobs that have not ended.
    std::vector<StoredProgress> progress; ///< Progress of these, and states of those that have ended.
    std::vector<EndpointRecord> roster; ///< Endpoints that a leader may have used.
};

inline constexpr std::string_view InstancesTable = "instances"; ///< One row for each entry instance, all in the empty partition.
inline constexpr std::string_view CellsTable = "cells"; ///< Rows about a cell, in its partition.
inline constexpr std::string_view JobsTable = "jobs"; ///< Jobs that have not ended, in the partition of their cell.
inline constexpr std::string_view ProgressTable = "progress"; ///< Progress and final states, in the partition of their cell.
inline constexpr std::string_view IdsTable = "ids"; ///< Which cell has a job; partitions by a hash of its name.

/** @return Name of the row that tells who leads a cell. */
RowKey leadKey(const CellName &cell);
/** @return Name of the row that lists the endpoints that leaders of a cell have used. */
RowKey rosterKey(const CellName &cell);
/** @return Name of the row of a job. */
RowKey jobKey(const CellName &cell, const JobId &job);
/** @return Name of the row of a job's progress. */
RowKey progressKey(const CellName &cell, const JobId &job);
/** @return Name of the row that tells which cell has a job. */
RowKey idKey(const JobId &job);
/** @return Name of the row of an instance. */
RowKey instanceKey(const InstanceName &instance);

/** @return Content of a row. */
std::string encodeLead(const LeadRecord &lead);
/** @return The record, or BadInput for a row that can't be read. */
Result<LeadRecord> decodeLead(std::string_view value);
/** @return Content of a row. */
std::string encodeJob(const CellJob &job);
/** @return The job, or BadInput for a row that can't be read. */
Result<StoredJob> decodeJob(const JobId &id, std::string_view value);
/** @return Content of a row. */
std::string encodeProgress(const JobProgress &progress);
/** @return The progress, or BadInput for a row that can't be read. */
Result<JobProgress> decodeProgress(std::string_view value);
/** @return Content of a row. */
std::string encodeRoster(std::span<const EndpointRecord> endpoints);
/** @return The endpoints, or BadInput for a row that can't be read. */
Result<std::vector<EndpointRecord>> decodeRoster(std::string_view value);
/** @return Content of a row. */
std::string encodeInstance(const InstanceRecord &instance);
/** @return The instance, or BadInput for a row that can't be read. */
Result<InstanceRecord> decodeInstance(std::string_view value);

} // namespace Tanagertally::Cells
