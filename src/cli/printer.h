/** What the command-line tool prints. */
#pragma once

#include "cli/http_client.h"
#include "cli/options.h"

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <string_view>

namespace Tanagertally {

using Document = nlohmann::ordered_json; ///< A document of the server, with its fields in order.

/** Where the tool prints. */
struct Terminal {
    std::ostream &out; ///< Results.
    std::ostream &err; ///< Notes and errors.
    bool isInteractive = false; ///< Whether a person watches, so that progress is shown.
};

/**
 * Prints documents as text or JSON.
 * Thread safety: none.
 */
class Printer
{
public:
    /** Make a printer. The streams have to outlive it. */
    Printer(Terminal terminalStreams, OutputFormat outputFormat);

    /** Print a job's answer. */
    void printAnswer(const std::string &body, const Document &answer);

    /** Print where a job stands. */
    void printState(const std::string &body, const Document &state);

    /** Print an acceptance. */
    void printAccepted(const std::string &body, const Document &accepted);

    /** Print keys. */
    void printKeys(const std::string &body, const Document &keys);

    /** Print an operator's answer: rows as a table, anything else as indented JSON. */
    void printRows(const std::string &body, const Document &answer);

    /** Print whether the server is ready. */
    void printReadiness(const std::string &body, const Document &readiness);

    /** Print a refusal. */
    void printError(const std::string &body, const Document &error);

    /** Print an error of the tool itself, as an error document in JSON output. */
    void printLocalError(std::string_view code, const std::string &message, const std::string &field = {}, std::string_view verdict = {});

    /** Print a note for a person, also in JSON output. */
    void printNote(const std::string &text);

    /** Show progress of a job on one line, if a person watches. */
    void showProgress(const Document &state);

    /** @return Whether a person watches. */
    bool isInteractive() const;

private:
    bool printIfJson(const std::string &body);
    void endProgressLine();
    void printTable(const Document &rows);

    Terminal terminal; ///< Where it prints.
    OutputFormat format; ///< How it prints.
    bool isProgressShown = false; ///< Whether a progress line stands on the terminal.
};

} // namespace Tanagertally
