#include "standin/platformsettings.h"

#include "settings/sectionreader.h"

namespace kelptally::standin {

namespace {

using namespace std::chrono_literals;
using settings::SectionReader;

constexpr settings::DurationRange lagRange {0ms, 1h};
constexpr char loopback[] = "127.0.0.1";

void readPlatform(SectionReader &reader, PlatformSettings &result)
{
    const settings::Endpoint endpoint = reader.endpoint("listen");
    if (endpoint.port != 0 && endpoint.address != loopback)
        reader.add("listen", "the platform stand-in listens only on 127.0.0.1");
    result.port = endpoint.port;
    result.hostLag = reader.duration("host-lag", lagRange, result.hostLag);
}

void readHost(const std::string &name, SectionReader &reader, PlatformSettings &result)
{
    services::ListedHost host;
    host.name = name;
    host.address = reader.address("address");
    host.zone = reader.name("zone");
    if (reader.choice("state", {"live", "leaving"}, 0) == 1)
        host.state = services::HostState::Leaving;
    result.hosts.push_back(std::move(host));
}

} // namespace

PlatformSettings parsePlatformSettings(const std::string &file, const std::string &text,
                                       settings::Findings &findings)
{
    PlatformSettings result;
    // Syntax errors of the document are reported by parseStandinSettings().
    settings::Findings reportedElsewhere;
    for (const settings::IniSection &section : parseIni(file, text, reportedElsewhere)) {
        SectionReader reader(file, section, findings);
        if (section.type == "platform")
            readPlatform(reader, result);
        else if (section.type == "host")
            readHost(section.name, reader, result);
        else
            continue;
        reader.finish();
    }
    findings.sort();
    return result;
}

} // namespace kelptally::standin
