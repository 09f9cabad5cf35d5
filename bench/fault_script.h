/** What goes wrong in a scenario, and when. */
#pragma once

#include "load_generator.h"

namespace Tanagertally {

/** Schedule a scenario's fault. The references must outlive the run. */
void scheduleFault(Fault fault, Session &session, LoadGenerator &load, const UserProfile &user, const RunLength &length);

} // namespace Tanagertally
