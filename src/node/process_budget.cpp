#include "node/process_budget.h"

#include <algorithm>

namespace Tanagertally::Cells {

namespace {

constexpr std::size_t FileDescriptors = 200; // Reserved for files by the platform.
constexpr std::size_t MinSockets = 64;

// Each is a divisor of the memory or of the sockets.
constexpr std::size_t CallerMemoryPart = 4;
constexpr std::size_t BalancerMemoryPart = 32;
constexpr std::size_t WorkMemoryPart = 2;
constexpr std::size_t PeerMessagePart = 32;
constexpr std::size_t PeerSocketPart = 8;
constexpr std::size_t SmallSocketPart = 16; // The balancer's connections, and those that are refused at each address.

constexpr std::size_t MaxBalancerConnections = 64; // A balancer, a scraper and a few operators.
constexpr std::size_t MaxPeerMessageBytes = 4UL << 20; // Several times the longest job or advert.
// Connections to the store and to endpoints: three eighths of the sockets.
constexpr std::size_t OutboundNumerator = 3;
constexpr std::size_t OutboundDenominator = 8;

} // namespace

ProcessBudget divideResources(const ProcessResources &resources)
{
    const std::size_t sockets = std::max(resources.descriptors, FileDescriptors + MinSockets) - FileDescriptors;
    ProcessBudget budget;
    budget.callerBytes = resources.memoryBytes / CallerMemoryPart;
    budget.balancerBytes = resources.memoryBytes / BalancerMemoryPart;
    budget.workBytes = resources.memoryBytes / WorkMemoryPart;
    budget.peerMessageBytes = std::min(resources.memoryBytes / PeerMessagePart, MaxPeerMessageBytes);
    budget.balancerConnections = std::min(sockets / SmallSocketPart, MaxBalancerConnections);
    budget.refusedConnections = budget.balancerConnections;
    budget.peerConnections = sockets / PeerSocketPart;
    const std::size_t outbound = sockets * OutboundNumerator / OutboundDenominator;
    budget.callerConnections = sockets - outbound - budget.peerConnections - budget.balancerConnections - 2 * budget.refusedConnections;
    return budget;
}

} // namespace Tanagertally::Cells
