#include "soak.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>

// Runs many random schedules and prints those that break a promise.
int main(int argc, char **argv)
{
    using namespace kelptally;
    TCLAP::CmdLine command("Random schedules of faults for hosts, store and servers.");
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "First seed", false, 1, "N", command);
    TCLAP::ValueArg<int> count("n", "count", "Schedules to run", false, 100, "N", command);
    TCLAP::SwitchArg connections("c", "connections",
                                 "Also connections that go silent or are reset, and transactions",
                                 command);
    command.parse(argc, argv);
    const auto kind =
        connections.getValue() ? model::SoakKind::Connections : model::SoakKind::Faults;
    int failed = 0;
    int acknowledged = 0;
    int refused = 0;
    int unknown = 0;
    int reads = 0;
    int promotions = 0;
    Duration slowest {0};
    for (int i = 0; i < count.getValue(); ++i) {
        const std::uint64_t current = seed.getValue() + std::uint64_t(i);
        const model::SoakResult result = model::soak(current, kind);
        acknowledged += result.acknowledged;
        refused += result.refused;
        unknown += result.unknown;
        reads += result.reads;
        promotions += result.promotions;
        slowest = std::max(slowest, result.recovery);
        if (result.violations.empty() && result.recovered)
            continue;
        ++failed;
        std::cout << "seed " << current << ": "
                  << (result.violations.empty() ? "no write after the faults"
                                                : result.violations.front())
                  << " (" << result.violations.size() << " violations)\n";
    }
    std::cout << count.getValue() << " schedules, " << failed << " failed; " << acknowledged
              << " writes acknowledged, " << refused << " refused, " << unknown << " unknown, "
              << reads << " reads, " << promotions << " promotions; slowest recovery "
              << toMilliseconds(slowest) << " ms\n";
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
