#include "bench/commands.h"

#include <absl/strings/string_view.h>
#include <tclap/ArgException.h>

#include <array>
#include <iostream>

using namespace kelptally;

namespace {

struct Command
{
    absl::string_view name;
    absl::string_view help;
    int (*run)(int argc, char **argv);
};

constexpr std::array<Command, 9> commands = {{
    {"bench", "print the signature of all decisions", bench::runBench},
    {"replay", "replay traces and check the outcomes", bench::runReplay},
    {"load", "send a load to running processes and measure them", bench::runLoad},
    {"overload", "measure the behaviour under overload", bench::runOverload},
    {"pressure", "play a load against the decisions of a group's owner", bench::runPressure},
    {"news", "play hosts that follow the tables of one store", bench::runRelays},
    {"slopes", "measure what docs/CAPACITY.md is worked out from", bench::runSlopes},
    {"losses", "measure what losses of hosts ask of the table service", bench::runLosses},
    {"traces", "write the shipped traces to files", bench::runTraces},
}};

int usage(std::ostream &out, int exitCode)
{
    out << "usage: kelptally-bench COMMAND [options] | --version   (COMMAND --help lists its "
           "options)\n";
    for (const Command &command : commands)
        out << "  " << command.name << "\t" << command.help << "\n";
    return exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return usage(std::cerr, 2);
    const absl::string_view requested = argv[1];
    if (requested == "--help" || requested == "-h")
        return usage(std::cout, 0);
    if (requested == "--version") {
        std::cout << "kelptally-bench " KELPTALLY_VERSION "\n";
        return 0;
    }
    for (const Command &command : commands) {
        if (command.name == requested)
            return command.run(argc - 1, argv + 1);
    }
    std::cerr << "kelptally-bench: unknown command " << requested << "\n";
    return usage(std::cerr, 2);
}
