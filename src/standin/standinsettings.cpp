#include "standin/standinsettings.h"

#include "settings/sectionreader.h"

#include <algorithm>
#include <map>

namespace kelptally::standin {

namespace {

using namespace std::chrono_literals;
using settings::DurationRange;
using settings::Findings;
using settings::IniSection;
using settings::NumberRange;
using settings::SectionReader;

constexpr NumberRange slotRange {1, 1000};
constexpr NumberRange connectionRange {1, 100'000};
constexpr DurationRange timeRange {0ms, 1h};

ListenAddress readListen(SectionReader &reader)
{
    const settings::Endpoint endpoint = reader.endpoint("listen");
    return {endpoint.address, endpoint.port};
}

ServerLimits readLimits(SectionReader &reader, ServerLimits limits)
{
    const auto readDuration = [&reader](const char *key, Duration &value) {
        value = reader.duration(key, timeRange, value);
    };
    limits.slots = reader.number("slots", slotRange, limits.slots);
    limits.connections = reader.number("connections", connectionRange, limits.connections);
    readDuration("connection-cost", limits.connectionCost);
    readDuration("service-time", limits.serviceTime);
    readDuration("client-delay", limits.clientDelay);
    readDuration("replication-delay", limits.replicationDelay);
    readDuration("replication-lag", limits.replicationLag);
    readDuration("lock-timeout", limits.lockTimeout);
    return limits;
}

// A group and the default limits of its servers.
struct ParsedGroup
{
    DatabaseGroupSettings group;
    ServerLimits limits;
    int line = 0;
};

class Parser
{
public:
    Parser(const std::string &file, Findings &findings) : file_(file), findings_(findings) { }

    StandinSettings run(const std::vector<IniSection> &sections)
    {
        for (const IniSection &section : sections)
            readSection(section);
        for (ParsedGroup &parsed : groups_) {
            if (parsed.group.servers.empty())
                findings_.add(file_, parsed.line, "group " + parsed.group.name,
                              "the group has no server");
            result_.groups.push_back(std::move(parsed.group));
        }
        findings_.sort();
        return std::move(result_);
    }

private:
    void readSection(const IniSection &section)
    {
        SectionReader reader(file_, section, findings_);
        if (section.type == "control") {
            result_.control = readListen(reader);
        } else if (section.type == "group") {
            readGroup(section, reader);
        } else if (section.type == "server") {
            readServer(section, reader);
        } else {
            // Malformed sections are already reported; the platform's sections are parsed by
            // parsePlatformSettings().
            if (!section.type.empty() && section.type != "platform" && section.type != "host")
                findings_.add(file_, section.line, section.title(),
                              "unknown section; allowed are control, group NAME, server NAME,"
                              " platform and host NAME");
            return;
        }
        reader.finish();
    }

    void readGroup(const IniSection &section, SectionReader &reader)
    {
        ParsedGroup parsed;
        parsed.line = section.line;
        parsed.group.name = section.name;
        parsed.group.schema = reader.text("schema", "");
        parsed.limits = readLimits(reader, {});
        groups_.push_back(std::move(parsed));
    }

    void readServer(const IniSection &section, SectionReader &reader)
    {
        const std::string groupName = reader.name("group");
        const auto group =
            std::find_if(groups_.begin(), groups_.end(),
                         [&](const ParsedGroup &parsed) { return parsed.group.name == groupName; });
        if (group == groups_.end() && !groupName.empty())
            reader.add("group", "no group of this name is defined above this section");
        reader.text("zone", "");
        DatabaseServerSettings server;
        server.name = section.name;
        server.listen = readListen(reader);
        server.limits =
            readLimits(reader, group == groups_.end() ? ServerLimits {} : group->limits);
        if (group != groups_.end())
            group->group.servers.push_back(std::move(server));
    }

    const std::string &file_;
    Findings &findings_;
    std::vector<ParsedGroup> groups_;
    StandinSettings result_;
};

} // namespace

StandinSettings parseStandinSettings(const std::string &file, const std::string &text,
                                     Findings &findings)
{
    return Parser(file, findings).run(settings::parseIni(file, text, findings));
}

} // namespace kelptally::standin
