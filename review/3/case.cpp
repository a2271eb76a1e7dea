// A host gets SIGTERM while clients read with statements that take most of their route's timeout.

#include "../standin/platform.h"

using namespace review;

namespace {

constexpr double routeTimeoutMs = 2000;
// Bounds of the pages.
constexpr double excusedUntilMs = 3000;
constexpr double graceMs = Host::graceMs;

struct Reading
{
    double firstWorkMs = 0;
    double secondWorkMs = 0;
    Client::Answer second;
};

std::string itemOf(double workMs)
{
    return "report" + std::to_string(static_cast<int>(workMs));
}

} // namespace

int main(int, char **argv)
{
    const std::string folder = argv[1];
    const bool trouble = std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") != "0";
    record.open(std::string(argv[2]));
    record.line(trouble ? "with the disruption" : "without the disruption");
    Store store("127.0.0.1");
    // Reads of "reportN" work N ms, all others 10 ms.
    Group group(store, "cases", [](const std::string &text) {
        const std::size_t at = text.find("report");
        return at == std::string::npos ? 10.0 : std::atof(text.c_str() + at + 6);
    });
    Cloud cloud("127.0.0.1", group, 300);
    store.put("op", "config",
              R"({"version":7,"routes":[{"name":"r-1","database":"lookups","prefix":"/",
"type":"bounded_stale","timeoutMs":2000,"targetLatencyMs":500,"priority":2,"service":"cases",
"maxAttempts":2,"maxStalenessMs":1500}],"services":[{"name":"cases","healthCheck":"/health",
"maxConns":23,"protocol":"h1","tls":false,"syncReplicas":1}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}})");
    group.addServer("i-1", "127.0.0.31", "zone-b", true);
    group.addServer("i-2", "127.0.0.32", "zone-c", false);
    group.addServer("i-3", "127.0.0.33", "zone-c", false);
    const Host::Addresses platform {store.address(), cloud.address()};
    Host first("frontend-a-1", "127.0.0.11", "zone-a", platform, folder);
    Host second("frontend-b-1", "127.0.0.12", "zone-b", platform, folder);
    first.start();
    second.start();
    first.waitUntilReady();
    second.waitUntilReady();
    sleepMs(2000);

    // Sessions that stand open since before the stop.
    std::vector<Reading> readings = {{1450, 1900, {}}, {1550, 1900, {}}, {1620, 1900, {}}};
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t i = 0; i < readings.size(); ++i) {
        clients.push_back(std::make_unique<Client>("c" + std::to_string(i), first));
        if (!clients.back()->start("lookups"))
            cannotRun("a session can't be started");
        if (!clients.back()->query("warm" + std::to_string(i), "READ a").ok())
            cannotRun("the system does not serve a read before the disruption");
    }
    const double stopAt = nowMs();
    if (trouble)
        first.terminate();
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < readings.size(); ++i)
        threads.emplace_back([&, i] {
            sleepMs(2000 - (nowMs() - stopAt));
            const std::string name = std::to_string(i);
            if (!clients[i]->query("one" + name, "READ " + itemOf(readings[i].firstWorkMs)).ok())
                return;
            readings[i].second =
                clients[i]->query("two" + name, "READ " + itemOf(readings[i].secondWorkMs));
        });
    for (std::thread &thread : threads)
        thread.join();
    sleepMs(300);
    first.kill();
    second.kill();

    bool broken = false;
    int sent = 0;
    for (const Reading &reading : readings) {
        const Client::Answer &answer = reading.second;
        if (answer.sentAt == 0)
            continue;
        ++sent;
        const double sentAfter = answer.sentAt - stopAt;
        const double endedAfter = answer.endedAt - stopAt;
        // The rule's excuses: the route's timeout; a server at work in the last sixth of the grace
        // period on a request sent no later than 3 s after the SIGTERM.
        const bool timedOut = answer.endedAt - answer.sentAt >= routeTimeoutMs;
        const bool excused = sentAfter <= excusedUntilMs && endedAfter >= graceMs * 5 / 6;
        const bool lost = !answer.complete && !timedOut && !excused && endedAfter <= graceMs + 1000;
        char text[200];
        std::snprintf(text, sizeof text,
                      "a read sent %.0f ms after the stop ended after %.0f ms: %s", sentAfter,
                      answer.endedAt - answer.sentAt,
                      lost                  ? "LOST"
                          : answer.complete ? "answered"
                                            : "excused");
        record.line(text);
        broken = broken || lost;
    }
    if (sent == 0)
        cannotRun("no session was open late enough");
    record.line(broken ? "LOST is broken" : "LOST holds");
    std::printf("%s\n", broken ? "LOST is broken" : "LOST holds");
    std::fflush(stdout);
    std::_Exit(broken ? 1 : 0);
}
