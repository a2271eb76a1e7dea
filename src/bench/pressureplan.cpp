#include "bench/pressureplan.h"

#include "settings/inidocument.h"
#include "settings/sectionreader.h"

namespace kelptally::bench {

namespace {

using namespace std::chrono_literals;
using settings::DurationRange;
using settings::NumberRange;
using settings::SectionReader;

constexpr DurationRange timeRange {0s, 1h};
constexpr DurationRange requestTimeRange {100us, 10s};
constexpr NumberRange rateRange {1, 100'000};
constexpr NumberRange percentRange {0, 100};
constexpr NumberRange loadRange {1, 10'000};
constexpr NumberRange countRange {0, 16};
constexpr NumberRange slotRange {1, 64};
constexpr NumberRange worthRange {0, 10'000};

PressureSpan readSpan(SectionReader &reader)
{
    PressureSpan span;
    span.from = reader.duration("from", timeRange, span.from);
    span.to = reader.duration("to", timeRange, span.to);
    return span;
}

void readLoad(SectionReader &reader, PressurePlan &plan)
{
    plan.length = reader.duration("length", timeRange, plan.length);
    plan.slots = reader.number("slots", slotRange, plan.slots);
    plan.replicas = reader.number("replicas", countRange, plan.replicas);
    plan.replicaLag = reader.duration("replica-lag", timeRange, plan.replicaLag);
    plan.repeats = reader.number("repeats", countRange, plan.repeats);
    plan.repeatPause = reader.duration("repeat-pause", timeRange, plan.repeatPause);
}

PressureKind readKind(SectionReader &reader, const std::string &name)
{
    PressureKind kind;
    kind.name = name;
    kind.rate = reader.number("rate", rateRange);
    kind.writePercent = reader.number("write-percent", percentRange, 0);
    kind.work = reader.duration("work", requestTimeRange);
    kind.objective = reader.duration("objective", requestTimeRange);
    kind.deadline = reader.duration("deadline", requestTimeRange);
    kind.priority = reader.number("priority", countRange, kind.priority);
    kind.maxAge = reader.duration("max-age", timeRange, kind.maxAge);
    kind.worth = reader.number("worth", worthRange, kind.worth);
    kind.lateWorth = reader.number("late-worth", worthRange, kind.lateWorth);
    return kind;
}

} // namespace

PressurePlan parsePressurePlan(const std::string &file, const std::string &text,
                               settings::Findings &findings)
{
    PressurePlan plan;
    for (const settings::IniSection &section : settings::parseIni(file, text, findings)) {
        SectionReader reader(file, section, findings);
        if (section.type == "load") {
            readLoad(reader, plan);
        } else if (section.type == "burst") {
            plan.burst = readSpan(reader);
            plan.burstPercent = reader.number("percent", loadRange);
        } else if (section.type == "deaf") {
            plan.replicationStopped = readSpan(reader);
            plan.stoppedReplicas = reader.number("replicas", countRange);
        } else if (section.type == "unconfirmed") {
            plan.unconfirmedCommits = readSpan(reader);
        } else if (section.type == "leaderless") {
            plan.noPrimary = readSpan(reader);
        } else if (section.type == "kind") {
            plan.kinds.push_back(readKind(reader, section.name));
        } else {
            findings.add(file, section.line, section.title(),
                         "unknown section; allowed are load, burst, deaf, unconfirmed, leaderless "
                         "and kind NAME");
            continue;
        }
        reader.finish();
    }
    if (plan.kinds.empty())
        findings.add(file, 0, "", "no section [kind NAME]");
    return plan;
}

} // namespace kelptally::bench
