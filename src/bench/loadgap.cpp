#include "bench/loadgap.h"

#include "bench/loadresult.h"
#include "bench/loadrun.h"
#include "core/json.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <condition_variable>
#include <random>
#include <thread>

namespace kelptally::bench {

namespace {

using namespace std::chrono_literals;

constexpr auto pollInterval = 20ms;
// The measurement ends early if the group is unhealthy, or acknowledges no write, for this long.
constexpr Duration healthyTimeout = 60s;
constexpr Duration ackTimeout = 60s;
// Maximum number of records by which a replica of a healthy group may lag.
constexpr LogOffset maxLagRecords = 500;
// Upper bound of the random delay between a healthy group and the fault.
constexpr int maxFaultDelayMs = 300;
// Delay between the first acknowledgement and the return of the old primary.
constexpr auto recoveryDelay = 200ms;

struct FaultCommands
{
    const char *name;
    PrimaryFault fault;
    const char *begin;
    const char *end;
};

constexpr FaultCommands faultCommands[] = {
    {"kill", PrimaryFault::Kill, R"("fault":"kill")", R"("fault":"restart")"},
    {"pause", PrimaryFault::Pause, R"("fault":"pause")", R"("fault":"resume")"},
    {"isolate", PrimaryFault::Isolate, R"("fault":"partition","peers":"all","clients":"all")",
     R"("fault":"heal","peers":"all","clients":"all")"},
    {"cut-peers", PrimaryFault::CutPeers, R"("fault":"partition","peers":"all")",
     R"("fault":"heal","peers":"all")"},
    {"cut-clients", PrimaryFault::CutClients, R"("fault":"partition","clients":"all")",
     R"("fault":"heal","clients":"all")"},
};

const FaultCommands &commandsOf(PrimaryFault fault)
{
    for (const FaultCommands &commands : faultCommands)
        if (commands.fault == fault)
            return commands;
    return faultCommands[0];
}

std::string faultBody(const char *fault, const ServerName &server)
{
    return absl::StrFormat(R"({%s,"server":"%s"})", fault, server);
}

// Records when the first write that was due after an instant is acknowledged. Thread-safe.
class FirstAck
{
public:
    void watchFrom(Instant after)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        dueAfter_ = after;
        ackTime_.reset();
    }

    void add(const LoadOutcome &outcome)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (ackTime_ || !outcome.good || outcome.intended < dueAfter_)
            return;
        ackTime_ = outcome.answered;
        acknowledged_.notify_all();
    }

    std::optional<Instant> wait(Duration limit)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        acknowledged_.wait_for(lock, limit, [this] { return ackTime_.has_value(); });
        return ackTime_;
    }

private:
    std::mutex mutex_;
    std::condition_variable acknowledged_;
    Instant dueAfter_;
    std::optional<Instant> ackTime_;
};

// Returns the primary if the group is healthy, otherwise null. Healthy means that all servers run,
// are in the primary's term and lag by at most maxLagRecords.
const StandinServer *primaryOfHealthyGroup(const std::vector<StandinServer> &servers)
{
    const StandinServer *primary = nullptr;
    for (const StandinServer &server : servers) {
        if (!server.running || server.paused)
            return nullptr;
        if (server.isPrimary && (primary == nullptr || primary->term < server.term))
            primary = &server;
    }
    for (const StandinServer &server : servers) {
        if (primary == nullptr || server.term != primary->term
            || server.received + maxLagRecords < primary->received)
            return nullptr;
    }
    return primary;
}

absl::StatusOr<ServerName> waitUntilHealthy(StandinControl &control, const GroupName &group)
{
    const Instant end = BootClock::now() + healthyTimeout;
    while (BootClock::now() < end) {
        const auto servers = control.group(group);
        if (!servers.ok())
            return servers.status();
        if (const StandinServer *primary = primaryOfHealthyGroup(*servers))
            return primary->name;
        std::this_thread::sleep_for(pollInterval);
    }
    return absl::DeadlineExceededError("the group did not become healthy in time");
}

