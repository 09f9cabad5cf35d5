#include "blackboard/job_base.h"

#include <cassert>

namespace Tanagertally {

JobRecord &JobTable::add(const TeamKey &name)
{
    assert(!this->byKey.contains(name));
    const JobId id(++this->lastId);
    JobRecord &record = this->records[id];
    record.id = id;
    record.team = name.team;
    record.key = name.key;
    this->byKey[name] = id;
    return record;
}

JobRecord *JobTable::find(JobId id)
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

JobRecord *JobTable::find(const TeamKey &name)
{
    const auto found = this->byKey.find(name);
    return found == this->byKey.end() ? nullptr : this->find(found->second);
}

void JobTable::remove(JobId id)
{
    const auto found = this->records.find(id);
    if (found == this->records.end()) {
        return;
    }
    this->byKey.erase(TeamKey{found->second.team, found->second.key});
    this->records.erase(found);
}

} // namespace Tanagertally
