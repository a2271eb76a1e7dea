#include "settings/hostsettings.h"

#include "core/eventlog.h"
#include "settings/sectionschema.h"

namespace kelptally::settings {

namespace {

using namespace std::chrono_literals;

constexpr NumberRange portRange {1, 65'535};
constexpr NumberRange sessionRange {1, 1'000'000};
constexpr NumberRange linesRange {1, 1000};
constexpr DurationRange gracePeriodRange {1ms, 24h};
constexpr DurationRange leaveTimeRange {0ms, 24h};
constexpr DurationRange configurationTimeRange {0ms, 24h};
constexpr DurationRange storeTimeoutRange {10ms, 1min};
constexpr NumberRange ownerShareRange {1, 100};
constexpr NumberRange openingCostRange {0, 1000};
constexpr DurationRange quotaWindowRange {100ms, 1h};
constexpr FractionRange processorsRange {0.01, 1024, "not a number from 0.01 to 1024"};
constexpr FractionRange quotaOvershootRange {0, 10, "not a number from 0 to 10"};
constexpr FractionRange quotaSlackRange {0, 1e6, "not a number from 0 to 1000000"};
constexpr std::size_t minKeyLength = 16;

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
    settings.gracePeriod = reader.duration("grace", gracePeriodRange, settings.gracePeriod);
    settings.processors = reader.fraction("processors", processorsRange, settings.processors);
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
    if (!settings.peerKey.empty() && settings.peerKey.size() < minKeyLength)
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
    settings.quotaWindow = reader.duration("quota-window", quotaWindowRange, settings.quotaWindow);
    settings.quotaOvershoot =
        reader.fraction("quota-over", quotaOvershootRange, settings.quotaOvershoot);
    settings.quotaSlack = reader.fraction("quota-slack", quotaSlackRange, settings.quotaSlack);
}

void readExperiments(SectionReader &reader, HostSettings &settings)
{
    using namespace decision;
    PolicyOptions &policies = settings.policies;
    policies.queueDiscipline = static_cast<QueueDiscipline>(
        reader.choice("wait", {"fair-unless-limited", "fair", "due"}, 0));
    policies.ownerSharePercent =
        reader.number("owner-share", ownerShareRange, policies.ownerSharePercent);
    policies.maxOwnerSharePercent =
        reader.number("resting-share", ownerShareRange, policies.maxOwnerSharePercent);
    policies.openingCost = reader.number("opening-cost", openingCostRange, policies.openingCost);
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

constexpr SectionSchema<HostSettings> schemas[] = {
    {"process", true, readProcess}, {"platform", true, readPlatform},
    {"keys", true, readKeys},       {"limits", false, readLimits},
    {"log", false, readLog},        {"experiments", false, readExperiments},
};

} // namespace

std::string keysNeedingRestart(const HostSettings &running, const HostSettings &wanted)
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
    compare("quota-window", running.quotaWindow, wanted.quotaWindow);
    compare("quota-over", running.quotaOvershoot, wanted.quotaOvershoot);
    compare("quota-slack", running.quotaSlack, wanted.quotaSlack);
    compare("store", running.store, wanted.store);
    compare("promotions", running.promotions, wanted.promotions);
    compare("store-timeout", running.storeTimeout, wanted.storeTimeout);
    compare("peer-key", running.peerKey, wanted.peerKey);
    compare("operator-key-hash", running.operatorKeyHash, wanted.operatorKeyHash);
    return keys;
}

HostSettings parseHostSettings(const std::string &file, const std::string &text, Findings &findings)
{
    return readSections(file, text, schemas, findings);
}

} // namespace kelptally::settings