absl::StatusOr<GapRound> runRound(const GapPlan &plan, StandinControl &control, FirstAck &firstAck,
                                  std::mt19937 &random)
{
    // 1. Wait until the group is healthy and accepts writes.
    const auto primary = waitUntilHealthy(control, plan.group);
    if (!primary.ok())
        return primary.status();
    firstAck.watchFrom(BootClock::now());
    if (!firstAck.wait(ackTimeout))
        return absl::DeadlineExceededError("no write was acknowledged before the fault");
    std::this_thread::sleep_for(std::chrono::milliseconds(random() % maxFaultDelayMs));
    // 2. Inject the fault. The gap begins before the stand-in is called.
    const FaultCommands &commands = commandsOf(plan.fault);
    const Instant begin = BootClock::now();
    firstAck.watchFrom(begin);
    const absl::Status done = control.fault(faultBody(commands.begin, *primary));
    if (!done.ok())
        return done;
    // 3. Wait for an acknowledged write, then bring the old primary back.
    GapRound round {*primary, std::nullopt};
    if (const auto ack = firstAck.wait(ackTimeout))
        round.gap = *ack - begin;
    std::this_thread::sleep_for(recoveryDelay);
    const absl::Status ended = control.fault(faultBody(commands.end, *primary));
    if (!ended.ok())
        return ended;
    return round;
}

std::vector<std::uint32_t> sortedGaps(const GapResult &result)
{
    std::vector<std::uint32_t> gaps;
    for (const GapRound &round : result.rounds)
        if (round.gap)
            gaps.push_back(std::uint32_t(*round.gap / std::chrono::microseconds(1)));
    std::sort(gaps.begin(), gaps.end());
    return gaps;
}

} // namespace

std::optional<PrimaryFault> primaryFaultFromName(const std::string &name)
{
    for (const FaultCommands &commands : faultCommands)
        if (name == commands.name)
            return commands.fault;
    return std::nullopt;
}

GapResult measureGaps(const GapPlan &plan)
{
    GapResult result;
    WriteLedger ledger;
    FirstAck firstAck;
    const std::string run = newRunName();
    LoadRun load(plan.load, run, [&](const LoadOutcome &outcome) {
        ledger.add(outcome);
        firstAck.add(outcome);
    });
    load.start();
    StandinControl control(plan.standinControl);
    std::mt19937 random(std::uint32_t(plan.load.seed));
    for (int i = 0; i < plan.rounds && result.problem.empty(); ++i) {
        const auto round = runRound(plan, control, firstAck, random);
        if (round.ok())
            result.rounds.push_back(*round);
        else
            result.problem = std::string(round.status().message());
    }
    const auto healthy = waitUntilHealthy(control, plan.group);
    if (!healthy.ok() && result.problem.empty())
        result.problem = std::string(healthy.status().message());
    load.finish();
    result.verification = ledger.verify(plan.load, plan.group, plan.readKind, run);
    return result;
}

std::string gapSummary(const GapResult &result)
{
    auto gaps = sortedGaps(result);
    const auto ms = [&](double fraction) { return quantile(gaps, fraction) / 1000.0; };
    const Verification &verified = result.verification;
    std::string text = absl::StrFormat(
        "rounds %d, without a write %d, gap median %.0f ms, 99%% %.0f ms, greatest %.0f ms\n"
        "acknowledged %d, lost %d, doubled %d, ran despite \"not run\" %d, unknown %d\n",
        result.rounds.size(), result.rounds.size() - gaps.size(), ms(0.5), ms(0.99), ms(1),
        verified.acknowledged, verified.lost, verified.duplicates, verified.executedDespiteRefusal,
        verified.unknown);
    if (!verified.status.ok())
        text += absl::StrFormat("not verified: %s\n", verified.status.message());
    if (!result.problem.empty())
        text += absl::StrFormat("ended early: %s\n", result.problem);
    return text;
}

std::string gapReport(const GapPlan &plan, const GapResult &result)
{
    auto gaps = sortedGaps(result);
    const Verification &verified = result.verification;
    JsonWriter writer;
    writer.beginObject().member("group", plan.group);
    writer.member("fault", commandsOf(plan.fault).name);
    writer.member("medianMs", quantile(gaps, 0.5) / 1000.0);
    writer.member("p99Ms", quantile(gaps, 0.99) / 1000.0);
    writer.member("maxMs", quantile(gaps, 1) / 1000.0);
    writer.member("acknowledged", verified.acknowledged).member("lost", verified.lost);
    writer.member("doubled", verified.duplicates)
        .member("ranDespiteNo", verified.executedDespiteRefusal);
    writer.member("unknown", verified.unknown).member("verified", verified.status.ok());
    writer.member("problem", result.problem);
    writer.key("rounds").beginArray();
    for (const GapRound &round : result.rounds) {
        writer.beginObject().member("server", round.server).key("gapMs");
        if (round.gap)
            writer.number(toMilliseconds(*round.gap));
        else
            writer.null();
        writer.endObject();
    }
    writer.endArray().endObject();
    return writer.take() + "\n";
}

} // namespace kelptally::bench
