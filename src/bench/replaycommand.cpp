#include "bench/commands.h"
#include "bench/livereplay.h"
#include "bench/quantile.h"
#include "bench/replay.h"
#include "bench/trace.h"

#include <absl/strings/str_format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace kelptally::bench {

namespace {

const std::vector<std::string> policyNames = {"kelptally", "primary-only", "round-robin"};

double percentOf(int part, int whole)
{
    return whole == 0 ? 0 : 100.0 * part / whole;
}

void printHeader()
{
    absl::PrintF("%-24s %-12s %6s %6s %6s %5s %7s %8s %8s %6s %6s %7s %7s %7s\n", "trace", "policy",
                 "reqs", "violat", "missed", "refus", "unknown", "replica%", "of-best%", "gaps",
                 "gap-ms", "gap-max", "w99-ms", "r99-ms");
}

void printRow(const Trace &trace, const std::string &policy, const Figures &figures)
{
    absl::PrintF(
        "%-24s %-12s %6d %6d %6d %5d %7d %8.2f %8.2f %6d %6.0f %7.0f %7.1f %7.1f\n", trace.name,
        policy, figures.requests, figures.violations.all(), figures.unexpectedOutcomes,
        figures.refused, figures.unknown, percentOf(figures.replicaReads, figures.statedAgeReads),
        percentOf(figures.replicaReads, figures.replicaEligibleReads), figures.gaps.size(),
        toMilliseconds(quantile(figures.gaps, 50)), toMilliseconds(quantile(figures.gaps, 100)),
        toMilliseconds(quantile(figures.writeLatency, 99)),
        toMilliseconds(quantile(figures.readLatency, 99)));
}

void printDetails(const Figures &figures)
{
    const Violations &broken = figures.violations;
    absl::PrintF("  violations: read-your-writes %d, stated age %d, lost %d, doubled %d, "
                 "false not-run %d, mixed %d, leaving %d, cut off %d\n",
                 broken.readYourWrites, broken.statedAge, broken.lostWrites, broken.duplicateWrites,
                 broken.executedDespiteRefusal, broken.misdirectedAnswers,
                 broken.statementsOnLeavingServer, broken.abortedRequests);
    for (const auto &[reason, count] : figures.refusals) {
        const std::string name(reasonInfo(reason).name);
        absl::PrintF("  not done: %s %d\n", name, count);
    }
}

// Sums over all traces of a site.
struct SiteReads
{
    int replicaReads = 0;
    int replicaEligibleReads = 0;
};

SiteReads &siteReadsOf(std::map<std::string, SiteReads> &sites, const Trace &trace)
{
    return sites[trace.name.substr(0, trace.name.find('-'))];
}

// Prints, for each site, the share of the eligible reads that replicas answered. Returns whether
// all shares reach 98 percent.
bool checkReplicaShares(const std::map<std::string, SiteReads> &sites)
{
    bool sufficient = true;
    for (const auto &[site, reads] : sites) {
        absl::PrintF("%s: replicas answered %.2f%% of the reads that could go there\n", site,
                     percentOf(reads.replicaReads, reads.replicaEligibleReads));
        sufficient = sufficient && reads.replicaReads * 100 >= reads.replicaEligibleReads * 98;
    }
    return sufficient;
}

bool replayAll(const std::vector<Trace> &traces, const std::vector<std::string> &policies,
               bool details)
{
    bool good = true;
    std::map<std::string, SiteReads> sites;
    printHeader();
    for (const Trace &trace : traces) {
        for (const std::string &policy : policies) {
            const auto figures = replay(trace, policy);
            printRow(trace, policy, *figures);
            if (details)
                printDetails(*figures);
            if (policy != "kelptally")
                continue;
            good = good && figures->violations.all() == 0 && figures->unexpectedOutcomes == 0;
            siteReadsOf(sites, trace).replicaReads += figures->replicaReads;
            siteReadsOf(sites, trace).replicaEligibleReads += figures->replicaEligibleReads;
        }
    }
    return checkReplicaShares(sites) && good;
}

bool replayAllLive(const std::vector<Trace> &traces, const LiveOptions &options)
{
    bool good = true;
    for (const Trace &trace : traces) {
        const auto result = replayLive(trace, options);
        if (!result.ok()) {
            std::cerr << "kelptally-bench: " << result.status().message() << "\n";
            return false;
        }
        const LiveFigures &figures = *result;
        absl::PrintF("%s: requests %d, done %d, refused %d, unknown %d, missed outcomes %d, faults "
                     "not caused %d\n",
                     trace.name, figures.requests, figures.done, figures.refused, figures.unknown,
                     figures.unexpectedOutcomes, figures.faultsNotInjected);
        absl::PrintF("  violations: read-your-writes %d, stated age %d, lost %d, doubled %d, "
                     "false not-run %d\n",
                     figures.readYourWrites, figures.statedAge, figures.lostWrites,
                     figures.duplicateWrites, figures.executedDespiteRefusal);
        absl::PrintF("  reads that state an age at replicas %.2f%%; ms: writes p50 %.1f p99 %.1f, "
                     "reads p50 %.1f p99 %.1f\n",
                     percentOf(figures.replicaReads, figures.statedAgeReads),
                     toMilliseconds(quantile(figures.writeLatency, 50)),
                     toMilliseconds(quantile(figures.writeLatency, 99)),
                     toMilliseconds(quantile(figures.readLatency, 50)),
                     toMilliseconds(quantile(figures.readLatency, 99)));
        for (const auto &[reason, count] : figures.reasons)
            absl::PrintF("  not done: %s %d\n", reason, count);
        good = good && figures.violations() == 0;
    }
    return good;
}

absl::StatusOr<Trace> readTrace(const std::string &file)
{
    std::ifstream in(file);
    if (!in)
        return absl::NotFoundError("cannot read " + file);
    std::stringstream text;
    text << in.rdbuf();
    return parseTrace(text.str());
}

std::vector<Trace> selectTraces(const std::string &name)
{
    std::vector<Trace> all = shippedTraces();
    const auto doesNotMatch = [&name](const Trace &trace) {
        return trace.name.find(name) == std::string::npos;
    };
    all.erase(std::remove_if(all.begin(), all.end(), doesNotMatch), all.end());
    return all;
}

} // namespace

