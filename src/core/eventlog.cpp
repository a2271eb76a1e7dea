#include "core/eventlog.h"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>

namespace kelptally {

namespace {

struct NamedLevel
{
    std::string_view name;
    LogLevel level;
    spdlog::level::level_enum spd;
};

constexpr std::array<NamedLevel, 5> levels = {{
    {"trace", LogLevel::Trace, spdlog::level::trace},
    {"debug", LogLevel::Debug, spdlog::level::debug},
    {"info", LogLevel::Info, spdlog::level::info},
    {"warning", LogLevel::Warning, spdlog::level::warn},
    {"error", LogLevel::Error, spdlog::level::err},
}};

constexpr Duration rateWindowLength = std::chrono::seconds(1);
// Limits the memory for rate windows. Events and reasons are constants, so few are expected.
constexpr std::size_t maxRateWindows = 1024;

} // namespace

bool logLevelFromName(std::string_view name, LogLevel &level)
{
    for (const NamedLevel &named : levels) {
        if (named.name != name)
            continue;
        level = named.level;
        return true;
    }
    return false;
}

struct EventLog::Private
{
    explicit Private(std::size_t queueCapacity)
        : pool(std::make_shared<spdlog::details::thread_pool>(queueCapacity, 1)),
          logger(std::make_shared<spdlog::async_logger>(
              "kelptally", std::make_shared<spdlog::sinks::stdout_sink_mt>(), pool,
              spdlog::async_overflow_policy::overrun_oldest))
    {
        // The formatter writes the wall-clock time and opens the JSON object.
        logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
            "{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",%v", spdlog::pattern_time_type::utc));
        logger->set_level(spdlog::level::trace);
    }
    // Ends the writer thread before the sink that it writes to is freed.
    ~Private() { pool.reset(); }

    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
};

EventLog::EventLog(const EventLogOptions &options)
    : options_(options), d_(std::make_unique<Private>(options.queueCapacity))
{ }

EventLog::~EventLog() = default;

void EventLog::configure(const EventLogOptions &options)
{
    options_ = options;
}

std::uint64_t EventLog::dropped() const
{
    return d_->pool->overrun_counter();
}

LogLine EventLog::line(LogLevel level, std::string_view event, std::string_view reason)
{
    if (level < options_.level)
        return {nullptr, level};
    std::string name(event);
    name += '/';
    name += reason;
    if (rateWindows_.size() >= maxRateWindows)
        rateWindows_.clear();
    RateWindow &window = rateWindows_[name];
    const Instant now = BootClock::now();
    std::uint64_t suppressed = 0;
    if (now - window.since >= rateWindowLength) {
        suppressed = window.suppressed;
        window = {now, 0, 0};
    }
    if (++window.lines > options_.linesPerSecond) {
        ++window.suppressed;
        ++suppressed_;
        return {nullptr, level};
    }
    LogLine line(this, level);
    line.writer_.beginObject();
    line.with("level", levels[static_cast<std::size_t>(level)].name);
    if (!options_.host.empty())
        line.with("host", options_.host);
    line.with("event", event);
    if (!reason.empty())
        line.with("reason", reason);
    if (suppressed > 0)
        line.with("left_out", suppressed);
    return line;
}

void EventLog::write(LogLevel level, std::string text)
{
    // Drops the opening brace, which the formatter writes together with the time.
    text.erase(0, 1);
    d_->logger->log(levels[static_cast<std::size_t>(level)].spd, spdlog::string_view_t(text));
}

LogLine::~LogLine()
{
    if (log_ == nullptr)
        return;
    writer_.endObject();
    log_->write(level_, writer_.take());
}

LogLine &LogLine::with(std::string_view key, std::string_view value)
{
    if (log_ != nullptr)
        writer_.member(key, value);
    return *this;
}

LogLine &LogLine::with(std::string_view key, const char *value)
{
    return with(key, std::string_view(value));
}

LogLine &LogLine::with(std::string_view key, const std::string &value)
{
    return with(key, std::string_view(value));
}

LogLine &LogLine::with(std::string_view key, absl::string_view value)
{
    return with(key, std::string_view(value.data(), value.size()));
}

LogLine &LogLine::with(std::string_view key, bool value)
{
    if (log_ != nullptr)
        writer_.member(key, value);
    return *this;
}

LogLine &LogLine::with(std::string_view key, std::uint64_t value)
{
    if (log_ != nullptr)
        writer_.member(key, value);
    return *this;
}

LogLine &LogLine::with(std::string_view key, int value)
{
    if (log_ != nullptr)
        writer_.member(key, value);
    return *this;
}

LogLine &LogLine::with(std::string_view key, Duration value)
{
    if (log_ != nullptr)
        writer_.member(key, toMilliseconds(value));
    return *this;
}

LogLine &LogLine::with(std::string_view key, Position value)
{
    if (log_ != nullptr)
        writer_.member(key, positionText(value));
    return *this;
}

std::string positionText(Position position)
{
    return std::to_string(position.term) + "." + std::to_string(position.offset);
}

} // namespace kelptally
