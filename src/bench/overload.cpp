#include "bench/commands.h"
#include "bench/quantile.h"
#include "bench/replay.h"
#include "bench/trace.h"

#include <absl/strings/str_format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <random>

// Measurements under overload in the replay model. Each prints one table.
namespace kelptally::bench {

using namespace std::chrono_literals;
using settings::RequestClass;

namespace {

constexpr Duration runTime = 6s;
constexpr Duration deadline = 250ms;
constexpr Duration writeDeadline = 1s;
// Mean service times of a read and a write.
constexpr Duration readCost = 2500us;
constexpr Duration writeCost = 3ms;
// Requests per second at 100 % load.
constexpr int nominalRate = 3000;

const std::vector<ZoneName> zones = {"portlouis-a", "portlouis-b", "ebene", "grandbaie"};

// Load of one team.
struct TeamLoad
{
    TeamName team;
    int rate = 0;
    int writePercent = 10;
    Duration readCost = bench::readCost;
};

Trace makeTrace(const std::vector<TeamLoad> &streams)
{
    Trace trace;
    trace.name = "overload";
    trace.zoneDelay = 500us;
    trace.clientDelay = 3ms;
    trace.replicationDelay = 10ms;
    for (std::size_t i = 0; i < 6; ++i)
        trace.hosts.push_back({"h" + std::to_string(i + 1), zones[i % zones.size()]});
    for (std::size_t i = 0; i < 3; ++i)
        trace.servers.push_back(
            {std::string(1, static_cast<char>('a' + i)), "listings", zones[i], 3});

    std::mt19937_64 random(21);
    const auto below = [&random](std::int64_t bound) {
        return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(bound));
    };
    RequestId id = 0;
    for (const TeamLoad &stream : streams) {
        for (Duration at = 0s; at < runTime; at += 1us * below(2000000 / stream.rate)) {
            TraceRequest request;
            request.id = ++id;
            request.session = static_cast<SessionId>(below(10000));
            request.entry = trace.hosts[static_cast<std::size_t>(below(6))].name;
            request.group = "listings";
            request.team = stream.team;
            request.write = below(100) < stream.writePercent;
            request.requestClass = request.write ? RequestClass::Critical : RequestClass::Browse;
            request.deadline = request.write ? writeDeadline : deadline;
            const Duration mean = request.write ? writeCost : stream.readCost;
            request.cost = mean / 2 + 1us * below(mean / 1us);
            if (!request.write)
                request.statedAge = 5s;
            request.repeatable = !request.write;
            request.expect = ExpectedOutcome::Any;
            TraceEvent event;
            event.at = at;
            event.request = request;
            trace.events.push_back(std::move(event));
        }
    }
    std::stable_sort(trace.events.begin(), trace.events.end(),
                     [](const TraceEvent &a, const TraceEvent &b) { return a.at < b.at; });
    return trace;
}

void addFault(Trace &trace, FaultKind kind, const ServerName &server, int factor)
{
    TraceEvent event;
    event.fault = TraceFault {kind, server, Duration(0), factor};
    trace.events.insert(trace.events.begin(), std::move(event));
}

int perSecond(int count)
{
    return static_cast<int>(count / (runTime / 1s));
}

void printHeader(const char *title)
{
    absl::PrintF("\n%s\n%-30s %-12s %8s %8s %8s %8s %8s %8s\n", title, "", "policy", "asked/s",
                 "good/s", "refus%", "r99-ms", "w99-ms", "violat");
}

int printRow(const std::string &label, const std::string &policy, const Figures &figures)
{
    absl::PrintF("%-30s %-12s %8d %8d %8.1f %8.1f %8.1f %8d\n", label, policy,
                 perSecond(figures.requests), perSecond(figures.inTime),
                 figures.requests == 0 ? 0.0 : 100.0 * figures.refused / figures.requests,
                 toMilliseconds(quantile(figures.readLatency, 99)),
                 toMilliseconds(quantile(figures.writeLatency, 99)), figures.violations.all());
    return figures.inTime;
}

int replayAndPrint(const std::string &label, const std::string &policy, const Trace &trace,
                   const ReplayOptions &options = {})
{
    return printRow(label, policy, *replay(trace, policy, options));
}

// Measures goodput against the offered load.
void measureLoad()
{
    printHeader(
        "load, as percent of the capacity of the slots (deadlines: reads 250 ms, writes 1 s)");
    for (const std::string policy : {"kelptally", "round-robin"}) {
        int peak = 0;
        int inTimeAtTwice = 0;
        for (const int percent : {50, 80, 100, 120, 150, 200, 300}) {
            const Trace trace = makeTrace({{"web", nominalRate * percent / 100, 10, readCost}});
            const int inTime = replayAndPrint(absl::StrFormat("%d%%", percent), policy, trace);
            peak = std::max(peak, inTime);
            inTimeAtTwice = percent == 200 ? inTime : inTimeAtTwice;
        }
        absl::PrintF("%s: goodput at 200%% is %.1f%% of the peak\n", policy,
                     100.0 * inTimeAtTwice / peak);
    }
}

// Callers retry every refused request.
void measureRetryStorm()
{
    printHeader("retry storm at 150%: callers send refused requests again, up to 5 times");
    const Trace trace = makeTrace({{"web", nominalRate * 3 / 2, 10, readCost}});
    ReplayOptions options;
    replayAndPrint("no repeats", "kelptally", trace, options);
    options.callerRetries = 5;
    replayAndPrint("when told (Retry-After)", "kelptally", trace, options);
    options.callerRetryDelay = 20ms;
    replayAndPrint("after 20 ms", "kelptally", trace, options);
    replayAndPrint("after 20 ms", "round-robin", trace, options);
}

// One team offers five times the capacity.
void measureGreedyTeam()
{
    printHeader("greedy team: batch offers 500%, web 30% of the capacity");
    const Trace trace = makeTrace(
        {{"web", nominalRate * 3 / 10, 10, readCost}, {"batch", nominalRate * 5, 0, readCost}});
    for (const std::string policy : {"kelptally", "round-robin"}) {
        const Figures figures = *replay(trace, policy);
        printRow("both", policy, figures);
        for (const auto &[team, part] : figures.teams)
            absl::PrintF("  %-28s %-12s %8d %8d %8.1f %8.1f\n", team, policy,
                         perSecond(part.requests), perSecond(part.inTime),
                         100.0 - 100.0 * part.inTime / part.requests,
                         toMilliseconds(quantile(part.latency, 99)));
    }
}

// One replica is twenty times slower.
void measureSlowServer()
{
    printHeader("one slow replica (20 times) at 40%");
    Trace trace = makeTrace({{"web", nominalRate * 4 / 10, 10, readCost}});
    replayAndPrint("none slow", "kelptally", trace);
    addFault(trace, FaultKind::SlowServer, "b", 20);
    replayAndPrint("one slow", "kelptally", trace);
    replayAndPrint("one slow", "round-robin", trace);
}

// Long browsing statements also go to the primary while one replica is down.
void measurePrimaryBrowseSlots()
{
    printHeader(
        "browsing (100 ms each) and writes, one replica down: slots of the primary for browsing");
    Trace trace = makeTrace({{"web", 100, 50, 100ms}});
    addFault(trace, FaultKind::KillServer, "c", 1);
    for (const int slots : {0, 2, 1}) {
        ReplayOptions options;
        options.primaryBrowseSlots = slots;
        replayAndPrint(slots == 0 ? std::string("all") : std::to_string(slots), "kelptally", trace,
                       options);
    }
}

} // namespace

int runOverload(int argc, char **argv)
{
    TCLAP::CmdLine line("Measures goodput, refusals and latencies under overload, in the replay "
                        "model of one database group.");
    line.parse(argc, argv);
    measureLoad();
    measureRetryStorm();
    measureGreedyTeam();
    measureSlowServer();
    measurePrimaryBrowseSlots();
    return 0;
}

} // namespace kelptally::bench
