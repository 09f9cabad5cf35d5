/** Strongly typed identifiers of the entities on the blackboard. */
#pragma once

#include "core/strong_type.h"

namespace Tanagertally {

using FailureDomain = StrongString<struct FailureDomainTag>; ///< Name of a failure domain.
using InstanceName = StrongString<struct InstanceNameTag>; ///< Name of an entry instance, unique in the fleet.
using NetAddress = StrongString<struct NetAddressTag>; ///< Numeric IP address and port, "IP:port".
using RackName = StrongString<struct RackNameTag>; ///< Name of a rack.
using WorkerName = StrongString<struct WorkerNameTag>; ///< Name of a worker; one endpoint runs on each.
using TeamName = StrongString<struct TeamNameTag>; ///< Name of a team (client account).
using KindName = StrongString<struct KindNameTag>; ///< Name of a kind of request, such as "lookup".
using JobKey = StrongString<struct JobKeyTag>; ///< Idempotency key of a submission: issued by an instance or chosen by the caller.
using OperatorName = StrongString<struct OperatorNameTag>; ///< Name of an operator.

using Incarnation = StrongInt<struct IncarnationTag>; ///< Random number drawn at process start; distinguishes restarts of an instance.
using EndpointId = StrongInt<struct EndpointIdTag, std::uint32_t>; ///< Endpoint, numbered by this process from 1; 0 means none.
using PeerId = StrongInt<struct PeerIdTag, std::uint32_t>; ///< Peer link, numbered by this process.
using RequestId = StrongInt<struct RequestIdTag>; ///< A call of a caller, operator or peer that awaits a reply.
using AttemptId = StrongInt<struct AttemptIdTag>; ///< An attempt to run one task on one endpoint.
using ProbeId = StrongInt<struct ProbeIdTag>; ///< A health probe; 0 means none.
using PlatformRequestId = StrongInt<struct PlatformRequestIdTag>; ///< A request to the platform's table or object store.
using ForwardId = StrongInt<struct ForwardIdTag>; ///< A request forwarded to a peer, numbered by the sender.
using ConfigVersion = StrongInt<struct ConfigVersionTag>; ///< Version of the fleet configuration; 0 means none.

} // namespace Tanagertally
