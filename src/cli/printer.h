/** Output of the command-line tool. */
#pragma once

#include "cli/http_client.h"
#include "cli/options.h"

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <string_view>

namespace Tanagertally {

using Document = nlohmann::ordered_json; ///< JSON document of the server; keeps the order of its fields.

/** Output streams of the tool. */
struct Terminal {
    std::ostream &out; ///< Results.
    std::ostream &err; ///< Notes, progress and errors.
    bool isInteractive = false; ///< `err` is a terminal, so that progress is shown.
};

/**
 * Prints documents of the server as text or JSON. In the print functions, `body` is the raw text of the document, which is printed
 * unchanged in JSON format.
 * Thread safety: none.
 */
class Printer
{
public:
    /** Creates a printer. The streams have to outlive it. */
    Printer(Terminal terminalStreams, OutputFormat outputFormat);

    /** Prints the answer of a job. */
    void printAnswer(const std::string &body, const Document &answer);

    /** Prints the state and the progress counters of a job. */
    void printState(const std::string &body, const Document &state);

    /** Prints that a job was accepted for later, and how to fetch its answer. */
    void printAccepted(const std::string &body, const Document &accepted);

    /** Prints issued keys, one on each line. */
    void printKeys(const std::string &body, const Document &keys);

    /** Prints the answer to an operator: rows as a table, anything else as indented JSON. */
    void printRows(const std::string &body, const Document &answer);

    /** Prints whether the server is ready, and the reason if it is not. */
    void printReadiness(const std::string &body, const Document &readiness);

    /** Prints a refusal of the server. */
    void printError(const std::string &body, const Document &error);

    /** Prints an error of the tool itself; in JSON format, as an error document like those of the server. */
    void printLocalError(std::string_view code, const std::string &message, const std::string &field = {}, std::string_view verdict = {});

    /** Prints a note to standard error, in both formats. */
    void printNote(const std::string &text);

    /** Updates the progress line of a job; does nothing unless the terminal is interactive. */
    void showProgress(const Document &state);

    /** @return Whether standard error is a terminal. */
    bool isInteractive() const;

private:
    bool printIfJson(const std::string &body);
    void endProgressLine();
    void printTable(const Document &rows);

    Terminal terminal;
    OutputFormat format;
    bool isProgressShown = false; ///< A progress line is shown and not yet ended by a line break.
};

} // namespace Tanagertally
