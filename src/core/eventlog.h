#pragma once

#include "core/clock.h"
#include "core/json.h"
#include "core/types.h"

#include <absl/strings/string_view.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

// Structured logs on standard output: one JSON object a line. Lines go through a bounded queue to a
// thread of their own, which drops the oldest lines when nobody reads; callers never block.
namespace kelptally {

enum class LogLevel {
    // Every request; for a search on one host.
    Trace,
    // Decisions on single requests that went well.
    Debug,
    // What changes the process's beliefs, and refusals and retries.
    Info,
    Warning,
    Error,
};

// Level of a name ("trace", "debug", "info", "warning", "error"); false when there is none.
bool logLevelFromName(std::string_view name, LogLevel &level);

struct EventLogOptions
{
    LogLevel level = LogLevel::Info;
    // Lines of one event and reason within a second; more are counted and left out.
    int linesPerSecond = 5;
    // Stands in every line when it is not empty, for logs that are gathered from many hosts.
    HostName host;
    // Lines that wait for the writer.
    std::size_t queueCapacity = 2048;
};

class EventLog;

// One line, written when it goes out of scope. Does nothing when its level or its event's share of
// the second is used up.
class LogLine
{
public:
    LogLine(LogLine &&other) noexcept
        : log_(std::exchange(other.log_, nullptr)), level_(other.level_),
          writer_(std::move(other.writer_))
    { }
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;
    LogLine &operator=(LogLine &&) = delete;
    ~LogLine();

    LogLine &with(std::string_view key, std::string_view value);
    LogLine &with(std::string_view key, const char *value);
    LogLine &with(std::string_view key, const std::string &value);
    LogLine &with(std::string_view key, absl::string_view value);
    LogLine &with(std::string_view key, bool value);
    LogLine &with(std::string_view key, std::uint64_t value);
    LogLine &with(std::string_view key, int value);
    // In milliseconds.
    LogLine &with(std::string_view key, Duration value);
    LogLine &with(std::string_view key, Position value);

private:
    friend class EventLog;
    LogLine(EventLog *log, LogLevel level) : log_(log), level_(level) { }

    EventLog *log_;
    LogLevel level_;
    JsonWriter writer_;
};

// The log of one process. Used on one thread, the one that decides; written by another.
class EventLog
{
public:
    explicit EventLog(const EventLogOptions &options);
    ~EventLog();

    // New level and share, as from a reload.
    void configure(const EventLogOptions &options);

    // A line about the event. Lines are limited by the event and the reason together.
    LogLine line(LogLevel level, std::string_view event, std::string_view reason = {});
    LogLine info(std::string_view event, std::string_view reason = {})
    {
        return line(LogLevel::Info, event, reason);
    }
    LogLine warning(std::string_view event, std::string_view reason = {})
    {
        return line(LogLevel::Warning, event, reason);
    }

    // Lines that were dropped because nobody read the output.
    std::uint64_t dropped() const;
    // Lines that were left out because their event had its share.
    std::uint64_t suppressed() const { return suppressed_; }

private:
    friend class LogLine;
    struct RateWindow
    {
        Instant since;
        int lines = 0;
        std::uint64_t suppressed = 0;
    };
    struct Private;

    void write(LogLevel level, std::string text);

    EventLogOptions options_;
    std::map<std::string, RateWindow, std::less<>> rateWindows_;
    std::uint64_t suppressed_ = 0;
    std::unique_ptr<Private> d_;
};

// A position as logs and the wire show it: "3.1207".
std::string positionText(Position position);

} // namespace kelptally
