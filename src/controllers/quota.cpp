#include "controllers/quota_func.h"

#include <algorithm>

namespace Tanagertally {

std::uint32_t localQuota(const Blackboard &board, const TeamName &team)
{
    const TeamConfig *config = findTeam(board.config, team);
    if (config == nullptr || config->quota == 0) {
        return UINT32_MAX;
    }
    std::uint32_t usedElsewhere = 0;
    for (const auto &[id, peer] : board.peers.all()) {
        const auto usage = peer.usage.find(team);
        usedElsewhere += usage == peer.usage.end() ? 0 : usage->second;
    }
    const auto instances = static_cast<std::uint32_t>(board.peers.all().size() + 1);
    const std::uint32_t evenShare = std::max(1U, config->quota / instances);
    const std::uint32_t leftOver = config->quota > usedElsewhere ? config->quota - usedElsewhere : 0;
    return std::max(evenShare, leftOver);
}

bool hasQuotaRoom(const Blackboard &board, const TeamName &team)
{
    const auto load = board.teams.find(team);
    const std::uint32_t running = load == board.teams.end() ? 0 : load->second.running;
    return running < localQuota(board, team);
}

} // namespace Tanagertally
