// The operator adds a route whose priority is a large number. Exits with 1 if hosts refuse its
// database as unknown after the bound of configuration.

#include "../standin-2/world.h"

using namespace world;

namespace {

constexpr double configApplyMs = 3000;

std::string configuration(int version, const std::string &more)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r-2","database":"checks","prefix":"/","type":"bounded_stale",)"
          R"("timeoutMs":2000,"targetLatencyMs":500,"priority":2,"service":"cases",)"
          R"("maxAttempts":2,"maxStalenessMs":1500})"
        + more
        + R"(],"services":[{"name":"cases","healthCheck":"/health","maxConns":23,)"
          R"("protocol":"h1","tls":false,"syncReplicas":1}],"limits":{"txIdleMs":3000}})";
}

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    const std::string work = argc > 2 ? argv[2] : "/tmp";
    const std::string trouble = argc > 3 ? argv[3] : "1";
    const bool isLarge = trouble != "0";
    endProcessesOnSignal();
    nowMs();
    Record record(folder + "/record.txt");
    Store store;
    Group group(store, record, {});
    store.put("op", "config", configuration(7, ""));
    std::vector<std::unique_ptr<Host>> hosts;
    const char *zones[] = {"lulea-a", "lulea-b", "umea-a"};
    for (int i = 0; i < 3; ++i)
        hosts.push_back(std::make_unique<Host>(Host::Options {
            "h" + std::to_string(i + 1), zones[i], "127.0.0." + std::to_string(11 + i),
            store.port(), group.promotionPort(), work}));
    for (const auto &host : hosts)
        if (!host->start())
            endUnrun(record, "a host or a session is not ready");
    for (const auto &host : hosts) {
        const double until = nowMs() + 15000;
        while (!host->isReady()) {
            if (nowMs() > until)
                endUnrun(record, "a host or a session is not ready");
            sleepMs(50);
        }
    }
    sleepMs(2000);
    // 1. The operator adds a route; the store's answer confirms it.
    const std::string priority = isLarge ? "1001" : "1000";
    store.put("op", "config",
              configuration(9,
                            R"(,{"name":"r-3","database":"letters","prefix":"/",)"
                            R"("type":"primary","timeoutMs":800,"targetLatencyMs":150,)"
                            R"("priority":)"
                                + priority + R"(,"service":"cases","maxAttempts":2})"));
    const double confirmedAt = nowMs();
    record.line("version 9 is confirmed: database letters with priority %s", priority.c_str());
    // 2. Sessions for the new database, from the bound on, for ten seconds.
    int refused = 0;
    int served = 0;
    while (nowMs() < confirmedAt + configApplyMs + 10000) {
        for (const auto &host : hosts) {
            const double sentAt = nowMs();
            Lines lines(connectTo(host->address(), host->callerPort()));
            std::string answer;
            lines.send("START letters u1\r\n");
            if (lines.line(answer, 2000) != Lines::Got::Line)
                answer = "nothing";
            const bool isLate = sentAt > confirmedAt + configApplyMs;
            if (answer.rfind("READY", 0) == 0 && isLate) {
                lines.send("QUERY s" + std::to_string(served) + " WRITE item data\r\n");
                std::string line;
                while (lines.line(line, 3000) == Lines::Got::Line) {
                    answer += " | " + line;
                    if (line.rfind("READY", 0) == 0)
                        break;
                }
            }
            record.line("%s %.0f ms after the confirmation: %s", host->name().c_str(),
                        sentAt - confirmedAt, answer.c_str());
            refused += isLate && answer.rfind("ERROR NODB", 0) == 0 ? 1 : 0;
            served += isLate && answer.find("COMPLETE") != std::string::npos ? 1 : 0;
        }
        sleepMs(500);
    }
    record.line("refused as unknown after the bound: %d, served: %d", refused, served);
    std::printf("refused as unknown after the bound: %d, served: %d\n", refused, served);
    endCase(refused > 0 ? 1 : served > 0 ? 0 : 2);
}
