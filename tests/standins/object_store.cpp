#include "object_store.h"

namespace Tanagertally::Standins {

void ObjectStore::put(std::string name, std::string body)
{
    const std::lock_guard lock(this->mutex);
    this->objects.insert_or_assign(std::move(name), std::move(body));
    this->counts.puts++;
}

std::optional<std::string> ObjectStore::get(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    this->counts.gets++;
    const auto found = this->objects.find(name);
    return found == this->objects.end() ? std::nullopt : std::optional<std::string>(found->second);
}

std::size_t ObjectStore::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->objects.size();
}

ObjectCounters ObjectStore::counters() const
{
    const std::lock_guard lock(this->mutex);
    return this->counts;
}

void ObjectStore::resetCounters()
{
    const std::lock_guard lock(this->mutex);
    this->counts = ObjectCounters();
}

} // namespace Tanagertally::Standins
