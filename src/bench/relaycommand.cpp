#include "bench/commands.h"
#include "bench/relaymodel.h"
#include "settings/inidocument.h"

#include <absl/strings/str_format.h>
#include <tclap/CmdLine.h>

#include <iostream>

namespace kelptally::bench {

namespace {

void printRow(int hosts, const RelayResult &result)
{
    std::cout << absl::StrFormat(
        "%6d %8d %8d %9.1f %8d %7d %10.0f %10.0f %9.1f %9.1f\n", hosts, result.callsAtStart,
        result.callsAfterStart, result.callsPerSecond, result.maxCallsPerSecond,
        result.pollingHosts, toMilliseconds(result.maxConfigurationDelay),
        toMilliseconds(result.maxServerDelay), double(result.bytesWithinZones) / 1024,
        double(result.bytesAcrossZones) / 1024);
}

} // namespace

int runRelays(int argc, char **argv)
{
    TCLAP::CmdLine command("Simulates hosts that follow the tables of one store, in virtual time.");
    TCLAP::UnlabeledValueArg<std::string> file("plan", "Plan file (docs/LOAD.md)", true, "", "PLAN",
                                               command);
    TCLAP::MultiArg<int> hosts("n", "hosts",
                               "Number of hosts instead of the plan's; may be repeated", false, "N",
                               command);
    TCLAP::ValueArg<int> seed("s", "seed", "Seed of the random numbers", false, 1, "N", command);
    command.parse(argc, argv);
    settings::Findings findings;
    const std::string text = settings::readFile(file.getValue(), findings);
    RelayPlan plan = parseRelayPlan(file.getValue(), text, findings);
    if (!findings.empty()) {
        std::cerr << findings.toText();
        return 1;
    }
    std::vector<int> sizes = hosts.getValue();
    if (sizes.empty())
        sizes.push_back(plan.hosts);
    std::cout
        << " hosts at start    after calls/s  busiest pollers config ms  server ms in zone KB "
           "across KB\n";
    bool good = true;
    for (const int size : sizes) {
        plan.hosts = size;
        const RelayResult result =
            simulateRelays(plan, static_cast<std::uint64_t>(seed.getValue()));
        printRow(size, result);
        for (const std::string &violation : result.violations)
            std::cout << "  broken: " << violation << "\n";
        good = good && result.violations.empty();
    }
    return good ? 0 : 1;
}

} // namespace kelptally::bench
