#pragma once

// The subcommands of kelptally-bench. Each parses its own options and returns the exit code.
namespace kelptally::bench {

// Prints the signature of all decisions, or compares it with a committed one.
int runBench(int argc, char **argv);
// Replays traces under one policy or all, and checks the outcomes.
int runReplay(int argc, char **argv);
// Measures the behaviour under overload in the replay's model.
int runOverload(int argc, char **argv);
// Plays a load against the decisions of a group's owner.
int runPressure(int argc, char **argv);
// Plays hosts that follow the tables of one store.
int runRelays(int argc, char **argv);
// Measures the slopes of docs/CAPACITY.md in this process.
int runSlopes(int argc, char **argv);
// Measures what losses of hosts ask of the table service.
int runLosses(int argc, char **argv);
// Writes the shipped traces to files.
int runTraces(int argc, char **argv);
// Sends a load to running processes and measures them.
int runLoad(int argc, char **argv);

} // namespace kelptally::bench
