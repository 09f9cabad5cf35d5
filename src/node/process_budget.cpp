#include "node/process_budget.h"

namespace Tanagertally::Cells {

namespace {

// Each is a divisor of the memory.
constexpr std::size_t CallerMemoryPart = 4;
constexpr std::size_t BalancerMemoryPart = 32;

} // namespace

ProcessBudget divideResources(const ProcessResources &resources)
{
    ProcessBudget budget;
    budget.callerBytes = resources.memoryBytes / CallerMemoryPart;
    budget.balancerBytes = resources.memoryBytes / BalancerMemoryPart;
    return budget;
}

} // namespace Tanagertally::Cells
