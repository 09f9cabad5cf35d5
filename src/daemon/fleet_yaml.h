/** The fleet configuration in the settings file: YAML that is checked by the reader of the JSON document. */
#pragma once

#include "blackboard/config_type.h"
#include "core/result_type.h"

#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace Tanagertally {

/** An error of the document and the line of the file that it speaks of. */
struct LocatedError {
    int line = 1; ///< Line in the file, from 1.
    Error error; ///< The error; its field is the key.
};

/** The document, or everything that is wrong with it. */
using FleetYamlResult = boost::outcome_v2::result<FleetConfig, std::vector<LocatedError>, boost::outcome_v2::policy::terminate>;

/**
 * Read the fleet configuration from YAML.
 * @param node The node of the document.
 * @param key Key under which it stands in the file, for errors.
 * @return The document, or all errors.
 * Thread safety: any thread, but one at a time for one tree of nodes.
 */
FleetYamlResult fleetConfigFromYaml(const YAML::Node &node, const std::string &key);

/** @return The line at which a node stands, from 1. */
int lineOf(const YAML::Node &node);

} // namespace Tanagertally
