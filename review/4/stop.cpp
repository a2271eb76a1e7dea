// A host is stopped while its callers have transactions open. Records each request
// whose connection ended without a complete answer, and exits with 1 if one of them is covered by
// the rule LOST.

#include "../standin-2/world.h"

using namespace world;

namespace {

// Bounds of the small deployments.
constexpr double graceMs = 6000;
constexpr double lossSlackMs = 200;
struct Kind
{
    const char *database;
    double statementTimeoutMs;
    double operationDeadlineMs;
};
constexpr Kind primaryKind {"tariffs", 800, 2500};
constexpr Kind boundedKind {"checks", 2000, 8000};
// A broken request that was sent no later than this after SIGTERM may be excused.
constexpr double excusedSendMs = 3000;

struct Lost
{
    std::string id;
    std::string text;
    double sentAt = 0;
    double endedAt = 0;
    double operationAt = 0;
    Kind kind = boundedKind;
};

std::mutex mutex;
std::vector<Lost> lost;
std::map<std::string, int> counts;

void count(const std::string &what)
{
    const std::lock_guard<std::mutex> lock(mutex);
    ++counts[what];
}

const char *nameOf(Client::Outcome outcome)
{
    switch (outcome) {
    case Client::Outcome::Success:
        return "success";
    case Client::Outcome::Refused:
        return "refused";
    case Client::Outcome::Broken:
        break;
    }
    return "broken";
}

// Sends a statement and records it. Returns whether the session can go on.
bool run(Client &client, Record &record, const std::string &id, const std::string &text,
         double operationAt)
{
    const Kind &kind = id[0] == 'p' ? primaryKind : boundedKind;
    const double sentAt = nowMs();
    const Client::Outcome outcome = client.query(id, text);
    const double endedAt = nowMs();
    record.line("client %s %s sent %.1f took %.1f: %s %s", id.c_str(), text.c_str(), sentAt,
                endedAt - sentAt, nameOf(outcome), client.code.c_str());
    count(nameOf(outcome));
    if (outcome == Client::Outcome::Broken) {
        const std::lock_guard<std::mutex> lock(mutex);
        lost.push_back({id, text, sentAt, endedAt, operationAt, kind});
    }
    return outcome == Client::Outcome::Success;
}

// One transaction, whose statements after BEGIN start periodically. With BEGIN there are at
// most 12.
bool transact(Client &client, Record &record, const std::string &name, bool writes, int statements,
              double periodMs)
{
    const double beganAt = nowMs();
    if (!run(client, record, name + "-0", writes ? "BEGIN" : "BEGIN READ", beganAt))
        return false;
    for (int i = 1; i <= statements; ++i) {
        sleepMs(beganAt + i * periodMs - nowMs());
        const std::string item = " item-" + name;
        const bool isWrite = writes && i % 4 == 1;
        if (!run(client, record, name + "-" + std::to_string(i),
                 i == statements ? "COMMIT"
                     : isWrite   ? "WRITE" + item + " data"
                                 : "READ" + item,
                 beganAt))
            return false;
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    const std::string work = argc > 2 ? argv[2] : "/tmp";
    const std::string trouble = argc > 3 ? argv[3] : "1";
    const bool stops = trouble != "0";
    endProcessesOnSignal();
    nowMs();
    Record record(folder + "/record.txt");
    Store store;
    Group group(store, record, {});
    store.put("op", "config",
              R"({"version":7,"routes":[)"
              R"({"name":"r-1","database":"tariffs","prefix":"/","type":"primary","timeoutMs":800,)"
              R"("targetLatencyMs":150,"priority":1,"service":"cases","maxAttempts":2},)"
              R"({"name":"r-2","database":"checks","prefix":"/","type":"bounded_stale",)"
              R"("timeoutMs":2000,"targetLatencyMs":500,"priority":2,"service":"cases",)"
              R"("maxAttempts":2,"maxStalenessMs":1500}],"services":[{"name":"cases",)"
              R"("healthCheck":"/health","maxConns":23,"protocol":"h1","tls":false,)"
              R"("syncReplicas":1}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
              R"("headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}})");
    const auto host = [&](const std::string &name, const std::string &zone,
                          const std::string &address) {
        return std::make_unique<Host>(
            Host::Options {name, zone, address, store.port(), group.promotionPort(), work});
    };
    std::vector<std::unique_ptr<Host>> hosts;
    hosts.push_back(host("h1", "lulea-a", "127.0.0.11"));
    hosts.push_back(host("h2", "lulea-b", "127.0.0.12"));
    hosts.push_back(host("h3", "umea-a", "127.0.0.13"));
    for (const auto &each : hosts)
        if (!each->start())
            endUnrun(record, "a host or a session is not ready");
    for (const auto &each : hosts) {
        const double until = nowMs() + 15000;
        while (!each->isReady()) {
            if (nowMs() > until) {
                record.line("%s is not ready", each->name().c_str());
                endUnrun(record, "a host or a session is not ready");
            }
            sleepMs(50);
        }
    }
    record.line("all hosts are ready");
    // 1. Every session is open and has run a statement before the stop.
    constexpr int writers = 8;
    constexpr int readers = 8;
    std::vector<std::unique_ptr<Client>> clients;
    const int total = writers + readers;
    for (int i = 0; i < total; ++i) {
        clients.push_back(std::make_unique<Client>(hosts[0]->address(), hosts[0]->callerPort()));
        Client &client = *clients.back();
        bool serves = client.start(i < writers ? primaryKind.database : boundedKind.database);
        for (int attempt = 0; serves && attempt < 20; ++attempt) {
            const std::string id = "w" + std::to_string(i) + "-" + std::to_string(attempt);
            if (client.query(id, "READ item-warm") == Client::Outcome::Success)
                break;
            sleepMs(250);
            serves = client.isOpen() && attempt < 19;
        }
        if (!serves) {
            record.line("session %d can't be used", i);
            endUnrun(record, "a host or a session is not ready");
        }
    }
    sleepMs(1500);
    const double stoppedAt = nowMs();
    if (stops) {
        hosts[0]->signal(SIGTERM);
        record.line("SIGTERM to h1");
    }
    // 2. Writers: a transaction until 3.2 s after SIGTERM and at once the next one, of 2.1 s.
    // Readers: a transaction of 3.5 s that begins 2 s after SIGTERM, while the platform may still
    // take the host for ready.
    std::vector<std::thread> threads;
    for (int i = 0; i < total; ++i) {
        Client &client = *clients[static_cast<std::size_t>(i)];
        threads.emplace_back([&, i] {
            if (i < writers) {
                const std::string name = "p" + std::to_string(i);
                sleepMs(stoppedAt + 1980 + 12 * i - nowMs());
                static_cast<void>(transact(client, record, name + "a", true, 4, 290)
                                  && transact(client, record, name + "b", true, 11, 190));
                return;
            }
            const std::string name = "b" + std::to_string(i);
            sleepMs(stoppedAt + 2000 + 25 * (i - writers) - nowMs());
            transact(client, record, name, false, 11, 315);
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    // 3. Judge.
    int broken = 0;
    int commits = 0;
    for (const Lost &each : lost) {
        const double sinceStop = each.sentAt - stoppedAt;
        const double waited = each.endedAt - each.sentAt;
        const bool wasPassedOn = group.runAt(each.id) >= 0;
        const bool isPlanned = stops && each.endedAt - stoppedAt <= graceMs + 1000;
        const bool isExcused = sinceStop <= excusedSendMs || waited >= each.kind.statementTimeoutMs
            || each.endedAt - each.operationAt >= each.kind.operationDeadlineMs;
        const bool counts = isPlanned && !isExcused && (wasPassedOn || waited > lossSlackMs);
        record.line("unanswered: %s %s sent %.0f ms after SIGTERM, connection ended %.0f ms after "
                    "it, %s, %s",
                    each.id.c_str(), each.text.c_str(), sinceStop, each.endedAt - stoppedAt,
                    wasPassedOn ? "run by a server" : "not run", counts ? "LOST" : "not counted");
        broken += counts ? 1 : 0;
        commits += counts && each.text == "COMMIT" ? 1 : 0;
    }
    for (const auto &[what, number] : counts)
        record.line("%s: %d", what.c_str(), number);
    record.line("LOST: %d, of which commits: %d", broken, commits);
    std::printf("LOST: %d, of which commits: %d\n", broken, commits);
    endCase(broken > 0 ? 1 : 0);
}
