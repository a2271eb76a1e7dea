#include "settings/hostsettings.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::settings;
using namespace std::chrono_literals;

namespace {

std::string file(const std::string &process, const std::string &limits)
{
    return "[process]\nhost=h\nzone=z\naddress=127.0.0.1\npeer-port=7000\n"
           "callers=127.0.0.1:7001\nreadiness=127.0.0.1:7002\nadmin-port=7003\n"
        + process + "[limits]\n" + limits
        + "[platform]\nstore=127.0.0.1:7004\npromotions=127.0.0.1:7005\n"
          "[keys]\npeer-key=a long enough peer key\n";
}

} // namespace

TEST_CASE("Processors and limits are read and have defaults")
{
    Findings findings;
    const HostSettings plain = parseHostSettings("h.ini", file("", ""), findings);
    INFO(findings.toText());
    REQUIRE(findings.empty());
    CHECK(plain.processors == 1);
    CHECK(plain.configurationTime == 3s);
    const HostSettings set = parseHostSettings(
        "h.ini", file("processors=0.12\n", "configuration-time=5000ms\n"), findings);
    REQUIRE(findings.empty());
    CHECK(set.processors == Approx(0.12));
    CHECK(set.configurationTime == 5s);
    CHECK(keysNeedingRestart(plain, set) == "processors, configuration-time");
}

TEST_CASE("The quota tolerance is read and validated")
{
    Findings findings;
    const HostSettings set = parseHostSettings(
        "h.ini", file("", "quota-window=5s\nquota-over=0.1\nquota-slack=20\n"), findings);
    REQUIRE(findings.empty());
    CHECK(set.quotaWindow == 5s);
    CHECK(set.quotaOvershoot == Approx(0.1));
    CHECK(set.quotaSlack == Approx(20));
    const HostSettings plain = parseHostSettings("h.ini", file("", ""), findings);
    CHECK(plain.quotaOvershoot == 0);
    CHECK(keysNeedingRestart(plain, set) == "quota-over, quota-slack");
    for (const char *line : {"quota-window=0s", "quota-over=-1", "quota-over=much",
                             "quota-slack=-1", "quota-slack=1e9"}) {
        Findings wrong;
        parseHostSettings("h.ini", file("", std::string(line) + "\n"), wrong);
        INFO(line);
        CHECK(!wrong.empty());
    }
}

TEST_CASE("Policies are selected in the section for experiments")
{
    Findings findings;
    const HostSettings plain = parseHostSettings("h.ini", file("", ""), findings);
    CHECK(plain.policies.queueDiscipline == decision::QueueDiscipline::FairUnlessLimited);
    const HostSettings other = parseHostSettings("h.ini",
                                                 file("", "")
                                                     + "[experiments]\nwait=due\n"
                                                       "owner-share=85\nopening-cost=100\n",
                                                 findings);
    INFO(findings.toText());
    REQUIRE(findings.empty());
    CHECK(other.policies.queueDiscipline == decision::QueueDiscipline::EarliestDueDate);
    CHECK(other.policies.ownerSharePercent == 85);
    CHECK(other.policies.openingCost == 100);
    for (const char *line : {"wait=any", "owner-share=0", "opening-cost=-1", "unknown=1"}) {
        Findings wrong;
        parseHostSettings("h.ini", file("", "") + "[experiments]\n" + line + "\n", wrong);
        INFO(line);
        CHECK(!wrong.empty());
    }
}

TEST_CASE("Invalid values are reported with their keys")
{
    for (const char *processors : {"0", "-1", "x", "nan", "1e9"}) {
        Findings findings;
        parseHostSettings("h.ini", file("processors=" + std::string(processors) + "\n", ""),
                          findings);
        INFO(processors);
        CHECK(findings.toText().find("processors") != std::string::npos);
    }
    Findings findings;
    parseHostSettings("h.ini", file("", "configuration-time=soon\n"), findings);
    CHECK(findings.toText().find("configuration-time") != std::string::npos);
}