int runReplay(int argc, char **argv)
{
    TCLAP::CmdLine line(
        "Replays traces in a model on a manual clock and checks every outcome. Exit "
        "code 1 if kelptally violated a guarantee, missed an expected outcome or "
        "sent fewer than 98% of the eligible reads to replicas.");
    TCLAP::ValueArg<std::string> file("t", "trace", "trace file (default: the shipped traces)",
                                      false, "", "FILE", line);
    TCLAP::ValueArg<std::string> only("", "only", "only shipped traces whose name contains this",
                                      false, "", "TEXT", line);
    TCLAP::ValueArg<std::string> policy("p", "policy", "kelptally, primary-only or round-robin",
                                        false, "kelptally", "NAME", line);
    TCLAP::SwitchArg table("", "table", "compare all three policies", line);
    TCLAP::SwitchArg details("d", "details", "print violations and refusals by kind", line);
    TCLAP::SwitchArg live("", "live", "replay against running processes instead of the model",
                          line);
    TCLAP::MultiArg<std::string> entries("", "entry", "with --live: caller port of an entry", false,
                                         "IP:PORT", line);
    TCLAP::ValueArg<std::string> key("", "key", "with --live: caller key", false, "demo-key", "KEY",
                                     line);
    TCLAP::ValueArg<std::string> standin("", "standin", "with --live: control port of the stand-in",
                                         false, "", "IP:PORT", line);
    TCLAP::ValueArg<int> timeFactor(
        "", "slower", "with --live: factor that stretches the trace's times", false, 1, "N", line);
    line.parse(argc, argv);

    std::vector<Trace> traces = selectTraces(only.getValue());
    if (file.isSet()) {
        auto trace = readTrace(file.getValue());
        if (!trace.ok()) {
            std::cerr << "kelptally-bench: " << trace.status().message() << "\n";
            return 2;
        }
        traces = {std::move(*trace)};
    }
    const bool known = std::count(policyNames.begin(), policyNames.end(), policy.getValue()) > 0;
    if (!known || traces.empty()) {
        std::cerr << "kelptally-bench: no such " << (known ? "trace" : "policy") << "\n";
        return 2;
    }
    if (live.getValue()) {
        LiveOptions options;
        options.entries = entries.getValue();
        options.callerKey = key.getValue();
        options.standin = standin.getValue();
        options.timeFactor = timeFactor.getValue();
        return replayAllLive(traces, options) ? 0 : 1;
    }
    const std::vector<std::string> singlePolicy = {policy.getValue()};
    return replayAll(traces, table.getValue() ? policyNames : singlePolicy, details.getValue()) ? 0
                                                                                                : 1;
}

int runTraces(int argc, char **argv)
{
    TCLAP::CmdLine line("Writes the shipped traces as text files; docs/TRACES.md describes them.");
    TCLAP::ValueArg<std::string> out("o", "out", "existing directory", true, "", "DIR", line);
    line.parse(argc, argv);
    for (const Trace &trace : shippedTraces()) {
        const std::string file = out.getValue() + "/" + trace.name + ".trace";
        std::ofstream stream(file);
        stream << formatTrace(trace);
        if (!stream.flush()) {
            std::cerr << "kelptally-bench: cannot write " << file << "\n";
            return 2;
        }
        std::cout << file << " " << trace.events.size() << " lines\n";
    }
    return 0;
}

} // namespace kelptally::bench
