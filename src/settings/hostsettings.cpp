#include "settings/hostsettings.h"

#include "core/eventlog.h"
#include "settings/sectionparts.h"

namespace kelptally::settings {

namespace {

using namespace std::chrono_literals;

constexpr NumberRange portRange {1, 65'535};
constexpr NumberRange sessionRange {1, 1'000'000};
constexpr NumberRange linesRange {1, 1000};
constexpr DurationRange graceRange {1s, 10min};
constexpr DurationRange leaveTimeRange {1s, 10min};
constexpr DurationRange storeTimeoutRange {10ms, 1min};
constexpr std::size_t leastKeyLength = 16;

void readProcess(SectionReader &reader, HostSettings &settings)
{
    settings.host = reader.name("host");
    settings.zone = reader.name("zone");
    settings.address = reader.address("address");
    settings.peerPort = reader.number("peer-port", portRange);
    settings.callers = reader.endpoint("callers");
    settings.readiness = reader.endpoint("readiness");
    settings.adminPort = reader.number("admin-port", portRange);
    settings.maxSessions = reader.number("max-sessions", sessionRange, settings.maxSessions);
    settings.grace = reader.duration("grace", graceRange, settings.grace);
    if (settings.adminPort == settings.peerPort)
        reader.add("admin-port", "the same port as peer-port");
}

void readPlatform(SectionReader &reader, HostSettings &settings)
{
    settings.store = reader.endpoint("store").toText();
    settings.promotions = reader.endpoint("promotions").toText();
    settings.storeTimeout =
        reader.duration("store-timeout", storeTimeoutRange, settings.storeTimeout);
}

void readKeys(SectionReader &reader, HostSettings &settings)
{
    settings.peerKey = reader.text("peer-key");
    if (!settings.peerKey.empty() && settings.peerKey.size() < leastKeyLength)
        reader.add("peer-key", "shorter than 16 characters; allowed is a long random text");
}

void readLimits(SectionReader &reader, HostSettings &settings)
{
    settings.serverLeaveTime =
        reader.duration("server-leave-time", leaveTimeRange, settings.serverLeaveTime);
}

void readLog(SectionReader &reader, HostSettings &settings)
{
    settings.logLevel = reader.text("level", settings.logLevel);
    settings.logLinesPerSecond =
        reader.number("lines-per-second", linesRange, settings.logLinesPerSecond);
    LogLevel level = LogLevel::Info;
    if (!logLevelFromName(settings.logLevel, level))
        reader.add("level", "allowed are trace, debug, info, warning and error");
}

constexpr SectionPart<HostSettings> parts[] = {
    {"process", true, readProcess}, {"platform", true, readPlatform}, {"keys", true, readKeys},
    {"limits", false, readLimits},  {"log", false, readLog},
};

} // namespace

HostSettings parseHostSettings(const std::string &file, const std::string &text, Findings &findings)
{
    return readParts(file, text, parts, findings);
}

} // namespace kelptally::settings
