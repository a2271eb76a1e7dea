#include "standin/faultcontrol.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace kelptally::standin {

namespace {

using Json = nlohmann::json;

struct FaultTarget
{
    DatabaseGroup *group = nullptr;
    DatabaseServer *server = nullptr;
};

FaultTarget findServer(DatabaseGroups &groups, const std::string &name)
{
    for (const auto &group : groups)
        if (DatabaseServer *server = group->find(name))
            return {group.get(), server};
    return {};
}

Duration durationOf(const Json &fault, const char *key, Duration defaultValue)
{
    if (!fault.contains(key))
        return defaultValue;
    const double milliseconds = fault.at(key).get<double>();
    return Duration(std::llround(std::max(0.0, milliseconds) * 1e6));
}

void setLimits(DatabaseServer &server, const Json &fault)
{
    ServerLimits limits = server.limits();
    limits.slots = std::max(1, fault.value("slots", limits.slots));
    limits.connections = std::max(0, fault.value("connections", limits.connections));
    limits.connectionCost = durationOf(fault, "connection-cost-ms", limits.connectionCost);
    limits.serviceTime = durationOf(fault, "service-ms", limits.serviceTime);
    limits.clientDelay = durationOf(fault, "client-delay-ms", limits.clientDelay);
    limits.replicationDelay = durationOf(fault, "replication-delay-ms", limits.replicationDelay);
    limits.replicationLag = durationOf(fault, "replication-lag-ms", limits.replicationLag);
    limits.lockTimeout = durationOf(fault, "lock-timeout-ms", limits.lockTimeout);
    server.setLimits(limits);
}

// "peers" is an array of server names or "all", "clients" an array of addresses or "all".
void setPartition(const FaultTarget &target, const Json &fault, bool partitioned)
{
    const Json peers = fault.value("peers", Json::array());
    for (const auto &other : target.group->servers()) {
        const bool selected = peers == "all"
            || (peers.is_array()
                && std::find(peers.begin(), peers.end(), other->name()) != peers.end());
        if (selected && other.get() != target.server)
            target.group->setPartitioned(target.server->name(), other->name(), partitioned);
    }
    const Json clients = fault.value("clients", Json::array());
    target.server->callAndWait([&](DatabaseServer &server) {
        if (clients == "all")
            server.setAllClientsPartitioned(partitioned);
        for (const Json &address : clients)
            if (clients.is_array())
                server.setClientPartitioned(address.get<std::string>(), partitioned);
    });
}

std::string applyToServer(const FaultTarget &target, const std::string &name, const Json &fault)
{
    if (name == "partition" || name == "heal") {
        setPartition(target, fault, name == "partition");
        return {};
    }
    std::string problem;
    target.server->callAndWait([&](DatabaseServer &server) {
        try {
            if (name == "kill")
                server.kill(fault.value("keep-state", true));
            else if (name == "restart")
                server.restart();
            else if (name == "pause" || name == "resume")
                server.setPaused(name == "pause");
            else if (name == "set")
                setLimits(server, fault);
            else
                problem =
                    "unknown fault; allowed: kill, restart, pause, resume, partition, heal, set";
        } catch (const std::exception &error) {
            problem = error.what();
        }
    });
    return problem;
}

double milliseconds(Duration duration)
{
    return toMilliseconds(duration);
}

Json toJson(const ServerState &state)
{
    const ServerLimits &limits = state.limits;
    return {{"name", state.name},
            {"port", state.port},
            {"running", state.running},
            {"paused", state.paused},
            {"term", state.term},
            {"role", state.role},
            {"received", state.received},
            {"applied", state.applied},
            {"fence", state.fence},
            {"connections", state.connections},
            {"peak-connections", state.peakConnections},
            {"limits",
             {{"slots", limits.slots},
              {"connections", limits.connections},
              {"connection-cost-ms", milliseconds(limits.connectionCost)},
              {"service-ms", milliseconds(limits.serviceTime)},
              {"client-delay-ms", milliseconds(limits.clientDelay)},
              {"replication-delay-ms", milliseconds(limits.replicationDelay)},
              {"replication-lag-ms", milliseconds(limits.replicationLag)},
              {"lock-timeout-ms", milliseconds(limits.lockTimeout)}}}};
}

} // namespace

std::string applyFault(DatabaseGroups &groups, const std::string &body)
{
    try {
        const Json fault = Json::parse(body);
        const auto serverName = fault.at("server").get<std::string>();
        const FaultTarget target = findServer(groups, serverName);
        if (target.server == nullptr)
            return "unknown server " + serverName;
        return applyToServer(target, fault.at("fault").get<std::string>(), fault);
    } catch (const std::exception &error) {
        return error.what();
    }
}

std::string stateDocument(const DatabaseGroups &groups)
{
    Json document = {{"groups", Json::array()}};
    for (const auto &group : groups) {
        Json servers = Json::array();
        for (const auto &server : group->servers())
            server->callAndWait([&](DatabaseServer &s) { servers.push_back(toJson(s.state())); });
        document["groups"].push_back({{"name", group->name()}, {"servers", servers}});
    }
    return document.dump(2) + "\n";
}

} // namespace kelptally::standin
