/** Operators' requests to evacuate failure domains. */
#pragma once

#include "blackboard/id_type.h"
#include "cells/store_type.h"

#include <map>

namespace Tanagertally::Cells {

/** All requests that are stored, as last read from the operators' table. */
struct EvacuationRequests {
    std::map<FailureDomain, RowVersion> domains; ///< Failure domains to evacuate, and the versions of their rows.
    RowVersion tableVersion; ///< Version of the newest change of the operators' table that was applied; removals count.
    TimePoint formerlyCurrentAt; ///< Time at which the rows before this change were last known to be current; TimePoint() if never.
};

/** An evacuated failure domain, as known to this instance. */
struct DomainEvacuation {
    RowVersion version; ///< Version of the operators' row.
    TimePoint seenAt; ///< Time when this instance learned of the request.
    TimePoint startsUntil; ///< Until then, endpoints of the domain may get tasks of jobs that have started.
};

} // namespace Tanagertally::Cells
