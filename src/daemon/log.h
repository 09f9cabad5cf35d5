/** The log: one line of key=value pairs for each event, on standard output. */
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
 * Write the pairs of one event as text.
 * @param event Name of the event.
 * @param fields Its fields in order.
 * @return Text such as `event=stopping reason="two words"`; values with spaces, quotes or control characters are quoted.
 * Thread safety: any thread.
 */
std::string formatLogPairs(std::string_view event, std::span<const LogField> fields);

/**
 * The log of this process. Lines are written by a thread of its own, and the oldest are dropped when the reader of
 * standard output is too slow, so that nothing waits for it.
 * Thread safety: write() may be called from any thread.
 */
class EventLog
{
public:
    /**
     * Open the log.
     * @param level Least severity that is written.
     * @return The log.
     */
    static std::unique_ptr<EventLog> create(LogLevel level);

    /** Write what is waiting and close the log. */
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /**
     * Write one line.
     * @param level Its severity.
     * @param event Name of the event.
     * @param fields Its fields in order.
     */
    void write(LogLevel level, std::string_view event, std::span<const LogField> fields);

private:
    explicit EventLog(std::shared_ptr<spdlog::logger> asyncLogger);

    std::shared_ptr<spdlog::logger> logger; ///< Writes to standard output.
};

} // namespace Tanagertally
