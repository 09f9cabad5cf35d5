#include "blackboard/job_type.h"

namespace Tanagertally {

std::string_view toString(JobState state)
{
    switch (state) {
    case JobState::Pending:
        return "pending";
    case JobState::Running:
        return "running";
    case JobState::Answered:
        return "answered";
    case JobState::Unused:
        return "unused";
    case JobState::Closed:
        return "closed";
    }
    return "closed";
}

} // namespace Tanagertally
