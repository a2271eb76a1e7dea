#include "bench/commands.h"
#include "bench/loadgap.h"
#include "bench/loadoverhead.h"
#include "bench/loadprocess.h"
#include "bench/loadreport.h"
#include "bench/loadrun.h"
#include "settings/inidocument.h"

#include <absl/strings/str_format.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <thread>

namespace kelptally::bench {

namespace {

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

// Command-line options. An option that isn't given keeps the value of the plan file.
struct Options
{
    TCLAP::CmdLine line {"Open-loop load and measurements against running processes", ' ', "0.1.0"};
    TCLAP::ValueArg<std::string> plan {"p", "plan", "INI file of the load", true, "", "file", line};
    TCLAP::MultiArg<std::string> entries {
        "e", "entry", "Caller port of an entry, overrides the plan", false, "ip:port", line};
    TCLAP::ValueArg<std::string> key {"k",   "key", "Caller key, overrides the plan", false, "",
                                      "key", line};
    TCLAP::ValueArg<int> rate {"r", "rate", "Requests a second", false, 0, "number", line};
    TCLAP::ValueArg<int> duration {"d", "duration", "Seconds", false, 0, "number", line};
    TCLAP::ValueArg<int> connections {"c", "connections", "Connections", false, 0, "number", line};
    TCLAP::ValueArg<std::string> json {"j",    "json", "Write the result as JSON", false, "",
                                       "file", line};
    TCLAP::ValueArg<std::string> plot {"",     "plot", "Write the latencies as SVG", false, "",
                                       "file", line};
    TCLAP::MultiArg<int> pids {"",    "pid", "Process whose CPU time or memory is measured",
                               false, "pid", line};
    TCLAP::ValueArg<std::string> control {
        "", "standin", "Control port of the stand-in", false, "", "ip:port", line};
    TCLAP::ValueArg<int> gaps {
        "", "failover-gap", "Number of primary failures to cause", false, 0, "number", line};
    TCLAP::ValueArg<std::string> fault {
        "", "fault", "kill, pause, isolate, cut-peers or cut-clients", false, "kill", "word", line};
    TCLAP::ValueArg<std::string> readKind {
        "",    "read-kind", "Request kind that reads the newest data, to check load_writes",
        false, "",          "kind",
        line};
    TCLAP::SwitchArg verify {"", "verify", "Check the first statement's writes against load_writes",
                             line};
    TCLAP::ValueArg<std::string> server {
        "",    "overhead", "Compare the first statement with a direct connection to this server",
        false, "",         "ip:port",
        line};
    TCLAP::ValueArg<int> idle {"",    "idle", "Number of idle connections whose memory is measured",
                               false, 0,      "number",
                               line};
};

bool writeFile(const std::string &path, const std::string &text)
{
    if (path.empty())
        return true;
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    if (!file)
        std::cerr << "cannot write " << path << "\n";
    return bool(file);
}

int fail(absl::string_view problem)
{
    std::cerr << "kelptally-bench: " << problem << "\n";
    return exitFailed;
}

std::optional<LoadPlan> readPlan(Options &options)
{
    settings::Findings findings;
    const std::string path = options.plan.getValue();
    LoadPlan plan = parseLoadPlan(path, settings::readFile(path, findings), findings);
    if (!options.entries.getValue().empty())
        plan.entries = options.entries.getValue();
    if (options.key.isSet())
        plan.callerKey = options.key.getValue();
    if (options.rate.getValue() > 0)
        plan.rate = options.rate.getValue();
    if (options.duration.getValue() > 0)
        plan.duration = std::chrono::seconds(options.duration.getValue());
    if (options.connections.getValue() > 0)
        plan.connections = options.connections.getValue();
    if (plan.entries.empty())
        findings.add(path, 0, "load/entries", "at least one entry is required");
    std::cerr << findings.toText();
    return findings.empty() ? std::make_optional(plan) : std::nullopt;
}

OverheadPlan overheadPlan(const LoadPlan &plan, Options &options)
{
    const LoadStatement &statement = plan.mix.front();
    OverheadPlan overhead;
    overhead.entry = plan.entries.front();
    overhead.callerKey = plan.callerKey;
    overhead.group = statement.group;
    overhead.kind = statement.kind;
    overhead.sql = statement.sql;
    overhead.server = options.server.getValue();
    return overhead;
}

int runOverhead(const OverheadPlan &plan)
{
    const auto overhead = measureOverhead(plan);
    if (!overhead.ok())
        return fail(overhead.status().message());
    const auto ms = [](Duration duration) { return toMilliseconds(duration); };
    absl::PrintF("direct median %.3f ms, 99%% %.3f ms; through the entry median %.3f ms, 99%% %.3f"
                 " ms; added median %.3f ms\n",
                 ms(overhead->directMedian), ms(overhead->directP99), ms(overhead->entryMedian),
                 ms(overhead->entryP99), ms(overhead->entryMedian - overhead->directMedian));
    return 0;
}

int runIdle(const OverheadPlan &plan, Options &options)
{
    if (options.pids.getValue().size() != 1)
        return fail("--idle requires exactly one --pid, that of the entry");
    const int connections = options.idle.getValue();
    const auto bytes = measureIdleMemory(plan, options.pids.getValue().front(), connections);
    if (!bytes.ok())
        return fail(bytes.status().message());
    absl::PrintF("idle connections %d, memory of each %.0f bytes\n", connections, *bytes);
    return 0;
}

int runGaps(const LoadPlan &plan, Options &options)
{
    const auto fault = primaryFaultFromName(options.fault.getValue());
    if (!fault)
        return fail("unknown fault, expected kill, pause, isolate, cut-peers or cut-clients");
    GapPlan gap;
    gap.load = plan;
    gap.load.mix.resize(1);
    gap.group = plan.mix.front().group;
    gap.standinControl = options.control.getValue();
    gap.fault = *fault;
    gap.rounds = options.gaps.getValue();
    gap.readKind = options.readKind.getValue();
    if (!gap.load.mix.front().keyed || gap.readKind.empty())
        return fail(
            "--failover-gap requires a plan whose first statement is keyed, and --read-kind");
    const GapResult result = measureGaps(gap);
    std::cout << gapSummary(result);
    const bool written = writeFile(options.json.getValue(), gapReport(gap, result));
    return written && result.problem.empty() && result.verification.good() ? 0 : exitFailed;
}

// Returns the CPU time of the processes given by --pid, or zero if there are none or on an error.
Duration measuredProcessorTime(Options &options)
{
    const auto time = processorTime(options.pids.getValue());
    if (!time.ok())
        std::cerr << time.status().message() << "\n";
    return time.value_or(Duration(0));
}

void printProcessorTime(const LoadResult &result, Duration used)
{
    std::size_t good = 0;
    for (const StatementResult &statement : result.statements)
        good += statement.latencyMicroseconds.size();
    const double seconds = toMilliseconds(used) / 1000;
    if (seconds > 0)
        absl::PrintF("processor time %.2f s, statements for each second of it %.0f\n", seconds,
                     double(good) / seconds);
}

int printVerification(const Verification &verified)
{
    if (!verified.status.ok())
        return fail(verified.status.message());
    absl::PrintF("acknowledged %d, lost %d, doubled %d, ran despite \"not run\" %d, unknown %d\n",
                 verified.acknowledged, verified.lost, verified.duplicates,
                 verified.executedDespiteRefusal, verified.unknown);
    return verified.good() ? 0 : exitFailed;
}

int runOpenLoop(const LoadPlan &plan, Options &options)
{
    WriteLedger ledger;
    const std::string run = newRunName();
    const auto observer = [&](const LoadOutcome &outcome) {
        if (outcome.statement == 0)
            ledger.add(outcome);
    };
    LoadRun load(plan, run, observer);
    const Duration before = measuredProcessorTime(options);
    load.start();
    std::this_thread::sleep_for(plan.duration);
    LoadResult result = load.finish();
    const Duration used = measuredProcessorTime(options) - before;
    std::cout << loadSummary(plan, result);
    printProcessorTime(result, used);
    int exitCode =
        result.violations.ownWriteMissed + result.violations.tooStale == 0 ? 0 : exitFailed;
    if (options.verify.getValue()) {
        const std::string &group = plan.mix.front().group;
        exitCode |= printVerification(ledger.verify(plan, group, options.readKind.getValue(), run));
    }
    if (!writeFile(options.json.getValue(), loadReport(plan, result))
        || !writeFile(options.plot.getValue(), loadPlot(result)))
        return exitFailed;
    return exitCode;
}

} // namespace

int runLoad(int argc, char **argv)
{
    try {
        Options options;
        options.line.setExceptionHandling(false);
        options.line.parse(argc, argv);
        const auto plan = readPlan(options);
        if (!plan)
            return exitFailed;
        if (options.server.isSet())
            return runOverhead(overheadPlan(*plan, options));
        if (options.idle.isSet())
            return runIdle(overheadPlan(*plan, options), options);
        return options.gaps.isSet() ? runGaps(*plan, options) : runOpenLoop(*plan, options);
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.error() << " for " << error.argId() << "\n";
        return exitUsage;
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    }
}

} // namespace kelptally::bench
