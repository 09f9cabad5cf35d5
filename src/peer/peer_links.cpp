#include "peer/peer_links.h"

namespace Tanagertally {

struct PeerLinks::Impl {
};

} // namespace Tanagertally
