#include "blackboard/endpoint_base.h"

#include <cassert>

namespace Tanagertally {

EndpointRecord &EndpointTable::add(const ListedEndpoint &listed)
{
    assert(!this->byWorker.contains(listed.worker));
    const EndpointId id(++this->lastId);
    EndpointRecord &record = this->records[id];
    record.id = id;
    record.listed = listed;
    this->byWorker[listed.worker] = id;
    return record;
}

void EndpointTable::remove(EndpointId id)
{
    const auto found = this->records.find(id);
    if (found == this->records.end()) {
        return;
    }
    this->setAvailable(found->second, false);
    this->byWorker.erase(found->second.listed.worker);
    this->records.erase(found);
}

EndpointRecord *EndpointTable::find(EndpointId id)
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

EndpointRecord *EndpointTable::find(const WorkerName &worker)
{
    const auto found = this->byWorker.find(worker);
    return found == this->byWorker.end() ? nullptr : this->find(found->second);
}

void EndpointTable::setAvailable(EndpointRecord &endpoint, bool available)
{
    const bool wasAvailable = endpoint.availableIndex != 0;
    if (available == wasAvailable) {
        return;
    }
    if (available) {
        this->availableList.push_back(&endpoint);
        endpoint.availableIndex = this->availableList.size();
        return;
    }
    EndpointRecord *last = this->availableList.back();
    this->availableList[endpoint.availableIndex - 1] = last;
    last->availableIndex = endpoint.availableIndex;
    this->availableList.pop_back();
    endpoint.availableIndex = 0;
}

} // namespace Tanagertally
