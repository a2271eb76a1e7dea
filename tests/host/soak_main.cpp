#include "soak.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <map>

// Runs many random schedules and prints those that violate a guarantee.
int main(int argc, char **argv)
{
    using namespace kelptally;
    TCLAP::CmdLine command("Runs random schedules of faults of hosts, store and servers.");
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "First seed", false, 1, "N", command);
    TCLAP::ValueArg<int> count("n", "count", "Schedules to run", false, 100, "N", command);
    const std::map<std::string, model::SoakKind> kinds = {
        {"faults", model::SoakKind::Faults},
        {"connections", model::SoakKind::Connections},
        {"membership", model::SoakKind::Membership},
    };
    std::vector<std::string> names;
    for (const auto &[name, each] : kinds)
        names.push_back(name);
    TCLAP::ValuesConstraint<std::string> known(names);
    TCLAP::ValueArg<std::string> kindName("k", "kind", "Kind of faults", false, "faults", &known,
                                          command);
    TCLAP::SwitchArg connections("c", "connections", "The same as --kind connections", command);
    TCLAP::SwitchArg all("a", "all", "Print every violation", command);
    command.parse(argc, argv);
    const auto kind =
        connections.getValue() ? model::SoakKind::Connections : kinds.at(kindName.getValue());
    int failed = 0;
    int acknowledged = 0;
    int refused = 0;
    int unknown = 0;
    int reads = 0;
    int promotions = 0;
    int lost = 0;
    Duration slowest {0};
    for (int i = 0; i < count.getValue(); ++i) {
        const std::uint64_t current = seed.getValue() + std::uint64_t(i);
        const model::SoakResult result = model::runSoak(current, kind);
        acknowledged += result.acknowledged;
        refused += result.refused;
        unknown += result.unknown;
        reads += result.reads;
        promotions += result.promotions;
        lost += result.unrecoverableCommits;
        slowest = std::max(slowest, result.recovery);
        if (result.violations.empty() && result.recovered)
            continue;
        ++failed;
        std::cout << "seed " << current << ": "
                  << (result.violations.empty() ? "no write was acknowledged after the faults"
                                                : result.violations.front())
                  << " (" << result.violations.size() << " violations)" << std::endl;
        for (const std::string &violation : result.violations)
            if (all.getValue())
                std::cout << "  " << violation << "\n";
    }
    std::cout << count.getValue() << " schedules, " << failed << " failed; " << acknowledged
              << " writes acknowledged, " << refused << " refused, " << unknown << " unknown, "
              << reads << " reads, " << promotions << " promotions, " << lost
              << " commits lost with all their holders; slowest recovery "
              << toMilliseconds(slowest) << " ms\n";
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
