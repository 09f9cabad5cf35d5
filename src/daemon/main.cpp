#include "daemon/daemon.h"
#include "daemon/settings.h"
#include "daemon/settings_table.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

constexpr int ExitStartFailed = 1;
constexpr int ExitBadSettings = 2;

/** Parsed command line. */
struct Arguments {
    std::string settingsFile; ///< Path of the settings file; empty if not given.
    bool checkOnly = false; ///< Check the settings and exit.
    bool printReference = false; ///< Print the reference of settings and exit.
};

void declareArguments(CLI::App &app, Arguments &arguments)
{
    auto *reference = app.add_flag("--print-settings-reference", arguments.printReference, "Print the reference of settings and exit");
    auto *settings = app.add_option("--settings", arguments.settingsFile, "Settings file in YAML");
    app.add_flag("--check", arguments.checkOnly, "Check the settings and exit with code 0 (valid) or 2 (invalid)")->needs(settings);
    settings->excludes(reference);
}

int runWithSettings(const Arguments &arguments)
{
    const Tanagertally::SettingsResult settings = Tanagertally::readSettingsFile(arguments.settingsFile);
    if (!settings) {
        for (const Tanagertally::Error &error : settings.error()) {
            std::cerr << Tanagertally::settingsErrorLine(error) << '\n';
        }
        return ExitBadSettings;
    }
    if (arguments.checkOnly) {
        return EXIT_SUCCESS;
    }
    const Tanagertally::Result<void> result = Tanagertally::runDaemon(settings.value());
    if (!result) {
        std::cerr << "tanagertallyd: " << result.error().message << (result.error().field.empty() ? "" : ": ") << result.error().field
                  << '\n';
        return ExitStartFailed;
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs one entry instance of tanagertally");
    Arguments arguments;
    declareArguments(app, arguments);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const int code = app.exit(error);
        return code == 0 ? EXIT_SUCCESS : ExitBadSettings;
    }
    if (arguments.printReference) {
        std::cout << Tanagertally::settingsReference();
        return EXIT_SUCCESS;
    }
    if (arguments.settingsFile.empty()) {
        std::cerr << "tanagertallyd: --settings FILE is required; see --help\n";
        return ExitBadSettings;
    }
    return runWithSettings(arguments);
}
