#include "blackboard/config_type.h"

#include <algorithm>

namespace Tanagertally {

const KindConfig *findKind(const FleetConfig &config, const KindName &name)
{
    const auto found = std::ranges::find(config.kinds, name, &KindConfig::name);
    return found == config.kinds.end() ? nullptr : &*found;
}

const TeamConfig *findTeam(const FleetConfig &config, const TeamName &name)
{
    const auto found = std::ranges::find(config.teams, name, &TeamConfig::name);
    return found == config.teams.end() ? nullptr : &*found;
}

} // namespace Tanagertally
