#include "controllers/decision_trail.h"

namespace Tanagertally {

namespace {

constexpr std::size_t TrailLength = 20000; // entries

} // namespace

std::string_view fieldOf(const TrailEntry &entry, std::string_view key)
{
    for (const LogField &field : entry.fields) {
        if (field.key == key) {
            return field.value;
        }
    }
    return {};
}

TrailNumber DecisionTrail::add(TimePoint at, std::string_view event, std::vector<LogField> fields)
{
    const TrailNumber number(++this->lastNumber);
    this->entries.push_back(TrailEntry{number, at, event, std::move(fields)});
    if (this->entries.size() > TrailLength) {
        this->entries.pop_front();
    }
    return number;
}

std::vector<const TrailEntry *> DecisionTrail::find(std::string_view key, std::string_view value) const
{
    std::vector<const TrailEntry *> found;
    for (const TrailEntry &entry : this->entries) {
        if (fieldOf(entry, key) == value) {
            found.push_back(&entry);
        }
    }
    return found;
}

} // namespace Tanagertally
