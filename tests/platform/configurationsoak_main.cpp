// Plays configuration soaks with one seed after another and prints the result of each. Exits with 1
// if an answer was late, and keeps the folder of each seed that had one.

#include "configurationsoak.h"

#include <tclap/CmdLine.h>

#include <filesystem>
#include <iostream>

using namespace kelptally;
using namespace kelptally::platform;

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Soak of configurations with real processes.", ' ', "1");
    TCLAP::ValueArg<std::uint64_t> first("s", "seed", "First seed", false, 1, "N", command);
    TCLAP::ValueArg<int> count("n", "count", "Number of seeds", false, 1, "N", command);
    TCLAP::ValueArg<int> hosts("", "hosts", "Processes", false, 16, "N", command);
    TCLAP::ValueArg<int> large("", "large", "Hosts with half a core", false, 4, "N", command);
    TCLAP::ValueArg<int> routes("", "routes", "Permanent routes", false, 100, "N", command);
    TCLAP::ValueArg<int> rate("", "rate", "Bytes per second of a small host's link, 0: no limit",
                              false, 0, "N", command);
    TCLAP::ValueArg<int> length("", "length", "Seconds of each seed", false, 40, "S", command);
    TCLAP::SwitchArg cutsOwners("", "cut-owners", "Owners lose the store at each silence", command);
    TCLAP::SwitchArg discards("", "discard-history", "The store discards its history", command);
    TCLAP::SwitchArg freezesOwners("", "freeze-owners", "Owners stand still together", command);
    TCLAP::SwitchArg cuts("", "cuts", "Hosts lose the store", command);
    TCLAP::SwitchArg freezes("", "freezes", "Processes stand still", command);
    TCLAP::SwitchArg restarts("", "restarts", "Processes are killed or stopped", command);
    TCLAP::SwitchArg calm("", "no-silence", "Connections don't go silent", command);
    TCLAP::ValueArg<std::string> program("", "program", "Another kelptallyd", false, "", "FILE",
                                         command);
    TCLAP::UnlabeledValueArg<std::string> folder("folder", "Settings and logs of the hosts", true,
                                                 "", "FOLDER", command);
    command.parse(argc, argv);
    int failed = 0;
    for (int i = 0; i < count.getValue(); ++i) {
        ConfigurationSoakPlan plan;
        plan.seed = first.getValue() + std::uint64_t(i);
        plan.hosts = hosts.getValue();
        plan.largeHosts = large.getValue();
        plan.routes = routes.getValue();
        plan.linkRate = std::size_t(rate.getValue());
        plan.length = std::chrono::seconds(length.getValue());
        plan.silences = !calm.getValue();
        plan.cutsOwners = cutsOwners.getValue();
        plan.freezesOwners = freezesOwners.getValue();
        plan.discardsHistory = discards.getValue();
        plan.cuts = cuts.getValue();
        plan.freezes = freezes.getValue();
        plan.restarts = restarts.getValue();
        plan.program = program.getValue();
        plan.folder = folder.getValue() + "/seed-" + std::to_string(plan.seed);
        std::filesystem::create_directories(plan.folder);
        const ConfigurationSoakResult result = runConfigurationSoak(plan);
        std::cout << "seed " << plan.seed << ": " << describe(result) << std::endl;
        if (result.late.empty())
            std::filesystem::remove_all(plan.folder);
        else
            ++failed;
    }
    std::cout << failed << " of " << count.getValue() << " seeds failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
