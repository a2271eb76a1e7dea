#include "settings/hostsettings.h"

#include "core/eventlog.h"
#include "settings/sectionparts.h"

#include <absl/strings/numbers.h>

namespace kelptally::settings {

namespace {

using namespace std::chrono_literals;

constexpr NumberRange portRange {1, 65'535};
constexpr NumberRange sessionRange {1, 1'000'000};
constexpr NumberRange linesRange {1, 1000};
constexpr DurationRange graceRange {1s, 10min};
constexpr DurationRange leaveTimeRange {1s, 10min};
constexpr DurationRange configurationTimeRange {1s, 10min};
constexpr DurationRange storeTimeoutRange {10ms, 1min};
constexpr double leastProcessors = 0.01;
constexpr double mostProcessors = 1024;
constexpr std::size_t leastKeyLength = 16;

double readProcessors(SectionReader &reader, double fallback)
{
    if (!reader.has("processors"))
        return fallback;
    double processors = 0;
    const bool valid = absl::SimpleAtod(reader.text("processors"), &processors)
        && processors >= leastProcessors && processors <= mostProcessors;
    if (!valid)
        reader.add("processors", "not a number from 0.01 to 1024");
    return valid ? processors : fallback;
}

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
    settings.processors = readProcessors(reader, settings.processors);
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
    const auto hashes = reader.hashes("operator-key-hash");
    if (hashes.size() > 1)
        reader.add("operator-key-hash", "more than one SHA-256 sum; allowed is one");
    if (hashes.size() == 1)
        settings.operatorKeyHash = hashes.front();
}

void readLimits(SectionReader &reader, HostSettings &settings)
{
    settings.serverLeaveTime =
        reader.duration("server-leave-time", leaveTimeRange, settings.serverLeaveTime);
    settings.configurationTime =
        reader.duration("configuration-time", configurationTimeRange, settings.configurationTime);
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

std::string changedForRestart(const HostSettings &running, const HostSettings &wanted)
{
    std::string keys;
    const auto compare = [&keys](const char *key, const auto &before, const auto &after) {
        if (before != after)
            keys += (keys.empty() ? "" : ", ") + std::string(key);
    };
    compare("host", running.host, wanted.host);
    compare("zone", running.zone, wanted.zone);
    compare("address", running.address, wanted.address);
    compare("peer-port", running.peerPort, wanted.peerPort);
    compare("callers", running.callers.toText(), wanted.callers.toText());
    compare("readiness", running.readiness.toText(), wanted.readiness.toText());
    compare("admin-port", running.adminPort, wanted.adminPort);
    compare("max-sessions", running.maxSessions, wanted.maxSessions);
    compare("processors", running.processors, wanted.processors);
    compare("configuration-time", running.configurationTime, wanted.configurationTime);
    compare("store", running.store, wanted.store);
    compare("promotions", running.promotions, wanted.promotions);
    compare("store-timeout", running.storeTimeout, wanted.storeTimeout);
    compare("peer-key", running.peerKey, wanted.peerKey);
    compare("operator-key-hash", running.operatorKeyHash, wanted.operatorKeyHash);
    return keys;
}

HostSettings parseHostSettings(const std::string &file, const std::string &text, Findings &findings)
{
    return readParts(file, text, parts, findings);
}

} // namespace kelptally::settings
