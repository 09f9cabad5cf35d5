/** What the decision part costs: processor time and memory by size. */
#pragma once

#include <string>

namespace Tanagertally {

/** @return A table of costs with slopes over several sizes, measured on this machine now. */
std::string measureCosts();

} // namespace Tanagertally
