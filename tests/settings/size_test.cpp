#include "settings/inidocument.h"
#include "settings/inventory.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace kelptally;
using namespace kelptally::settings;

namespace {

constexpr int hostCount = 1300;
constexpr int groupCount = 2100;
constexpr int zoneCount = 40;

std::string zoneOf(int number)
{
    return "zone-" + std::to_string(number % zoneCount);
}

std::string endpointOf(int number, int port)
{
    std::ostringstream text;
    text << "10." << number / 65536 << "." << number / 256 % 256 << "." << number % 256 << ":"
         << port;
    return text.str();
}

// Returns a configuration of the target size.
std::string largeDocument()
{
    std::ostringstream text;
    text << "[team all]\n[kind read]\naccess = read\n";
    for (int i = 0; i < zoneCount; ++i)
        text << "[zone " << zoneOf(i) << "]\nregion = region-" << i / 4 << "\n";
    for (int i = 0; i < hostCount; ++i)
        text << "[host host-" << i << "]\nzone = " << zoneOf(i)
             << "\nowner = " << endpointOf(i, 22001) << "\nentry = " << endpointOf(i, 22301)
             << "\n";
    for (int i = 0; i < groupCount; ++i) {
        text << "[group group-" << i << "]\nteam = all\ndatabase = db\nuser = kelptally\n";
        for (int n = 0; n < 3; ++n)
            text << "[server group-" << i << "-" << n << "]\ngroup = group-" << i
                 << "\nzone = " << zoneOf(i + n)
                 << "\naddress = " << endpointOf(100000 + i * 3 + n, 5432)
                 << "\nslots = 3\nconnections = 25\n";
    }
    return text.str();
}

double residentKilobytes()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    double size = 0;
    while (status >> word)
        if (word == "VmRSS:")
            status >> size;
    return size;
}

double microsecondsSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
        .count();
}

} // namespace

TEST_CASE("a configuration of the target size is within the limits")
{
    const std::string document = largeDocument();
    CHECK(document.size() < maxDocumentBytes);
    Findings findings;
    const Inventory inventory = parseInventory("large", document, findings);
    REQUIRE(findings.toText().empty());
    CHECK(inventory.hosts.size() == hostCount);
    CHECK(inventory.groups.size() == groupCount);
    REQUIRE(inventory.findGroup("group-2099"));
    CHECK(inventory.findGroup("group-2099")->servers[2].name == "group-2099-2");
    CHECK(inventory.findGroup("group-2100") == nullptr);
}

// Prints the figures of docs/design/configuration.md and docs/CAPACITY.md.
TEST_CASE("bytes, time and memory of a large configuration", "[.measure]")
{
    const std::string document = largeDocument();
    const double before = residentKilobytes();
    const auto begin = std::chrono::steady_clock::now();
    Findings findings;
    const Inventory inventory = parseInventory("large", document, findings);
    const double parseTime = microsecondsSince(begin);
    std::cout << "document " << document.size() << " bytes, parsed in " << parseTime / 1000
              << " ms, resident " << residentKilobytes() - before << " KB more\n";
    constexpr int lookups = 10000;
    const auto lookupBegin = std::chrono::steady_clock::now();
    int found = 0;
    for (int i = 0; i < lookups; ++i)
        found += inventory.findGroup("group-" + std::to_string(i % groupCount)) ? 1 : 0;
    std::cout << "one look-up of a group " << microsecondsSince(lookupBegin) / lookups << " us ("
              << found << " found)\n";
}
