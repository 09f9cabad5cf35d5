/** Strongly typed identifiers of everything that the decision part keeps track of. */
#pragma once

#include "core/strong_type.h"

namespace Tanagertally {

using FailureDomain = StrongString<struct FailureDomainTag>; ///< Name of a failure domain.
using InstanceName = StrongString<struct InstanceNameTag>; ///< Name of an entry instance, unique in the fleet.
using NetAddress = StrongString<struct NetAddressTag>; ///< "IP:port", by number.
using RackName = StrongString<struct RackNameTag>; ///< Name of a rack.
using WorkerName = StrongString<struct WorkerNameTag>; ///< Name of a worker; one endpoint runs on each.
using TeamName = StrongString<struct TeamNameTag>; ///< Name of a team of callers.
using KindName = StrongString<struct KindNameTag>; ///< Name of a kind of request, such as "lookup".
using JobKey = StrongString<struct JobKeyTag>; ///< Idempotency key of a submission: issued or the caller's own.
using OperatorName = StrongString<struct OperatorNameTag>; ///< Name of an operator.

using Incarnation = StrongInt<struct IncarnationTag>; ///< Random number that an entry instance draws at its start.
using EndpointId = StrongInt<struct EndpointIdTag, std::uint32_t>; ///< Endpoint, numbered by this process in order of discovery.
using PeerId = StrongInt<struct PeerIdTag, std::uint32_t>; ///< Peer link, numbered by this process.
using RequestId = StrongInt<struct RequestIdTag>; ///< One call of a caller, operator or peer that awaits a reply.
using AttemptId = StrongInt<struct AttemptIdTag>; ///< One attempt to run one task on one endpoint.
using ProbeId = StrongInt<struct ProbeIdTag>; ///< One health probe.
using TableRequestId = StrongInt<struct TableRequestIdTag>; ///< One request to the platform's table or object store.
using ForwardId = StrongInt<struct ForwardIdTag>; ///< One request forwarded to a peer, numbered by the sender.
using ConfigVersion = StrongInt<struct ConfigVersionTag>; ///< Version of the fleet configuration; 0 means none.

} // namespace Tanagertally
