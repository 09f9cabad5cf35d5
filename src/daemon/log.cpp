#include "daemon/log.h"

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace Tanagertally {

namespace {

constexpr std::size_t MaxQueuedLines = 8192;
constexpr const char *LinePattern = "ts=%Y-%m-%dT%H:%M:%S.%fZ level=%l %v";

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::ranges::any_of(value, [](char character) {
               return character <= ' ' || character == '"' || character == '=' || character == '\\' || character == 127;
           });
}

void appendEscaped(std::string &line, char character)
{
    constexpr std::string_view HexDigits = "0123456789abcdef";
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        line += '\\';
        line += character;
        return;
    }
    if (character == '\n') {
        line += "\\n";
        return;
    }
    if (code < ' ' || code == 127) {
        line += "\\x";
        line += HexDigits[code / 16];
        line += HexDigits[code % 16];
        return;
    }
    line += character;
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        appendEscaped(line, character);
    }
    line += '"';
}

spdlog::level::level_enum toSpdlog(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

} // namespace

std::string formatLogPairs(std::string_view event, std::span<const LogField> fields)
{
    std::string line = "event=";
    appendValue(line, event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

std::unique_ptr<EventLog> EventLog::create(LogLevel level)
{
    spdlog::init_thread_pool(MaxQueuedLines, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    auto logger
        = std::make_shared<spdlog::async_logger>("events", sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(LinePattern, spdlog::pattern_time_type::utc));
    logger->set_level(toSpdlog(level));
    logger->flush_on(spdlog::level::info);
    return std::unique_ptr<EventLog>(new EventLog(std::move(logger)));
}

EventLog::EventLog(std::shared_ptr<spdlog::logger> asyncLogger)
    : logger(std::move(asyncLogger))
{
}

EventLog::~EventLog()
{
    this->logger.reset();
    spdlog::shutdown();
}

void EventLog::write(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    const spdlog::level::level_enum severity = toSpdlog(level);
    if (!this->logger->should_log(severity)) {
        return;
    }
    this->logger->log(severity, formatLogPairs(event, fields));
}

} // namespace Tanagertally
