// The cloud API is cut off from the owner's host. The primary crashes, and the host gets SIGTERM.
// TROUBLE=0: none of these. TROUBLE=crash: only the crash.

#include "../standin/platform.h"

using namespace review;

int main(int, char **argv)
{
    const std::string folder = argv[1];
    const std::string mode = std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1";
    const bool crash = mode != "0";
    const bool trouble = crash && mode != "crash";
    constexpr double cutBeforeCrashMs = 500;
    constexpr double stopAfterCrashMs = 100;
    constexpr double healAfterCrashMs = 900;
    record.open(std::string(argv[2]));
    record.line(trouble     ? "with the disruptions"
                    : crash ? "with the crash only"
                            : "without a disruption");
    Store store("127.0.0.1");
    Group group(store, "cases", [](const std::string &) { return 10.0; });
    Cloud cloud("127.0.0.1", group, 1000);
    store.put("op", "config",
              R"({"version":7,"routes":[{"name":"r-1","database":"decisions","prefix":"/",
"type":"primary","timeoutMs":800,"targetLatencyMs":150,"priority":1,"service":"cases",
"maxAttempts":2}],"services":[{"name":"cases","healthCheck":"/health",
"maxConns":23,"protocol":"h1","tls":false,"syncReplicas":1}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}})");
    group.addServer("i-1", "127.0.0.31", "zone-a", true);
    group.addServer("i-2", "127.0.0.32", "zone-b", false);
    group.addServer("i-3", "127.0.0.33", "zone-c", false);
    Path path("127.0.0.1", "127.0.0.1", cloud.port());
    Host first("frontend-a-1", "127.0.0.11", "zone-a", {store.address(), path.address()}, folder);
    Host second("frontend-b-1", "127.0.0.12", "zone-b", {store.address(), cloud.address()}, folder);
    // Started first, so that it owns the group.
    first.start();
    first.waitUntilReady();
    for (int i = 0; i < 200; ++i) {
        const auto row = store.value("kelptally_owners", "cases");
        if (row && row->find(first.peerAddress()) != std::string::npos)
            break;
        sleepMs(50);
    }
    second.start();
    second.waitUntilReady();
    Client client("c0", first);
    if (!client.start("decisions"))
        cannotRun("a session can't be started");
    for (int i = 0; i < 20; ++i)
        if (!client.query("w" + std::to_string(i), "WRITE a" + std::to_string(i) + " d").ok())
            cannotRun("the system does not serve a write before the disruption");
    sleepMs(2000);
    const auto row = store.value("kelptally_owners", "cases");
    if (!row || row->find("\"owner\":\"" + first.peerAddress()) == std::string::npos)
        cannotRun("another host owns the group");

    if (trouble) {
        record.line("the cloud API is cut off from frontend-a-1");
        path.cut();
    }
    sleepMs(cutBeforeCrashMs);
    if (crash)
        group.crash("i-1");
    if (trouble)
        std::thread([&] {
            sleepMs(stopAfterCrashMs);
            first.terminate();
            sleepMs(healAfterCrashMs - stopAfterCrashMs);
            record.line("the cut heals");
            path.heal();
        }).detach();
    // Two writes a second through the second host. The run ends before the crash has lasted 7 s.
    for (int i = 0; i < 9; ++i) {
        Client writer("d" + std::to_string(i), second);
        if (writer.start("decisions"))
            writer.query("x" + std::to_string(i), "WRITE b" + std::to_string(i) + " d");
        sleepMs(400);
    }
    first.kill();
    second.kill();

    const auto seen = cloud.seen();
    if (crash && seen.empty())
        cannotRun("nobody requested a promotion");
    Cloud::Promotion highest;
    bool broken = false;
    for (const Cloud::Promotion &promotion : seen) {
        if (promotion.fence < highest.fence && promotion.holder != highest.holder) {
            broken = true;
            record.line("fence " + std::to_string(promotion.fence) + " of " + promotion.holder
                        + " after fence " + std::to_string(highest.fence) + " of "
                        + highest.holder);
        }
        if (promotion.fence > highest.fence)
            highest = promotion;
    }
    record.line(broken ? "ONE is broken" : "ONE holds");
    std::printf("%s\n", broken ? "ONE is broken" : "ONE holds");
    std::fflush(stdout);
    std::_Exit(broken ? 1 : 0);
}
