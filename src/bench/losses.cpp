#include "bench/commands.h"
#include "bench/model.h"
#include "bench/policy.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <tclap/CmdLine.h>

#include <algorithm>

// Measures the load on the table service when hosts are lost, in the replay model without callers.
namespace kelptally::bench {

using namespace std::chrono_literals;

namespace {

constexpr int zoneCount = 6;

// Creates three regions of two zones each. Each group has servers in three zones.
Trace makeTopology(int hosts, int groups)
{
    Trace topology;
    topology.name = "losses";
    topology.zoneDelay = 1500us;
    topology.clientDelay = 1ms;
    topology.replicationDelay = 10ms;
    for (int i = 0; i < hosts; ++i)
        topology.hosts.push_back(
            {absl::StrFormat("h%04d", i), absl::StrCat("zone-", i % zoneCount)});
    for (int g = 0; g < groups; ++g) {
        for (int s = 0; s < 3; ++s)
            topology.servers.push_back({absl::StrFormat("g%04d-%d", g, s),
                                        absl::StrFormat("g%04d", g),
                                        absl::StrCat("zone-", (g + 2 * s) % zoneCount), 3});
    }
    return topology;
}

enum class Loss { None, PlannedStop, Restart, Host, Rack, Zone, Region };

std::vector<HostName> lostHosts(const Trace &topology, Loss loss)
{
    const std::size_t hosts = topology.hosts.size();
    const std::size_t rack = std::max<std::size_t>(1, hosts / 65);
    std::vector<HostName> lost;
    for (std::size_t i = 0; i < hosts; ++i) {
        const std::size_t zone = i % zoneCount;
        const bool affected = loss == Loss::Region ? zone < 2
            : loss == Loss::Zone                   ? zone == 0
            : loss == Loss::Rack                   ? zone == 0 && i / zoneCount < rack
            : loss == Loss::None                   ? false
                                                   : i == 0;
        if (affected)
            lost.push_back(topology.hosts[i].name);
    }
    return lost;
}

bool isLost(const TraceServer &server, Loss loss)
{
    const bool zone = server.zone == "zone-0";
    return loss == Loss::Region ? zone || server.zone == "zone-1" : loss == Loss::Zone && zone;
}

void injectLoss(Model &model, Policy &policy, Loss loss)
{
    for (const HostName &host : lostHosts(model.trace, loss)) {
        if (loss == Loss::PlannedStop)
            policy.stopHost(host);
        else
            policy.crashHost(host);
        if (loss == Loss::Restart)
            policy.startHost(host);
    }
    for (const TraceServer &server : model.trace.servers) {
        if (isLost(server, loss))
            model.server(server.name).kill();
    }
}

void measure(const Trace &topology, const char *name, Loss loss)
{
    Model model(topology);
    const auto policy = makeKelptally(model);
    policy->start();
    model.timers.advance(20s);
    const Instant begin = model.timers.now();
    const int reads = model.storeReads;
    const int writes = model.storeWrites;
    const std::size_t started = model.ownerStarts.size();
    injectLoss(model, *policy, loss);
    int maxPerSecond = 0;
    for (int second = 0; second < 60; ++second) {
        const int before = model.storeReads + model.storeWrites;
        model.timers.advance(1s);
        maxPerSecond = std::max(maxPerSecond, model.storeReads + model.storeWrites - before);
    }
    const std::size_t moved = model.ownerStarts.size() - started;
    const Duration last = moved == 0 ? Duration(0) : model.ownerStarts.back() - begin;
    absl::PrintF(
        "  %-14s hosts %4d, groups that changed owner %4d, the last after %6.0f ms; store: "
        "%5d reads, %5d writes in a minute, %4d operations in the busiest second\n",
        name, lostHosts(topology, loss).size(), moved, toMilliseconds(last),
        model.storeReads - reads, model.storeWrites - writes, maxPerSecond);
}

} // namespace

int runLosses(int argc, char **argv)
{
    TCLAP::CmdLine line("Measures the load on the table service when hosts are lost, in the "
                        "replay model without callers.");
    TCLAP::ValueArg<int> hosts("", "hosts", "hosts in six zones", false, 65, "N", line);
    TCLAP::ValueArg<int> groups("", "groups", "database groups", false, 105, "N", line);
    line.parse(argc, argv);
    const Trace topology = makeTopology(hosts.getValue(), groups.getValue());
    absl::PrintF("%d hosts, %d groups\n", hosts.getValue(), groups.getValue());
    measure(topology, "none", Loss::None);
    measure(topology, "planned stop", Loss::PlannedStop);
    measure(topology, "restart", Loss::Restart);
    measure(topology, "host crash", Loss::Host);
    measure(topology, "rack", Loss::Rack);
    measure(topology, "zone", Loss::Zone);
    measure(topology, "region", Loss::Region);
    return 0;
}

} // namespace kelptally::bench
