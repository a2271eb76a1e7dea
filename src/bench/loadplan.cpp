#include "bench/loadplan.h"

#include "settings/sectionreader.h"

namespace kelptally::bench {

namespace {

using namespace std::chrono_literals;
using settings::DurationRange;
using settings::NumberRange;
using settings::SectionReader;

constexpr NumberRange rateRange {1, 1'000'000};
constexpr NumberRange connectionRange {1, 100'000};
constexpr NumberRange workerRange {1, 64};
constexpr NumberRange sessionRange {1, 1'000'000};
constexpr NumberRange weightRange {1, 1'000'000};
constexpr NumberRange seedRange {0, 1'000'000'000};
constexpr DurationRange runRange {100ms, 24h};
constexpr DurationRange ageRange {0ms, 24h};
constexpr DurationRange deadlineRange {1ms, 1h};

const std::vector<std::string> checkNames = {"none", "own-write", "counter-write", "counter-read"};

void readLoad(SectionReader &reader, LoadPlan &plan)
{
    plan.entries = reader.endpoints("entries");
    plan.callerKey = reader.text("caller-key", "");
    plan.rate = reader.number("rate", rateRange, plan.rate);
    plan.duration = reader.duration("duration", runRange, plan.duration);
    plan.connections = reader.number("connections", connectionRange, plan.connections);
    plan.workers = reader.number("workers", workerRange, plan.workers);
    plan.sessions = reader.number("sessions", sessionRange, plan.sessions);
    plan.requestTimeout = reader.duration("give-up", runRange, plan.requestTimeout);
    plan.seed = reader.number("seed", seedRange, plan.seed);
}

// Parameters are separated by '|', since SQL values often contain commas.
std::vector<std::string> readParameters(SectionReader &reader)
{
    std::vector<std::string> parameters;
    const std::string text = reader.text("parameters", "");
    for (std::size_t start = 0; !text.empty() && start <= text.size();) {
        const std::size_t end = std::min(text.find('|', start), text.size());
        parameters.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parameters;
}

LoadStatement readStatement(const std::string &name, SectionReader &reader)
{
    LoadStatement statement;
    statement.name = name;
    statement.weight = reader.number("weight", weightRange, statement.weight);
    statement.group = reader.name("group");
    statement.kind = reader.name("kind");
    statement.sql = reader.text("sql");
    statement.parameters = readParameters(reader);
    statement.statedAge = reader.optionalDuration("stated-age", ageRange);
    statement.deadline = reader.optionalDuration("deadline", deadlineRange);
    statement.keyed = reader.choice("keyed", {"no", "yes"}, 0) == 1;
    statement.check = LoadCheck(reader.choice("check", checkNames, 0));
    return statement;
}

} // namespace

LoadPlan parseLoadPlan(const std::string &file, const std::string &text,
                       settings::Findings &findings)
{
    LoadPlan plan;
    for (const settings::IniSection &section : settings::parseIni(file, text, findings)) {
        SectionReader reader(file, section, findings);
        if (section.title() == "load") {
            readLoad(reader, plan);
        } else if (section.type == "statement") {
            plan.mix.push_back(readStatement(section.name, reader));
        } else {
            if (!section.type.empty())
                findings.add(file, section.line, section.title(),
                             "unknown section; allowed are load and statement NAME");
            continue;
        }
        reader.finish();
    }
    if (plan.mix.empty())
        findings.add(file, 0, "statement", "at least one section is required");
    findings.sort();
    return plan;
}

} // namespace kelptally::bench
