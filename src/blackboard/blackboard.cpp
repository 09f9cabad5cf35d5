#include "blackboard/blackboard.h"

#include <algorithm>

namespace Tanagertally {

KindLoad &findOrAddKindLoad(Blackboard &board, const KindName &kind)
{
    const auto found = board.kinds.find(kind);
    if (found != board.kinds.end()) {
        return found->second;
    }
    const KindConfig *config = findKind(board.config, kind);
    const Duration expected = config == nullptr ? KindConfig().expectedRunTime : config->expectedRunTime;
    return board.kinds.emplace(kind, KindLoad{RunTimeEstimate(expected), 0, {}}).first->second;
}

bool isIdempotent(const Blackboard &board, const KindName &kind)
{
    const KindConfig *config = findKind(board.config, kind);
    return config != nullptr && config->idempotence == Idempotence::Idempotent;
}

bool isIdempotent(const Blackboard &board, const JobSpec &job)
{
    return std::all_of(job.tasks.begin(), job.tasks.end(), [&](const TaskSpec &task) { return isIdempotent(board, task.kind); });
}

} // namespace Tanagertally
