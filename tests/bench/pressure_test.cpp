#include "bench/pressure.h"

#include "settings/inidocument.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::bench;
using namespace std::chrono_literals;

namespace {

PressurePlan shipped(const std::string &name)
{
    settings::Findings findings;
    const std::string file = std::string(SOURCE_DIRECTORY) + "/bench/pressure/" + name + ".ini";
    PressurePlan plan = parsePressurePlan(file, settings::readFile(file, findings), findings);
    INFO(findings.toText());
    REQUIRE(findings.empty());
    return plan;
}

double worth(const PressurePlan &plan, PressureOrder order)
{
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        sum += simulatePressure(plan, seed, order).worthShare();
    return sum / 3;
}

} // namespace

TEST_CASE("The same seed gives the same result")
{
    const PressurePlan plan = shipped("burst");
    const PressureResult first = simulatePressure(plan, 7, PressureOrder::Ranked);
    const PressureResult again = simulatePressure(plan, 7, PressureOrder::Ranked);
    CHECK(first.all.offered > 1000);
    CHECK(first.all.inTime == again.all.inTime);
    CHECK(first.worthShare() == again.worthShare());
}

TEST_CASE("Every request has exactly one outcome")
{
    for (const char *name : {"burst", "hanging", "lag", "overload"}) {
        const PressureResult result = simulatePressure(shipped(name), 1, PressureOrder::Ranked);
        const PressureCount &all = result.all;
        CHECK(all.inTime + all.late + all.refused + all.unanswered == all.offered);
    }
}

// Guards against serving a burst by arrival, in which urgent requests miss their objectives.
TEST_CASE("Ranked order serves urgent requests first and has a higher worth than arrival order in "
          "a burst")
{
    const PressurePlan plan = shipped("burst");
    CHECK(worth(plan, PressureOrder::Ranked) > worth(plan, PressureOrder::Arrival) + 0.2);
    const PressureResult result = simulatePressure(plan, 1, PressureOrder::Ranked);
    const PressureCount &confirm = result.kinds.at("confirm");
    CHECK(confirm.inTime > confirm.offered * 98 / 100);
}

// Guards against hanging commits that occupy all slots of the primary.
TEST_CASE("While commits hang, few are sent and reads continue")
{
    const PressureResult result = simulatePressure(shipped("hanging"), 1, PressureOrder::Ranked);
    CHECK(result.all.unanswered <= 15);
    const PressureCount &view = result.kinds.at("view");
    CHECK(view.inTime == view.offered);
}

TEST_CASE("Requests that need the primary get its slots while replicas receive no updates")
{
    const PressureResult result = simulatePressure(shipped("lag"), 1, PressureOrder::Ranked);
    CHECK(result.worthShare() > 0.99);
}

TEST_CASE("Parsing reports all errors of a plan")
{
    settings::Findings findings;
    parsePressurePlan("p.ini", "[load]\nslots=0\n[odd]\n[kind a]\nrate=x\n", findings);
    const std::string text = findings.toText();
    for (const char *part : {"slots", "odd", "rate", "work", "objective", "deadline"})
        CHECK(text.find(part) != std::string::npos);
    settings::Findings empty;
    parsePressurePlan("p.ini", "", empty);
    CHECK_FALSE(empty.empty());
}
