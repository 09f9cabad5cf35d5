/** Which endpoints or which clients of the platform a command speaks of. */
#pragma once

#include <string>
#include <vector>

namespace Tanagertally::Standins {

/** Endpoints: those that any of the lists names, or all. */
struct EndpointScope {
    bool all = false; ///< All endpoints.
    std::vector<std::string> workers; ///< Those of these workers.
    std::vector<std::string> racks; ///< Those in these racks.
    std::vector<std::string> domains; ///< Those in these failure domains.
};

/** Clients of the platform: those that any of the lists names, or all. */
struct ClientScope {
    bool all = false; ///< All clients, those without a name too.
    std::vector<std::string> instances; ///< Those that give one of these names.
    std::vector<std::string> domains; ///< Those announced in these failure domains.
};

} // namespace Tanagertally::Standins
