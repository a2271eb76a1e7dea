#include "bench/scripts.h"

#include "bench/replay.h"
#include "bench/trace.h"
#include "decision/admission.h"
#include "decision/freshness.h"
#include "decision/retrypolicy.h"
#include "decision/routing.h"
#include "decision/sessiontoken.h"
#include "decision/transactions.h"
#include "settings/inventory.h"

#include <map>
#include <random>
#include <string>

namespace kelptally::bench {

using namespace decision;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};
const std::vector<GroupName> groupNames = {"deposits", "listings", "offers"};
const std::vector<TeamName> teamNames = {"brokers", "caseworkers", "web"};

// Reproducible random numbers. Uses modulo, since the standard distributions differ between
// libraries.
class Random
{
public:
    explicit Random(std::uint64_t seed) : engine_(seed) { }

    std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
    bool oneIn(std::uint64_t n) { return below(n) == 0; }
    Duration upTo(Duration max)
    {
        return Duration(
            static_cast<Duration::rep>(below(static_cast<std::uint64_t>(max.count()) + 1)));
    }

private:
    std::mt19937_64 engine_;
};

void runTokenScript(Signature &signature)
{
    Random random(1);
    SessionToken token;
    for (int i = 0; i < 500; ++i) {
        const GroupName &group = groupNames[random.below(groupNames.size())];
        token.advance(group, {makeTerm(random.below(5), 1), random.below(1000)});
        std::string sealed = token.seal("bench key");
        signature.add(sealed);
        sealed[random.below(sealed.size())] = 'x';
        signature.add(static_cast<int>(SessionToken::open(sealed, "bench key").status().code()));
    }
}

void runFreshnessScript(Signature &signature)
{
    Random random(2);
    Freshness freshness;
    std::vector<TermStart> history = {{1, 0}};
    freshness.onNewTerm(1, history);
    Position position {1, 0};
    Instant now = start;
    for (int i = 0; i < 5000; ++i) {
        now += random.upTo(20ms);
        position.offset += random.below(4);
        if (!random.oneIn(10))
            freshness.onPrimarySample(now, position);
        const LogOffset behind = random.below(30);
        const ServerName replica = random.oneIn(2) ? "b" : "c";
        if (behind <= position.offset)
            freshness.onReplicaReport(replica, {position.term, position.offset - behind});
        if (random.oneIn(1000)) {
            history.push_back({++position.term, position.offset - random.below(5)});
            position.offset = history.back().start;
            freshness.onNewTerm(position.term, history);
        }
        signature.add(freshness.age("b", now));
        signature.add(freshness.applied("c"));
    }
}

ServerView randomServer(Random &random, const ServerName &name, bool primary)
{
    ServerView view;
    view.name = name;
    view.primary = primary;
    view.reachable = !random.oneIn(12);
    view.draining = random.oneIn(20);
    view.slots = 3;
    view.busy = static_cast<int>(random.below(4));
    view.queued = view.busy == 3 ? static_cast<int>(random.below(60)) : 0;
    view.serviceTime = random.upTo(8ms);
    view.lag = random.upTo(random.oneIn(4) ? 2s : 30ms);
    if (!random.oneIn(15))
        view.age = view.lag + random.upTo(60ms);
    view.applied = Position {1, 900 + random.below(100)};
    view.holdsNewest = random.oneIn(10);
    return view;
}

void runRoutingScript(Signature &signature)
{
    Random random(3);
    Routing routing(50);
    Instant now = start;
    for (int i = 0; i < 20000; ++i) {
        now += random.upTo(2ms);
        std::vector<ServerView> servers;
        for (const ServerName name : {"a", "b", "c"})
            servers.push_back(randomServer(random, name, name == "a"));
        ReadRequirements requirements;
        if (!random.oneIn(8))
            requirements.statedAge = 10ms + random.upTo(1s);
        if (random.oneIn(3))
            requirements.sessionPosition = Position {1, 900 + random.below(100)};
        requirements.timeLeft = 5ms + random.upTo(300ms);
        requirements.waited = random.upTo(40ms);
        const Route route = routing.routeRead(requirements, servers, now);
        signature.add(static_cast<int>(route.kind));
        signature.add(route.server);
        signature.add(static_cast<int>(route.cause));
        signature.add(route.retryIn);
        signature.add(route.reason);
    }
}

