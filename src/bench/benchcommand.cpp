#include "bench/commands.h"
#include "bench/scripts.h"
#include "bench/signature.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

namespace kelptally::bench {

namespace {

std::uint64_t computeSignature(bool verbose)
{
    Signature combined;
    for (const Script &script : scripts()) {
        Signature scriptSignature;
        script.run(scriptSignature);
        combined.add(scriptSignature.value());
        if (verbose)
            std::cout << script.name << " " << scriptSignature.value() << "\n";
    }
    return combined.value();
}

int compareWithFile(std::uint64_t computed, const std::string &file)
{
    std::ifstream in(file);
    std::uint64_t expected = 0;
    if (!(in >> expected)) {
        std::cerr << "kelptally-bench: " << file << " holds no signature\n";
        return 2;
    }
    if (expected == computed)
        return 0;
    std::cerr << "kelptally-bench: the signature is " << computed << " but " << file << " has "
              << expected << ": a decision has changed\n";
    return 1;
}

} // namespace

int runBench(int argc, char **argv)
{
    TCLAP::CmdLine line("Runs the decision code through fixed scripts and prints a signature "
                        "of all its results.");
    TCLAP::ValueArg<std::string> check("", "check", "compare with the signature in this file",
                                       false, "", "FILE", line);
    TCLAP::SwitchArg verbose("v", "verbose", "print the signature of each script too", line);
    line.parse(argc, argv);

    const std::uint64_t signature = computeSignature(verbose.getValue());
    std::cout << "Bench: " << signature << std::endl;
    return check.isSet() ? compareWithFile(signature, check.getValue()) : 0;
}

} // namespace kelptally::bench
