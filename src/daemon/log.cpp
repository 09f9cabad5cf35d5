#include "daemon/log.h"

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace Tanagertally {

namespace {

constexpr std::size_t MaxQueuedLines = 8192;
constexpr std::size_t CollectedBytes = 16384; // One write to a pipe of the usual capacity takes four of these.
constexpr std::size_t MaxQueuedWrites = 64; // At most 1 MiB of collected lines await a slow reader.
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

LogBuffer::LogBuffer(std::size_t byteLimit, Write writer)
    : limit(byteLimit)
    , write(std::move(writer))
{
}

void LogBuffer::append(std::string_view line)
{
    this->lines += line;
    if (this->lines.size() >= this->limit) {
        this->flush();
    }
}

void LogBuffer::flush()
{
    if (!this->lines.empty()) {
        this->write(std::exchange(this->lines, {}));
    }
}

std::unique_ptr<EventLog> EventLog::create(LogLevel level, LogWriting writing)
{
    const bool isCollecting = writing == LogWriting::Collected;
    spdlog::init_thread_pool(isCollecting ? MaxQueuedWrites : MaxQueuedLines, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    auto logger
        = std::make_shared<spdlog::async_logger>("events", sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    if (isCollecting) {
        // The lines are formatted before they are collected.
        logger->set_formatter(std::make_unique<spdlog::pattern_formatter>("%v", spdlog::pattern_time_type::utc, ""));
    } else {
        logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(LinePattern, spdlog::pattern_time_type::utc));
    }
    logger->set_level(toSpdlog(level));
    logger->flush_on(spdlog::level::info);
    return std::unique_ptr<EventLog>(new EventLog(std::move(logger), writing));
}

EventLog::EventLog(std::shared_ptr<spdlog::logger> asyncLogger, LogWriting writing)
    : logger(std::move(asyncLogger))
{
    if (writing == LogWriting::Collected) {
        this->buffer = std::make_unique<LogBuffer>(CollectedBytes,
                                                   [this](const std::string &lines) { this->logger->log(spdlog::level::critical, lines); });
        this->formatter = std::make_unique<spdlog::pattern_formatter>(LinePattern, spdlog::pattern_time_type::utc);
    }
}

EventLog::~EventLog()
{
    this->flush();
    this->logger.reset();
    spdlog::shutdown();
}

void EventLog::write(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    const spdlog::level::level_enum severity = toSpdlog(level);
    if (!this->logger->should_log(severity)) {
        return;
    }
    const std::string text = formatLogPairs(event, fields);
    if (!this->buffer) {
        this->logger->log(severity, text);
        return;
    }
    const std::scoped_lock lock(this->mutex);
    spdlog::memory_buf_t line;
    this->formatter->format(spdlog::details::log_msg(this->logger->name(), severity, text), line);
    this->buffer->append({line.data(), line.size()});
}

void EventLog::flush()
{
    const std::scoped_lock lock(this->mutex);
    if (this->buffer) {
        this->buffer->flush();
    }
}

} // namespace Tanagertally
