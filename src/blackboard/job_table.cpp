#include "blackboard/job_base.h"

#include <cassert>

namespace Tanagertally {

JobRecord &JobTable::add(const JobKey &key)
{
    assert(!this->byKey.contains(key));
    const JobId id(++this->lastId);
    JobRecord &record = this->records[id];
    record.id = id;
    record.key = key;
    this->byKey[key] = id;
    return record;
}

JobRecord *JobTable::find(JobId id)
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

JobRecord *JobTable::find(const JobKey &key)
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : this->find(found->second);
}

void JobTable::remove(JobId id)
{
    const auto found = this->records.find(id);
    if (found == this->records.end()) {
        return;
    }
    this->byKey.erase(found->second.key);
    this->records.erase(found);
}

} // namespace Tanagertally
