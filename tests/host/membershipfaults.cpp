#include "membershipfaults.h"

namespace kelptally::model {

namespace {

using namespace std::chrono_literals;

// By step of the schedule, which is 25 ms.
constexpr double faultChance = 0.015;
constexpr Duration shortestDown = 500ms;
constexpr Duration longestDown = 12s;

} // namespace

MembershipFaults::MembershipFaults(World &world, FaultEnds &ends, std::uint64_t seed)
    : world_(world), ends_(ends), random_(seed * 32452843 + 11)
{
    world_.useRegistry(seed);
}

void MembershipFaults::step()
{
    static constexpr Fault faults[] = {
        &MembershipFaults::crashOne,
        &MembershipFaults::leaveOne,
        &MembershipFaults::turnServersAway,
        &MembershipFaults::hideEntry,
        &MembershipFaults::restartHostWithPartOfTheList,
        &MembershipFaults::loseOne,
        &MembershipFaults::bounceOne,
        &MembershipFaults::deafenReplicaAndCrashPrimary,
        &MembershipFaults::deafenReplicaAndCrashPrimary,
        &MembershipFaults::stopHost,
        &MembershipFaults::turnHostAway,
        &MembershipFaults::refuseHost,
        &MembershipFaults::takeStoreDown,
    };
    if (chance(faultChance))
        (this->*faults[below(std::size(faults))])();
}

// Servers

void MembershipFaults::crash(const ServerName &server, Duration down)
{
    if (!world_.group.servers().at(server).running)
        return;
    world_.note("crash " + server);
    world_.group.crash(server);
    ends_.after(down, [this, server] { succeed(server); });
}

void MembershipFaults::succeed(const ServerName &server)
{
    if (world_.group.servers().at(server).ended)
        return;
    const ServerName next = world_.group.succeed(server);
    const bool leads = world_.group.servers().at(next).primary;
    world_.note(next + " has the log of " + server + (leads ? " and leads" : ""));
}

void MembershipFaults::leave(const ServerName &server, Duration time)
{
    ModelServer &model = world_.group.servers().at(server);
    if (!model.running || model.leaving)
        return;
    world_.note(server + " leaves");
    model.leaving = true;
    const Duration moving = between(0ms, 1s);
    ends_.after(time, [this, server, moving] {
        if (!world_.group.servers().at(server).running)
            return;
        world_.note(server + " has left");
        world_.group.crash(server);
        world_.registry().remove(server);
        ends_.after(moving, [this, server] { succeed(server); });
    });
}

void MembershipFaults::crashOne()
{
    const ServerName server = anyRunning();
    if (!server.empty())
        crash(server, between(shortestDown, longestDown));
}

void MembershipFaults::leaveOne()
{
    const ServerName server = anyRunning();
    if (!server.empty())
        leave(server, between(2s, 9s));
}

// One server, or all; their entries lapse if it lasts.
void MembershipFaults::turnServersAway()
{
    std::vector<ServerName> servers = world_.group.existing();
    if (chance(0.6))
        servers = {servers[below(servers.size())]};
    std::string names;
    for (const ServerName &server : servers) {
        names += " " + server;
        world_.registry().turnedAway.insert(server);
    }
    world_.note("the store turns away" + names);
    ends_.after(between(2s, 8s), [this, servers, names] {
        for (const ServerName &server : servers)
            world_.registry().turnedAway.erase(server);
        world_.note("the store serves again" + names);
    });
}

void MembershipFaults::hideEntry()
{
    const std::vector<ServerName> servers = world_.group.existing();
    const ServerName server = servers[below(servers.size())];
    const std::size_t host = anyHost();
    world_.note("host " + std::to_string(host) + " does not see " + server);
    world_.registry().hide(host, server, between(100ms, 2s));
}

void MembershipFaults::loseOne()
{
    const ServerName server = chance(0.3) ? anyRunning() : anyReplica();
    if (server.empty() || losing_)
        return;
    losing_ = true;
    world_.note(server + " is lost for good");
    world_.group.lose(server);
    ends_.after(between(1s, 8s), [this, server] {
        const ServerName next = world_.group.replace(server);
        world_.note(next + " takes the place of " + server);
        ends_.after(5s, [this] { losing_ = false; });
    });
}

void MembershipFaults::bounceOne()
{
    const ServerName server = anyRunning();
    // Where entries don't tell it, a server never starts again under its id.
    if (server.empty() || !world_.group.tellsStart)
        return;
    world_.note("bounce " + server);
    world_.group.bounce(server);
}

void MembershipFaults::deafenReplicaAndCrashPrimary()
{
    const ServerName replica = anyReplica();
    if (replica.empty())
        return;
    world_.note(replica + " is deaf");
    world_.group.servers().at(replica).deaf = true;
    ends_.after(between(2s, 7s), [this, replica] {
        world_.note(replica + " hears");
        world_.group.servers().at(replica).deaf = false;
    });
    const Duration down = between(shortestDown, longestDown);
    ends_.after(between(100ms, 3s), [this, down] {
        const ServerName primary = world_.group.primary();
        if (!primary.empty())
            crash(primary, down);
    });
}

// Hosts

void MembershipFaults::restart(std::size_t host)
{
    if (world_.isUp(host))
        return;
    world_.restart(host);
    world_.note("host " + std::to_string(host) + " starts");
}

void MembershipFaults::restartHostWithPartOfTheList()
{
    const std::size_t host = anyHost();
    if (!world_.isUp(host))
        return;
    world_.note("host " + std::to_string(host) + " ends");
    world_.kill(host);
    ends_.after(between(200ms, 3s), [this, host] {
        if (world_.isUp(host))
            return;
        restart(host);
        for (const ServerName &server : world_.group.existing())
            if (chance(0.5))
                world_.registry().hide(host, server, between(200ms, 2s));
    });
}

void MembershipFaults::stopHost()
{
    const std::size_t host = anyHost();
    if (!world_.isUp(host))
        return;
    world_.note("host " + std::to_string(host) + " is stopped");
    world_.drain(host);
    const Duration away = between(200ms, 2s);
    ends_.after(between(500ms, 4s), [this, host, away] {
        if (world_.isUp(host))
            world_.kill(host);
        ends_.after(away, [this, host] { restart(host); });
    });
}

void MembershipFaults::turnHostAway()
{
    const std::size_t host = anyHost();
    const bool refused = chance(0.5);
    std::set<std::string> &hosts = refused ? world_.store.refused : world_.store.cut;
    world_.note("the store turns away host " + std::to_string(host));
    hosts.insert(addressOf(host));
    ends_.after(between(500ms, 6s), [this, host, &hosts] {
        world_.note("the store serves again host " + std::to_string(host));
        hosts.erase(addressOf(host));
    });
}

void MembershipFaults::refuseHost()
{
    const ServerName server = anyRunning();
    if (server.empty())
        return;
    const std::size_t host = anyHost();
    world_.note(server + " is refused to host " + std::to_string(host));
    world_.group.refuse(addressOf(host), server);
    ends_.after(between(200ms, 6s), [this, host, server] {
        world_.note(server + " is open again to host " + std::to_string(host));
        world_.group.endCut(addressOf(host), server);
    });
}

void MembershipFaults::takeStoreDown()
{
    world_.note("store down");
    world_.store.down = true;
    ends_.after(between(3s, 8s), [this] {
        world_.note("store up");
        world_.store.down = false;
    });
}

// Draws

std::string MembershipFaults::addressOf(std::size_t host) const
{
    return "10.0.0." + std::to_string(host + 1) + ":1";
}

std::size_t MembershipFaults::anyHost()
{
    const int owner = world_.owner();
    return owner >= 0 && chance(0.5) ? std::size_t(owner) : below(world_.hosts.size());
}

ServerName MembershipFaults::anyRunning()
{
    const ServerName primary = world_.group.primary();
    if (!primary.empty() && world_.group.servers().at(primary).running && chance(0.5))
        return primary;
    std::vector<ServerName> running;
    for (const ServerName &server : world_.group.existing())
        if (world_.group.servers().at(server).running)
            running.push_back(server);
    return running.empty() ? ServerName() : running[below(running.size())];
}

ServerName MembershipFaults::anyReplica()
{
    std::vector<ServerName> replicas;
    for (const ServerName &server : world_.group.existing())
        if (world_.group.servers().at(server).running && server != world_.group.primary())
            replicas.push_back(server);
    return replicas.empty() ? ServerName() : replicas[below(replicas.size())];
}

bool MembershipFaults::chance(double part)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < part;
}

std::size_t MembershipFaults::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

Duration MembershipFaults::between(Duration least, Duration most)
{
    return Duration(
        std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
}

} // namespace kelptally::model
