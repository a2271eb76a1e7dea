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
    {"bench", "print the signature of the decision code", bench::runBench},
    {"replay", "replay traces and check the outcomes", bench::runReplay},
    {"load", "send a load to running processes and measure them", bench::runLoad},
    {"overload", "measure the behaviour under overload", bench::runOverload},
    {"pressure", "simulate a load on one group's admission control and routing",
     bench::runPressure},
    {"news", "simulate hosts that follow the tables of one store", bench::runRelays},
    {"slopes", "measure the costs on which docs/CAPACITY.md is based", bench::runSlopes},
    {"losses", "measure the load on the table service when hosts are lost", bench::runLosses},
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
