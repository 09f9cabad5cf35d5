/** Reads the settings file and validates every key against the table of settings. */
#pragma once

#include "core/result_type.h"
#include "daemon/settings_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace Tanagertally {

/** The settings, or all errors in them; the field of each error is "file:line: key". */
using SettingsResult = boost::outcome_v2::result<Settings, std::vector<Error>, boost::outcome_v2::policy::terminate>;

/**
 * Reads settings from a file.
 * @param file Path of the file.
 * @return The settings, or all errors ordered by line.
 * Thread safety: may be called from any thread.
 */
SettingsResult readSettingsFile(const std::string &file);

/**
 * Reads settings from YAML text.
 * @param text The YAML text.
 * @param file Path of the file, used in errors and as the base of relative paths in the settings.
 * @return The settings, or all errors ordered by line.
 * Thread safety: may be called from any thread.
 */
SettingsResult readSettings(std::string_view text, const std::string &file);

/** @return An error of the settings as one line, "file:line: key: message". Thread safety: may be called from any thread. */
std::string settingsErrorLine(const Error &error);

} // namespace Tanagertally
