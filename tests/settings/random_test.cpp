#include "settings/inidocument.h"
#include "settings/inventory.h"
#include "settings/processsettings.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace kelptally;
using namespace kelptally::settings;

namespace {

std::string demo(const std::string &name)
{
    Findings findings;
    const std::string text = readFile(std::string(DEMO_DIRECTORY) + "/" + name, findings);
    REQUIRE(findings.empty());
    return text;
}

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('\n', at), text.size());
        lines.push_back(text.substr(at, end - at));
        at = end + 1;
    }
    return lines;
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += line + "\n";
    return text;
}

std::size_t countLines(const std::string &text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + 1;
}

// Checks the invariants of a document without findings.
void checkConsistent(const Inventory &inventory)
{
    std::set<std::string> zones;
    for (const Zone &zone : inventory.zones)
        RC_ASSERT(zones.insert(zone.name).second);
    std::set<std::string> addresses;
    for (const Host &host : inventory.hosts) {
        RC_ASSERT(zones.count(host.zone) == 1);
        RC_ASSERT(addresses.insert(host.ownerAddress).second);
        RC_ASSERT(addresses.insert(host.entryAddress).second);
    }
    RC_ASSERT(!inventory.groups.empty());
    for (const Group &group : inventory.groups) {
        RC_ASSERT(inventory.findTeam(group.team) != nullptr);
        RC_ASSERT(group.servers.size() >= 3 && group.servers.size() % 2 == 1);
        for (const Server &server : group.servers) {
            RC_ASSERT(server.group == group.name);
            RC_ASSERT(zones.count(server.zone) == 1);
            RC_ASSERT(server.slots >= 1 && server.slots <= server.connections);
            RC_ASSERT(addresses.insert(server.address + ":" + std::to_string(server.port)).second);
        }
    }
    for (const Kind &kind : inventory.kinds) {
        RC_ASSERT(!kind.readOnly || kind.repeatable);
        RC_ASSERT(kind.readOnly || !kind.statedAge);
        RC_ASSERT(kind.deadline.count() > 0);
        for (const TeamName &team : kind.teams)
            RC_ASSERT(inventory.findTeam(team) != nullptr);
    }
}

// Parses the text as both kinds of file. Findings must refer to its lines in order, and a document
// without findings must be consistent.
void checkText(const std::string &text)
{
    Findings findings;
    const Inventory inventory = parseInventory("f", text, findings);
    int last = 0;
    for (const Finding &finding : findings.all()) {
        RC_ASSERT(finding.line >= last);
        RC_ASSERT(static_cast<std::size_t>(finding.line) <= countLines(text));
        RC_ASSERT(!finding.problem.empty());
        last = finding.line;
    }
    for (const char c : findings.toText())
        RC_ASSERT((c >= ' ' && c <= '~') || c == '\n');
    if (findings.empty())
        checkConsistent(inventory);
    Findings processFindings;
    parseProcessSettings("f", text, processFindings);
}

// Generates mostly characters with a meaning in INI files.
rc::Gen<char> iniCharacter()
{
    return rc::gen::weightedOneOf<char>(
        {{6, rc::gen::elementOf(std::string("[]=:;#\n \t\r,.-0123456789azAZ\"\\"))},
         {1, rc::gen::arbitrary<char>()}});
}

} // namespace

TEST_CASE("random texts give valid findings")
{
    CHECK(rc::check([] { checkText(*rc::gen::container<std::string>(iniCharacter())); }));
}

TEST_CASE("corrupt documents give valid findings or are consistent")
{
    const std::vector<std::string> whole = linesOf(demo("agency.ini"));
    CHECK(rc::check([&whole] {
        std::vector<std::string> lines = whole;
        const int mutationCount = *rc::gen::inRange(1, 6);
        for (int i = 0; i < mutationCount; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, lines.size());
            const auto other = *rc::gen::inRange<std::size_t>(0, lines.size());
            const int mutation = *rc::gen::inRange(0, 5);
            if (mutation == 0)
                lines.erase(lines.begin() + static_cast<std::ptrdiff_t>(at));
            else if (mutation == 1)
                lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(at), lines[other]);
            else if (mutation == 2)
                std::swap(lines[at], lines[other]);
            else if (mutation == 3)
                lines[at] = lines[at].substr(0, lines[at].size() / 2) + *iniCharacter();
            else
                lines[at] += *rc::gen::container<std::string>(iniCharacter());
        }
        checkText(joined(lines));
    }));
}

TEST_CASE("an invalid line gives exactly one finding, at that line")
{
    const std::vector<std::string> whole = linesOf(demo("lagon.ini"));
    CHECK(rc::check([&whole] {
        std::vector<std::string> lines = whole;
        const auto at = *rc::gen::inRange<std::size_t>(0, lines.size());
        lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(at), "nonsense");
        Findings findings;
        parseInventory("f", joined(lines), findings);
        RC_ASSERT(findings.all().size() == 1u);
        RC_ASSERT(findings.all()[0].line == static_cast<int>(at) + 1);
    }));
}
