#include "membershipfaults.h"

namespace kelptally::model {

namespace {

using namespace std::chrono_literals;

// Probability of a fault in each step of 25 ms.
constexpr double faultProbability = 0.015;
constexpr Duration minDowntime = 500ms;
constexpr Duration maxDowntime = 12s;

} // namespace

MembershipFaults::MembershipFaults(ModelCluster &cluster, RecoveryQueue &recoveries,
                                   std::uint64_t seed)
    : cluster_(cluster), recoveries_(recoveries), random_(seed * 32452843 + 11)
{
    cluster_.useRegistry(seed);
}

void MembershipFaults::step()
{
    static constexpr Fault faults[] = {
        &MembershipFaults::crashOne,
        &MembershipFaults::leaveOne,
        &MembershipFaults::denyRenewals,
        &MembershipFaults::hideEntry,
        &MembershipFaults::restartHostWithPartialList,
        &MembershipFaults::destroyOne,
        &MembershipFaults::restartOneQuickly,
        &MembershipFaults::stallReplicaAndCrashPrimary,
        &MembershipFaults::stallReplicaAndCrashPrimary,
        &MembershipFaults::stopHost,
        &MembershipFaults::denyStoreToHost,
        &MembershipFaults::refuseConnectionsFromHost,
        &MembershipFaults::takeStoreDown,
    };
    if (chance(faultProbability))
        (this->*faults[randomBelow(std::size(faults))])();
}

// Servers

void MembershipFaults::crash(const ServerName &server, Duration down)
{
    if (!cluster_.group.servers().at(server).running)
        return;
    cluster_.logToHosts("crash " + server);
    cluster_.group.crash(server);
    recoveries_.schedule(down, [this, server] { replaceWithLog(server); });
}

void MembershipFaults::replaceWithLog(const ServerName &server)
{
    if (cluster_.group.servers().at(server).retired)
        return;
    const ServerName next = cluster_.group.replaceWithLog(server);
    const bool leads = cluster_.group.servers().at(next).primary;
    cluster_.logToHosts(next + " takes over the log of " + server + (leads ? " and leads" : ""));
}

void MembershipFaults::leave(const ServerName &server, Duration time)
{
    ModelServer &model = cluster_.group.servers().at(server);
    if (!model.running || model.leaving)
        return;
    cluster_.logToHosts(server + " leaves");
    model.leaving = true;
    const Duration moving = randomDuration(0ms, 1s);
    recoveries_.schedule(time, [this, server, moving] {
        if (!cluster_.group.servers().at(server).running)
            return;
        cluster_.logToHosts(server + " has ended");
        cluster_.group.crash(server);
        cluster_.registry().remove(server);
        recoveries_.schedule(moving, [this, server] { replaceWithLog(server); });
    });
}

void MembershipFaults::crashOne()
{
    const ServerName server = randomRunningServer();
    if (!server.empty())
        crash(server, randomDuration(minDowntime, maxDowntime));
}

void MembershipFaults::leaveOne()
{
    const ServerName server = randomRunningServer();
    if (!server.empty())
        leave(server, randomDuration(2s, 9s));
}

// Affects one server or all. Their entries expire if it lasts long enough.
void MembershipFaults::denyRenewals()
{
    std::vector<ServerName> servers = cluster_.group.existingServers();
    if (chance(0.6))
        servers = {servers[randomBelow(servers.size())]};
    std::string names;
    for (const ServerName &server : servers) {
        names += " " + server;
        cluster_.registry().deniedRenewal.insert(server);
    }
    cluster_.logToHosts("the store rejects renewals of" + names);
    recoveries_.schedule(randomDuration(2s, 8s), [this, servers, names] {
        for (const ServerName &server : servers)
            cluster_.registry().deniedRenewal.erase(server);
        cluster_.logToHosts("the store accepts renewals of" + names);
    });
}

void MembershipFaults::hideEntry()
{
    const std::vector<ServerName> servers = cluster_.group.existingServers();
    const ServerName server = servers[randomBelow(servers.size())];
    const std::size_t host = randomHost();
    cluster_.logToHosts("host " + std::to_string(host) + " does not see " + server);
    cluster_.registry().hide(host, server, randomDuration(100ms, 2s));
}

void MembershipFaults::destroyOne()
{
    const ServerName server = chance(0.3) ? randomRunningServer() : randomReplica();
    if (server.empty() || replacementPending_)
        return;
    replacementPending_ = true;
    cluster_.logToHosts(server + " is lost for good");
    cluster_.group.destroy(server);
    recoveries_.schedule(randomDuration(1s, 8s), [this, server] {
        const ServerName next = cluster_.group.replaceEmpty(server);
        cluster_.logToHosts(next + " takes the place of " + server);
        recoveries_.schedule(5s, [this] { replacementPending_ = false; });
    });
}

void MembershipFaults::restartOneQuickly()
{
    const ServerName server = randomRunningServer();
    // If entries have no start time, a server must not start again under the same id.
    if (server.empty() || !cluster_.group.entriesHaveStart)
        return;
    cluster_.logToHosts("quick restart of " + server);
    cluster_.group.restartQuickly(server);
}

void MembershipFaults::stallReplicaAndCrashPrimary()
{
    const ServerName replica = randomReplica();
    if (replica.empty())
        return;
    cluster_.logToHosts(replica + " is stalled");
    cluster_.group.servers().at(replica).stalled = true;
    recoveries_.schedule(randomDuration(2s, 7s), [this, replica] {
        cluster_.logToHosts(replica + " receives again");
        cluster_.group.servers().at(replica).stalled = false;
    });
    const Duration down = randomDuration(minDowntime, maxDowntime);
    recoveries_.schedule(randomDuration(100ms, 3s), [this, down] {
        const ServerName primary = cluster_.group.primary();
        if (!primary.empty())
            crash(primary, down);
    });
}

// Hosts

void MembershipFaults::restart(std::size_t host)
{
    if (cluster_.isUp(host))
        return;
    cluster_.restart(host);
    cluster_.logToHosts("host " + std::to_string(host) + " starts");
}

void MembershipFaults::restartHostWithPartialList()
{
    const std::size_t host = randomHost();
    if (!cluster_.isUp(host))
        return;
    cluster_.logToHosts("host " + std::to_string(host) + " ends");
    cluster_.kill(host);
    recoveries_.schedule(randomDuration(200ms, 3s), [this, host] {
        if (cluster_.isUp(host))
            return;
        restart(host);
        for (const ServerName &server : cluster_.group.existingServers())
            if (chance(0.5))
                cluster_.registry().hide(host, server, randomDuration(200ms, 2s));
    });
}

void MembershipFaults::stopHost()
{
    const std::size_t host = randomHost();
    if (!cluster_.isUp(host))
        return;
    cluster_.logToHosts("host " + std::to_string(host) + " is stopped");
    cluster_.drain(host);
    const Duration downtime = randomDuration(200ms, 2s);
    recoveries_.schedule(randomDuration(500ms, 4s), [this, host, downtime] {
        if (cluster_.isUp(host))
            cluster_.kill(host);
        recoveries_.schedule(downtime, [this, host] { restart(host); });
    });
}

void MembershipFaults::denyStoreToHost()
{
    const std::size_t host = randomHost();
    const bool refused = chance(0.5);
    std::set<std::string> &hosts =
        refused ? cluster_.store.refusedHosts : cluster_.store.partitionedHosts;
    cluster_.logToHosts("the store rejects host " + std::to_string(host));
    hosts.insert(addressOf(host));
    recoveries_.schedule(randomDuration(500ms, 6s), [this, host, &hosts] {
        cluster_.logToHosts("the store accepts again host " + std::to_string(host));
        hosts.erase(addressOf(host));
    });
}

void MembershipFaults::refuseConnectionsFromHost()
{
    const ServerName server = randomRunningServer();
    if (server.empty())
        return;
    const std::size_t host = randomHost();
    cluster_.logToHosts(server + " refuses connections of host " + std::to_string(host));
    cluster_.group.refuseConnections(addressOf(host), server);
    recoveries_.schedule(randomDuration(200ms, 6s), [this, host, server] {
        cluster_.logToHosts(server + " accepts connections of host " + std::to_string(host));
        cluster_.group.healPartition(addressOf(host), server);
    });
}

void MembershipFaults::takeStoreDown()
{
    cluster_.logToHosts("store down");
    cluster_.store.down = true;
    recoveries_.schedule(randomDuration(3s, 8s), [this] {
        cluster_.logToHosts("store up");
        cluster_.store.down = false;
    });
}

// Random choices

std::string MembershipFaults::addressOf(std::size_t host) const
{
    return "10.0.0." + std::to_string(host + 1) + ":1";
}

std::size_t MembershipFaults::randomHost()
{
    const int owner = cluster_.owner();
    return owner >= 0 && chance(0.5) ? std::size_t(owner) : randomBelow(cluster_.hosts.size());
}

ServerName MembershipFaults::randomRunningServer()
{
    const ServerName primary = cluster_.group.primary();
    if (!primary.empty() && cluster_.group.servers().at(primary).running && chance(0.5))
        return primary;
    std::vector<ServerName> running;
    for (const ServerName &server : cluster_.group.existingServers())
        if (cluster_.group.servers().at(server).running)
            running.push_back(server);
    return running.empty() ? ServerName() : running[randomBelow(running.size())];
}

ServerName MembershipFaults::randomReplica()
{
    std::vector<ServerName> replicas;
    for (const ServerName &server : cluster_.group.existingServers())
        if (cluster_.group.servers().at(server).running && server != cluster_.group.primary())
            replicas.push_back(server);
    return replicas.empty() ? ServerName() : replicas[randomBelow(replicas.size())];
}

bool MembershipFaults::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::size_t MembershipFaults::randomBelow(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

Duration MembershipFaults::randomDuration(Duration minimum, Duration maximum)
{
    return Duration(
        std::uniform_int_distribution<std::int64_t>(minimum.count(), maximum.count())(random_));
}

} // namespace kelptally::model
