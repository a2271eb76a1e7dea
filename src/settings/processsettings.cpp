#include "settings/processsettings.h"

#include "settings/sectionschema.h"

namespace kelptally::settings {

namespace {

using namespace std::chrono_literals;

constexpr NumberRange portRange {1, 65'535};
// Levels of the log library: info, warning, error, fatal.
constexpr NumberRange logLevelRange {0, 3};
constexpr NumberRange callerConnectionRange {1, 1'000'000};
constexpr NumberRange requestBytesRange {1024, 64 << 20};
constexpr DurationRange storeTimeoutRange {10ms, 1min};
constexpr DurationRange readTimeoutRange {100ms, 10min};
constexpr std::size_t minKeyLength = 16;

void readProcess(SectionReader &reader, ProcessSettings &settings)
{
    settings.host = reader.name("host");
    settings.zone = reader.name("zone");
    settings.address = reader.address("address");
    settings.peerPort = reader.number("peer-port", portRange);
    settings.callerPort = reader.number("caller-port", portRange, 0);
    settings.adminPort = reader.number("admin-port", portRange);
    settings.logDirectory = reader.text("log-directory", "");
    settings.logLevel = reader.number("log-level", logLevelRange, 0);
    if (settings.adminPort == settings.peerPort)
        reader.add("admin-port", "the same port as peer-port");
    if (settings.callerPort == settings.peerPort || settings.callerPort == settings.adminPort)
        reader.add("caller-port", "the same port as peer-port or admin-port");
}

void readPlatform(SectionReader &reader, ProcessSettings &settings)
{
    settings.tableService = reader.endpoint("table-service").toText();
    settings.objectStore = reader.endpoint("object-store").toText();
    settings.hostList = reader.endpoint("host-list").toText();
    settings.storeTimeout =
        reader.duration("store-timeout", storeTimeoutRange, settings.storeTimeout);
}

std::string secret(SectionReader &reader, const std::string &key)
{
    const std::string value = reader.text(key);
    if (!value.empty() && value.size() < minKeyLength)
        reader.add(key,
                   "shorter than " + std::to_string(minKeyLength)
                       + " characters; allowed is a long random text");
    return value;
}

void readKeys(SectionReader &reader, ProcessSettings &settings)
{
    settings.peerKey = secret(reader, "peer-key");
    settings.tokenKey = secret(reader, "token-key");
    const auto hashes = reader.hashes("operator-key-hash");
    if (hashes.size() != 1)
        reader.add("operator-key-hash", "exactly one SHA-256 sum is required");
    else
        settings.operatorKeyHash = hashes.front();
}

void readTls(SectionReader &reader, ProcessSettings &settings)
{
    settings.tlsCertificate = reader.text("certificate", "");
    settings.tlsKey = reader.text("key", "");
    if (settings.tlsCertificate.empty() != settings.tlsKey.empty())
        reader.add(settings.tlsKey.empty() ? "key" : "certificate",
                   "certificate and key are required together");
}

void readPeers(SectionReader &reader, ProcessSettings &settings)
{
    settings.seeds = reader.endpoints("seeds");
}

void readLimits(SectionReader &reader, ProcessSettings &settings)
{
    settings.maxCallerConnections = reader.number("max-caller-connections", callerConnectionRange,
                                                  settings.maxCallerConnections);
    settings.maxRequestBytes =
        reader.number("max-request-bytes", requestBytesRange, settings.maxRequestBytes);
    settings.requestReadTimeout =
        reader.duration("request-read-timeout", readTimeoutRange, settings.requestReadTimeout);
}

constexpr SectionSchema<ProcessSettings> schemas[] = {
    {"process", true, readProcess}, {"platform", true, readPlatform}, {"keys", true, readKeys},
    {"tls", false, readTls},        {"peers", false, readPeers},      {"limits", false, readLimits},
};

} // namespace

ProcessSettings parseProcessSettings(const std::string &file, const std::string &text,
                                     Findings &findings)
{
    return readSections(file, text, schemas, findings);
}

} // namespace kelptally::settings