void runAdmissionScript(Signature &signature)
{
    Random random(4);
    Admission admission(3, 64);
    std::vector<settings::Team> teams(teamNames.size());
    for (std::size_t i = 0; i < teams.size(); ++i) {
        teams[i].name = teamNames[i];
        teams[i].sharePercent = 20 + 20 * static_cast<int>(i);
    }
    admission.setTeamShares(teams);
    std::multimap<Instant, Work> running;
    Instant now = start;
    for (WorkId id = 1; id <= 20000; ++id) {
        now += random.upTo(1ms);
        while (!running.empty() && running.begin()->first <= now) {
            admission.finished(running.begin()->second, 500us + random.upTo(3ms));
            running.erase(running.begin());
        }
        Work work;
        work.id = id;
        work.team = teamNames[random.below(teamNames.size())];
        work.requestClass =
            static_cast<settings::RequestClass>(random.below(settings::requestClassCount));
        work.deadline = now + 5ms + random.upTo(200ms);
        const AdmissionAnswer answer = admission.offer(now, work);
        signature.add(answer.reason);
        signature.add(answer.retryAfter);
        while (const auto next = admission.next(now)) {
            signature.add(next->id);
            running.emplace(now + 500us + random.upTo(3ms), *next);
        }
        for (const DroppedWork &dropped : admission.expire(now)) {
            signature.add(dropped.id);
            signature.add(dropped.retryAfter);
        }
        if (random.oneIn(50))
            signature.add(admission.cancel(id - random.below(20)));
    }
}

void runRetryScript(Signature &signature)
{
    Random random(5);
    RetryPolicy policy(10, 42);
    for (int i = 0; i < 20000; ++i) {
        if (!random.oneIn(4)) {
            policy.onSuccess();
            continue;
        }
        FailedAttempt attempt;
        attempt.reason = allReasons()[random.below(allReasons().size())].reason;
        attempt.notExecuted = random.oneIn(2);
        attempt.repeatable = random.oneIn(2);
        attempt.hasKey = random.oneIn(3);
        attempt.number = static_cast<int>(random.below(8));
        attempt.deadlineLeft = random.upTo(1s);
        signature.add(policy.retryAfter(attempt));
        signature.add(policy.budgetSpent());
    }
}

void runTransactionScript(Signature &signature)
{
    Random random(6);
    Transactions transactions("offers", "127.0.0.1:4100", 3, 9, 10s, 16);
    std::vector<TransactionId> ids;
    Instant now = start;
    for (int i = 0; i < 5000; ++i) {
        now += random.upTo(500ms);
        const TeamName &team = teamNames[random.below(2)];
        if (random.oneIn(3)) {
            const auto id = transactions.begin(now, team);
            signature.add(id.has_value());
            if (id) {
                signature.add(id->toText());
                ids.push_back(*id);
            }
        }
        if (ids.empty())
            continue;
        const TransactionId &id =
            ids[ids.size() - 1 - random.below(std::min<std::size_t>(ids.size(), 20))];
        const Reason entered = transactions.enter(now, id, team);
        signature.add(entered);
        if (entered == Reason::None && random.oneIn(3))
            transactions.end(now, id, random.oneIn(2) ? Reason::None : Reason::TransactionEnded);
        else if (entered == Reason::None)
            transactions.leave(now, id);
        signature.add(static_cast<std::uint64_t>(transactions.expireIdle(now).size()));
    }
}

void runConfigurationScript(Signature &signature)
{
    const std::string good = "[zone lulea-a]\nregion = se-north\n";
    const std::string bad = "[zone]\n[server x]\nslots = many\n[kind k]\naccess = maybe\n";
    for (const std::string &document : {good, bad}) {
        settings::Findings findings;
        const auto inventory = settings::parseInventory("bench.ini", document, findings);
        signature.add(findings.toText());
        signature.add(static_cast<std::uint64_t>(inventory.zones.size()));
    }
}

// Runs ownership, failover and confirmation together with the other decisions.
void runReplayScript(Signature &signature)
{
    for (const Trace &trace : shippedTraces())
        signature.add(replay(trace, "kelptally")->answers.value());
}

} // namespace

const std::vector<Script> &scripts()
{
    static const std::vector<Script> all = {
        {"tokens", runTokenScript},
        {"freshness", runFreshnessScript},
        {"routing", runRoutingScript},
        {"admission", runAdmissionScript},
        {"retries", runRetryScript},
        {"transactions", runTransactionScript},
        {"configuration", runConfigurationScript},
        {"replays", runReplayScript},
    };
    return all;
}

} // namespace kelptally::bench
