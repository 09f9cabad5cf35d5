/** Event log on standard output, with one line of key=value pairs for each event. */
#pragma once

#include "controllers/action_type.h"
#include "daemon/settings_type.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <spdlog/logger.h>

namespace Tanagertally {

/**
 * Formats an event as key=value pairs.
 * @param event Name of the event.
 * @param fields Fields of the event, in order of output.
 * @return Text such as `event=stopping reason="two words"`; empty values and values with spaces, quotes, '=', backslashes or control
 * characters are quoted.
 * Thread safety: may be called from any thread.
 */
std::string formatLogPairs(std::string_view event, std::span<const LogField> fields);

/**
 * The log of this process. A separate thread writes the lines. If the reader of standard output is too slow, the oldest queued
 * lines are dropped, so that write() never blocks on it.
 * Thread safety: write() may be called from any thread.
 */
class EventLog
{
public:
    /**
     * Creates the log.
     * @param level Minimum severity of the lines to write.
     */
    static std::unique_ptr<EventLog> create(LogLevel level);

    /** Writes all queued lines and closes the log. */
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /**
     * Queues one line for writing.
     * @param level Severity.
     * @param event Name of the event.
     * @param fields Fields of the event, in order of output.
     */
    void write(LogLevel level, std::string_view event, std::span<const LogField> fields);

private:
    explicit EventLog(std::shared_ptr<spdlog::logger> asyncLogger);

    std::shared_ptr<spdlog::logger> logger; ///< Asynchronous logger with standard output as its sink.
};

} // namespace Tanagertally
