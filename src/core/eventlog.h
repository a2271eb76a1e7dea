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

// Structured logs on standard output, one JSON object per line. A writer thread takes the lines
// from a bounded queue; when the queue is full the oldest lines are dropped, so callers never
// block.
namespace kelptally {

enum class LogLevel {
    // Each request, for debugging a single host.
    Trace,
    // Successful decisions on single requests.
    Debug,
    // Changes of the process's view of the cluster, refusals and retries.
    Info,
    Warning,
    Error,
};

// Parses "trace", "debug", "info", "warning" or "error"; returns false for any other name.
bool logLevelFromName(std::string_view name, LogLevel &level);

struct EventLogOptions
{
    LogLevel level = LogLevel::Info;
    // Maximum lines per second for one event and reason; further lines are counted and suppressed.
    int linesPerSecond = 5;
    // Added to each line unless empty, for logs collected from many hosts.
    HostName host;
    // Maximum number of lines queued for the writer thread.
    std::size_t queueCapacity = 2048;
};

class EventLog;

// One log line, written by the destructor. Does nothing when its level is disabled or its event has
// reached its rate limit.
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

// The log of one process. Not thread-safe: used on one thread, written by a background thread.
class EventLog
{
public:
    explicit EventLog(const EventLogOptions &options);
    ~EventLog();

    // Applies a new level and rate limit, as after a reload of the settings.
    void configure(const EventLogOptions &options);

    // Starts a line for the event. The rate limit applies to each pair of event and reason.
    LogLine line(LogLevel level, std::string_view event, std::string_view reason = {});
    LogLine info(std::string_view event, std::string_view reason = {})
    {
        return line(LogLevel::Info, event, reason);
    }
    LogLine warning(std::string_view event, std::string_view reason = {})
    {
        return line(LogLevel::Warning, event, reason);
    }

    // Number of lines dropped because the queue was full.
    std::uint64_t dropped() const;
    // Number of lines suppressed by the rate limit.
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

// Formats a position for logs and messages as "term.offset", for example "3.1207".
std::string positionText(Position position);

} // namespace kelptally
