#pragma once

// The subcommands of kelptally-bench. Each parses its own options and returns the exit code.
namespace kelptally::bench {

// Prints the signature of all scripts, or compares it with the one in a file.
int runBench(int argc, char **argv);
// Replays traces under one policy or all of them and checks the outcomes.
int runReplay(int argc, char **argv);
// Measures goodput, refusals and latency under overload in the replay model.
int runOverload(int argc, char **argv);
// Simulates a load on one group's admission control and routing.
int runPressure(int argc, char **argv);
// Simulates hosts that follow the tables of one store.
int runRelays(int argc, char **argv);
// Measures the memory and CPU costs on which docs/CAPACITY.md is based.
int runSlopes(int argc, char **argv);
// Measures the load on the table service when hosts are lost.
int runLosses(int argc, char **argv);
// Writes the shipped traces to files.
int runTraces(int argc, char **argv);
// Sends a load to running processes and measures them.
int runLoad(int argc, char **argv);

} // namespace kelptally::bench
