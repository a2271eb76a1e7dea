// The platform changes a figure of the settings to a fraction and tells the process, which is later
// killed and started again. Exits with 1 if the process doesn't start any more.

#include "../standin-2/world.h"

using namespace world;

int main(int argc, char **argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    const std::string work = argc > 2 ? argv[2] : "/tmp";
    const std::string trouble = argc > 3 ? argv[3] : "1";
    const bool isFraction = trouble != "0";
    endProcessesOnSignal();
    nowMs();
    Record record(folder + "/record.txt");
    Store store;
    Group group(store, record, {});
    store.put("op", "config",
              R"({"version":7,"routes":[{"name":"r-2","database":"checks","prefix":"/",)"
              R"("type":"bounded_stale","timeoutMs":2000,"targetLatencyMs":500,"priority":2,)"
              R"("service":"cases","maxAttempts":2,"maxStalenessMs":1500}],"services":[{)"
              R"("name":"cases","healthCheck":"/health","maxConns":23,"protocol":"h1","tls":false,)"
              R"("syncReplicas":1}],"limits":{"txIdleMs":3000}})");
    std::vector<std::unique_ptr<Host>> hosts;
    const char *zones[] = {"lulea-a", "lulea-b", "umea-a"};
    for (int i = 0; i < 3; ++i)
        hosts.push_back(std::make_unique<Host>(Host::Options {
            "h" + std::to_string(i + 1), zones[i], "127.0.0." + std::to_string(11 + i),
            store.port(), group.promotionPort(), work}));
    const auto becomesReady = [](const Host &host, double limitMs) {
        const double until = nowMs() + limitMs;
        while (nowMs() < until) {
            if (host.isReady())
                return true;
            sleepMs(50);
        }
        return false;
    };
    for (const auto &host : hosts)
        if (!host->start())
            endUnrun(record, "a host or a session is not ready");
    for (const auto &host : hosts)
        if (!becomesReady(*host, 15000))
            endUnrun(record, "a host or a session is not ready");
    record.line("all hosts are ready");
    // 1. The settings of a host change while it runs.
    Host &changed = *hosts[0];
    const std::string grace = isFraction ? "6.5" : "7";
    changed.writeSettings(grace);
    changed.signal(SIGHUP);
    record.line("settings of h1: graceS %s, SIGHUP", grace.c_str());
    sleepMs(4000);
    if (!changed.isReady()) {
        record.line("h1 is not ready after the change");
        endUnrun(record, "a host or a session is not ready");
    }
    // 2. It is killed once, and started again after a short delay whenever it has ended.
    changed.kill();
    record.line("h1 is killed");
    int ends = 0;
    bool serves = false;
    for (int start = 0; start < 4 && !serves; ++start) {
        sleepMs(500);
        if (!changed.start())
            endUnrun(record, "a host or a session is not ready");
        record.line("h1 is started");
        const double until = nowMs() + 8000;
        while (nowMs() < until && !serves && !changed.hasEnded()) {
            serves = changed.isReady();
            sleepMs(50);
        }
        if (serves || !changed.hasEnded())
            break;
        ++ends;
        record.line("h1 has ended by itself");
    }
    bool served = false;
    if (serves) {
        Client client(changed.address(), changed.callerPort());
        for (int i = 0; i < 20 && !served; ++i, sleepMs(200))
            served = (i > 0 || client.start("checks"))
                && client.query("q" + std::to_string(i), "READ item") == Client::Outcome::Success;
    }
    std::ifstream log(work + "/h1.log");
    std::string line;
    std::string last;
    while (std::getline(log, line))
        last = line;
    // Without the path of the temporary folder.
    const std::size_t path = last.find(work + "/");
    if (path != std::string::npos)
        last.erase(path, work.size() + 1);
    record.line("last line of h1: %s", last.c_str());
    record.line("ended by itself: %d, ready: %d, served: %d", ends, serves, served);
    std::printf("ended by itself: %d, ready: %d, served: %d\n", ends, serves, served);
    endCase(ends > 0 && !serves ? 1 : serves && served ? 0 : 2);
}
