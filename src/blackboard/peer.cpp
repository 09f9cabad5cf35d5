#include "blackboard/peer_base.h"

#include <algorithm>

namespace Tanagertally {

PeerRecord &PeerTable::add(PeerId id, const InstanceIdentity &identity)
{
    PeerRecord &record = this->records[id];
    record.id = id;
    record.identity = identity;
    return record;
}

void PeerTable::remove(PeerId id)
{
    this->records.erase(id);
}

PeerRecord *PeerTable::find(PeerId id)
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

PeerRecord *PeerTable::find(const NetAddress &address)
{
    const auto matches = [&](const auto &entry) { return entry.second.identity.peerAddress == address; };
    const auto found = std::find_if(this->records.begin(), this->records.end(), matches);
    return found == this->records.end() ? nullptr : &found->second;
}

PeerRecord *PeerTable::find(Incarnation incarnation)
{
    const auto matches = [&](const auto &entry) { return entry.second.identity.incarnation == incarnation; };
    const auto found = std::find_if(this->records.begin(), this->records.end(), matches);
    return found == this->records.end() ? nullptr : &found->second;
}

} // namespace Tanagertally
