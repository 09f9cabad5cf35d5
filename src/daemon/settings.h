/** Reads the settings file and checks every key of it against the table of settings. */
#pragma once

#include "core/result_type.h"
#include "daemon/settings_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

/** Settings, or everything that is wrong with them; the field of each error is "file:line: key". */
using SettingsResult = boost::outcome_v2::result<Settings, std::vector<Error>, boost::outcome_v2::policy::terminate>;

/**
 * Read settings from a file.
 * @param file Path of the file.
 * @return The settings, or all errors in the order of their lines.
 * Thread safety: any thread.
 */
SettingsResult readSettingsFile(const std::string &file);

/**
 * Read settings from text.
 * @param text The YAML text.
 * @param file Name that errors give as the file; relative paths in the settings start in its folder.
 * @return The settings, or all errors in the order of their lines.
 * Thread safety: any thread.
 */
SettingsResult readSettings(std::string_view text, const std::string &file);

/** @return An error of the settings as one line. Thread safety: any thread. */
std::string settingsErrorLine(const Error &error);

} // namespace Tanagertally
