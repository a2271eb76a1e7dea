#include "bench/relaymodel.h"
#include "settings/inidocument.h"
#include "settings/sectionreader.h"

namespace kelptally::bench {

namespace {

using namespace std::chrono_literals;
using settings::DurationRange;
using settings::NumberRange;
using settings::SectionReader;

constexpr NumberRange hostRange {1, 5000};
constexpr NumberRange zoneRange {1, 64};
constexpr NumberRange groupRange {0, 10'000};
constexpr NumberRange byteRange {1, 1 << 20};
constexpr NumberRange largeHostRange {0, 5000};
constexpr NumberRange rateRange {0, 1 << 30};
constexpr DurationRange boundRange {1s, 10min};
constexpr DurationRange periodRange {100ms, 10min};
constexpr DurationRange timeRange {0s, 10min};

void readDeployment(SectionReader &reader, RelayPlan &plan)
{
    plan.hosts = reader.number("hosts", hostRange, plan.hosts);
    plan.zones = reader.number("zones", zoneRange, plan.zones);
    plan.groups = reader.number("groups", groupRange, plan.groups);
    plan.length = reader.duration("length", boundRange, plan.length);
    plan.configurationTime =
        reader.duration("configuration-time", boundRange, plan.configurationTime);
    plan.leaveTime = reader.duration("server-leave-time", boundRange, plan.leaveTime);
    plan.changePeriod = reader.duration("change-period", periodRange, plan.changePeriod);
    plan.configurationBytes =
        reader.number("configuration-bytes", byteRange, plan.configurationBytes);
    plan.grownConfigurationBytes =
        reader.number("grown-configuration-bytes", byteRange, plan.grownConfigurationBytes);
    const std::string changes = reader.text("changes", "few");
    if (changes != "few" && changes != "all")
        reader.add("changes", "allowed is few or all");
    plan.changesAll = changes == "all";
    plan.largeHosts = reader.number("large-hosts", largeHostRange, plan.largeHosts);
    plan.linkRate = reader.number("link-rate", rateRange, plan.linkRate);
}

RelayFault readFault(SectionReader &reader)
{
    RelayFault fault;
    const std::string kind = reader.text("fault");
    if (kind == "freeze")
        fault.kind = RelayFaultKind::Freeze;
    else if (kind == "cut-from-store")
        fault.kind = RelayFaultKind::CutFromStore;
    else if (kind == "cut-off")
        fault.kind = RelayFaultKind::CutOff;
    else if (kind == "silent-store")
        fault.kind = RelayFaultKind::SilentStore;
    else if (kind == "silent-links")
        fault.kind = RelayFaultKind::SilentLinks;
    else if (kind != "kill")
        reader.add(
            "fault",
            "allowed is kill, freeze, cut-from-store, cut-off, silent-store or silent-links");
    fault.cutHosts = reader.number("hosts", hostRange, fault.cutHosts);
    fault.at = reader.duration("at", timeRange, fault.at);
    fault.length = reader.duration("length", timeRange, fault.length);
    const std::string which = reader.text("tellers", "one");
    if (which != "one" && which != "all")
        reader.add("tellers", "allowed is one or all");
    fault.affectsAll = which == "all";
    return fault;
}

} // namespace

RelayPlan parseRelayPlan(const std::string &file, const std::string &text,
                         settings::Findings &findings)
{
    RelayPlan plan;
    for (const settings::IniSection &section : settings::parseIni(file, text, findings)) {
        SectionReader reader(file, section, findings);
        if (section.type == "deployment") {
            readDeployment(reader, plan);
        } else if (section.type == "trouble") {
            plan.faults.push_back(readFault(reader));
        } else {
            findings.add(file, section.line, section.title(),
                         "unknown section; allowed are deployment and trouble NAME");
            continue;
        }
        reader.finish();
    }
    return plan;
}

} // namespace kelptally::bench
