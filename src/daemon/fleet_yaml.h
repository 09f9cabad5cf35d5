/** Reads the fleet configuration of the settings file: converts YAML to JSON, which the JSON reader validates. */
#pragma once

#include "blackboard/config_type.h"
#include "core/result_type.h"

#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace Tanagertally {

/** An error with the line of the file that it refers to. */
struct LocatedError {
    int line = 1; ///< Line number, starting at 1.
    Error error; ///< The error; its field is the path of the key.
};

/** The fleet configuration, or all errors in it. */
using FleetYamlResult = boost::outcome_v2::result<FleetConfig, std::vector<LocatedError>, boost::outcome_v2::policy::terminate>;

/**
 * Reads the fleet configuration from YAML.
 * @param node Root node of the configuration.
 * @param key Key of the node in the file; prefix of the fields of errors.
 * @return The configuration, or all errors.
 * Thread safety: may be called from any thread, but not concurrently on the same tree of nodes.
 */
FleetYamlResult fleetConfigFromYaml(const YAML::Node &node, const std::string &key);

/** @return The line number of a node, starting at 1. */
int lineOf(const YAML::Node &node);

} // namespace Tanagertally
