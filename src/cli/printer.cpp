#include "cli/printer.h"

#include <algorithm>
#include <ostream>

namespace Tanagertally {

namespace {

/** @return A value as text: a string unquoted, anything else as JSON. */
std::string valueText(const Document &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/** @return A field as text; empty if it is absent. */
std::string fieldText(const Document &document, const char *name)
{
    const auto found = document.find(name);
    return found == document.end() ? std::string() : valueText(*found);
}

bool isTable(const Document &document)
{
    return document.is_array() && !document.empty()
           && std::all_of(document.begin(), document.end(), [](const Document &row) { return row.is_object(); });
}

/** @return Names of all columns, in order of their first appearance. */
std::vector<std::string> columnsOf(const Document &rows)
{
    std::vector<std::string> columns;
    for (const Document &row : rows) {
        for (const auto &[name, value] : row.items()) {
            if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
                columns.push_back(name);
            }
        }
    }
    return columns;
}

/** @return One line of a table, with values padded to the column widths. */
std::string tableLine(const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t index = 0; index < cells.size(); ++index) {
        line += cells[index];
        line.append(widths[index] + 2 - cells[index].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + "\n";
}

} // namespace

Printer::Printer(Terminal terminalStreams, OutputFormat outputFormat)
    : terminal(terminalStreams)
    , format(outputFormat)
{
}

void Printer::printAnswer(const std::string &body, const Document &answer)
{
    if (this->printIfJson(body)) {
        return;
    }
    this->terminal.out << "job " << fieldText(answer, "key") << ": " << fieldText(answer, "outcome");
    if (answer.contains("reason")) {
        this->terminal.out << " (" << fieldText(answer, "reason") << ": " << fieldText(answer, "message") << ")";
    }
    this->terminal.out << "\n";
    std::size_t index = 0;
    for (const Document &task : answer.value("tasks", Document::array())) {
        const char *detail = task.contains("output") ? "output" : "error";
        this->terminal.out << "  task " << index++ << ": " << fieldText(task, "verdict") << " " << fieldText(task, detail) << "\n";
    }
}

void Printer::printState(const std::string &body, const Document &state)
{
    if (this->printIfJson(body)) {
        return;
    }
    this->terminal.out << "job " << fieldText(state, "key") << ": " << fieldText(state, "state") << ", " << fieldText(state, "tasks")
                       << " tasks, " << fieldText(state, "started") << " started, " << fieldText(state, "finished") << " finished\n";
}

void Printer::printAccepted(const std::string &body, const Document &accepted)
{
    if (!this->printIfJson(body)) {
        this->terminal.out << "accepted; fetch the answer with: tanagertally fetch " << fieldText(accepted, "key") << "\n";
    }
}

void Printer::printKeys(const std::string &body, const Document &keys)
{
    if (this->printIfJson(body)) {
        return;
    }
    for (const Document &key : keys.value("keys", Document::array())) {
        this->terminal.out << valueText(key) << "\n";
    }
}

void Printer::printRows(const std::string &body, const Document &answer)
{
    if (this->printIfJson(body)) {
        return;
    }
    const Document &rows = answer.is_object() && answer.contains("rows") ? answer["rows"] : answer;
    if (isTable(rows)) {
        this->printTable(rows);
        return;
    }
    this->terminal.out << answer.dump(2) << "\n";
}

void Printer::printReadiness(const std::string &body, const Document &readiness)
{
    if (this->printIfJson(body)) {
        return;
    }
    const bool isReady = readiness.value("ready", false);
    this->terminal.out << (isReady ? std::string("ready") : "not ready: " + fieldText(readiness, "reason")) << "\n";
}

void Printer::printError(const std::string &body, const Document &error)
{
    if (this->printIfJson(body)) {
        return;
    }
    this->terminal.err << "refused (" << fieldText(error, "code") << "): ";
    const std::string field = fieldText(error, "field");
    this->terminal.err << (field.empty() ? "" : field + ": ") << fieldText(error, "message") << "\n";
    if (error.contains("verdict")) {
        this->terminal.err << "verdict: " << fieldText(error, "verdict") << "\n";
    }
    if (error.contains("retryAfterMs")) {
        this->terminal.err << "retry in " << fieldText(error, "retryAfterMs") << " ms\n";
    }
}

void Printer::printLocalError(std::string_view code, const std::string &message, const std::string &field, std::string_view verdict)
{
    Document document;
    document["code"] = code;
    document["message"] = message;
    document["field"] = field;
    if (!verdict.empty()) {
        document["verdict"] = verdict;
    }
    if (this->printIfJson(document.dump(-1, ' ', false, Document::error_handler_t::replace))) {
        return;
    }
    this->terminal.err << "tanagertally: " << (field.empty() ? "" : field + ": ") << message << "\n";
    if (!verdict.empty()) {
        this->terminal.err << "verdict: " << verdict << "\n";
    }
}

void Printer::printNote(const std::string &text)
{
    this->endProgressLine();
    this->terminal.err << text << "\n";
}

void Printer::showProgress(const Document &state)
{
    if (!this->terminal.isInteractive) {
        return;
    }
    this->terminal.err << "\r" << fieldText(state, "state") << ": " << fieldText(state, "finished") << " of " << fieldText(state, "tasks")
                       << " tasks finished" << std::flush;
    this->isProgressShown = true;
}

bool Printer::isInteractive() const
{
    return this->terminal.isInteractive;
}

bool Printer::printIfJson(const std::string &body)
{
    this->endProgressLine();
    if (this->format != OutputFormat::Json) {
        return false;
    }
    this->terminal.out << body << "\n";
    return true;
}

void Printer::endProgressLine()
{
    if (this->isProgressShown) {
        this->terminal.err << "\n";
        this->isProgressShown = false;
    }
}

void Printer::printTable(const Document &rows)
{
    const std::vector<std::string> columns = columnsOf(rows);
    std::vector<std::size_t> widths;
    widths.reserve(columns.size());
    for (const std::string &column : columns) {
        std::size_t width = column.size();
        for (const Document &row : rows) {
            width = std::max(width, fieldText(row, column.c_str()).size());
        }
        widths.push_back(width);
    }
    this->terminal.out << tableLine(columns, widths);
    for (const Document &row : rows) {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (const std::string &column : columns) {
            cells.push_back(fieldText(row, column.c_str()));
        }
        this->terminal.out << tableLine(cells, widths);
    }
}

} // namespace Tanagertally
