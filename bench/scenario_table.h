/** The tables of users, scenarios and policies. */
#pragma once

#include "scenario_type.h"

#include <span>
#include <string_view>

namespace Tanagertally {

/** @return All users. */
std::span<const UserProfile> allUsers();

/** @return All scenarios. */
std::span<const Scenario> allScenarios();

/** @return All policies. */
std::span<const Policy> allPolicies();

/** @return The entry of a table with this name, or null. */
template<typename Entry>
const Entry *findByName(std::span<const Entry> table, std::string_view name)
{
    for (const Entry &entry : table) {
        if (entry.name == name) {
            return &entry;
        }
    }
    return nullptr;
}

} // namespace Tanagertally
