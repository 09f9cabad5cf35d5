/** Event log on standard output, with one line of key=value pairs for each event. */
#pragma once

#include "controllers/action_type.h"
#include "daemon/settings_type.h"

#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>

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
 * Collects log lines, so that many lines take one system call and one wake-up of the writing thread.
 * Thread safety: none.
 */
class LogBuffer
{
public:
    using Write = std::function<void(const std::string &)>; ///< Writes complete lines.

    /**
     * Creates an empty buffer.
     * @param limit Number of bytes from which the lines are written without a call of flush().
     */
    LogBuffer(std::size_t limit, Write write);

    /** Adds a line, which includes its line feed. */
    void append(std::string_view line);

    /** Writes the collected lines. No effect if there are none. */
    void flush();

private:
    std::size_t limit; ///< Number of bytes.
    Write write;
    std::string lines; ///< Collected lines in order.
};

/** When an EventLog writes its lines. */
enum class LogWriting : std::uint8_t {
    EachLine, ///< At once, one by one.
    Collected, ///< When flush() is called, or when 16 KiB have been collected.
};

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
     * @param writing When the lines are written.
     */
    static std::unique_ptr<EventLog> create(LogLevel level, LogWriting writing = LogWriting::EachLine);

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

    /** Writes collected lines. No effect if each line is written at once. */
    void flush();

private:
    EventLog(std::shared_ptr<spdlog::logger> asyncLogger, LogWriting writing);

    std::shared_ptr<spdlog::logger> logger; ///< Asynchronous logger with standard output as its sink.
    std::mutex mutex; ///< Guards `buffer` and `formatter`.
    std::unique_ptr<LogBuffer> buffer; ///< Unset if each line is written at once.
    std::unique_ptr<spdlog::pattern_formatter> formatter; ///< Formats the lines of `buffer`; unset without one.
};

} // namespace Tanagertally
