#include "admin/statusjson.h"

#include <algorithm>

namespace kelptally::admin {

namespace {

void writeProcess(JsonWriter &json, const ProcessStatus &process)
{
    json.beginObject();
    json.member("host", process.host);
    json.member("role", process.role);
    json.member("address", process.address);
    json.member("reachable", process.reachable);
    json.member("version", process.version);
    json.member("draining", process.draining);
    if (!process.problem.empty())
        json.member("problem", process.problem);
    json.endObject();
}

void writeServer(JsonWriter &json, const inner::ServerStatus &server)
{
    json.beginObject();
    json.member("server", server.server);
    json.member("zone", server.zone);
    json.member("reachable", server.reachable);
    json.member("primary", server.primary);
    json.member("draining", server.draining);
    json.member("term", server.position.term);
    json.member("offset", server.position.offset);
    json.member("lagMs", toMilliseconds(server.lag));
    json.member("connections", server.connectionsOpen);
    json.member("slotsBusy", server.slotsBusy);
    json.member("queued", server.queued);
    json.endObject();
}

void writeGroup(JsonWriter &json, const inner::GroupStatus &group)
{
    json.beginObject();
    json.member("group", group.group);
    json.member("epoch", group.epoch);
    json.member("owner", group.owner.address);
    json.key("successors").beginArray();
    for (const ProcessId &successor : group.successors)
        json.string(successor.address);
    json.endArray();
    json.member("term", group.term);
    json.member("primary", group.primary);
    json.member("leaseLeftMs", toMilliseconds(group.leaseLeft));
    json.key("servers").beginArray();
    for (const inner::ServerStatus &server : group.servers)
        writeServer(json, server);
    json.endArray();
    json.endObject();
}

using TableRow = std::vector<std::string>;

// Formats rows with columns as wide as their widest cell, separated by two spaces.
std::string formatTable(const std::vector<TableRow> &rows)
{
    std::vector<std::size_t> widths;
    for (const TableRow &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const TableRow &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

bool isTrue(const JsonValue &object, std::string_view name)
{
    const JsonValue *value = object.find(name);
    return value && value->boolean;
}

const std::vector<JsonValue> &itemsOf(const JsonValue &object, std::string_view name)
{
    static const std::vector<JsonValue> none;
    const JsonValue *value = object.find(name);
    return value ? value->items : none;
}

std::string serverState(const JsonValue &server)
{
    if (!isTrue(server, "reachable"))
        return "unreachable";
    const std::string role = isTrue(server, "primary") ? "primary" : "replica";
    return isTrue(server, "draining") ? role + ", draining" : role;
}

std::string processState(const JsonValue &process)
{
    if (!isTrue(process, "reachable"))
        return "unreachable: " + process.textOf("problem");
    return isTrue(process, "draining") ? "draining" : "ok";
}

std::string processTable(const JsonValue &status)
{
    std::vector<TableRow> rows = {{"HOST", "ROLE", "ADDRESS", "VERSION", "STATE"}};
    for (const JsonValue &process : itemsOf(status, "processes"))
        rows.push_back({process.textOf("host"), process.textOf("role"), process.textOf("address"),
                        process.textOf("version"), processState(process)});
    return formatTable(rows);
}

std::string groupTable(const JsonValue &status)
{
    std::vector<TableRow> rows = {
        {"GROUP", "SERVER", "ZONE", "STATE", "TERM", "OFFSET", "LAG ms", "CONN", "BUSY", "QUEUED"}};
    for (const JsonValue &group : itemsOf(status, "groups"))
        for (const JsonValue &server : itemsOf(group, "servers"))
            rows.push_back({group.textOf("group"), server.textOf("server"), server.textOf("zone"),
                            serverState(server), server.textOf("term"), server.textOf("offset"),
                            server.textOf("lagMs"), server.textOf("connections"),
                            server.textOf("slotsBusy"), server.textOf("queued")});
    return formatTable(rows);
}

std::string ownerTable(const JsonValue &status)
{
    std::vector<TableRow> rows = {
        {"GROUP", "OWNER", "EPOCH", "TERM", "PRIMARY", "LEASE ms", "SUCCESSORS"}};
    for (const JsonValue &group : itemsOf(status, "groups")) {
        std::string successors;
        for (const JsonValue &successor : itemsOf(group, "successors"))
            successors += (successors.empty() ? "" : " ") + successor.text;
        rows.push_back({group.textOf("group"), group.textOf("owner"), group.textOf("epoch"),
                        group.textOf("term"), group.textOf("primary"), group.textOf("leaseLeftMs"),
                        successors});
    }
    for (const JsonValue &group : itemsOf(status, "unowned"))
        rows.push_back({group.text, "(none)"});
    return formatTable(rows);
}

} // namespace

std::string statusToJson(const SystemStatus &status, ConfigVersion inForce,
                         const GroupFilter &visible)
{
    JsonWriter json;
    json.beginObject();
    json.member("version", inForce);
    json.key("processes").beginArray();
    for (const ProcessStatus &process : status.processes)
        writeProcess(json, process);
    json.endArray();
    json.key("groups").beginArray();
    for (const inner::GroupStatus &group : status.groups)
        if (visible(group.group))
            writeGroup(json, group);
    json.endArray();
    json.key("unowned").beginArray();
    for (const GroupName &group : status.unowned)
        if (visible(group))
            json.string(group);
    json.endArray();
    json.endObject();
    return json.take();
}

std::string statusToTable(const JsonValue &status)
{
    return "configuration version " + status.textOf("version") + "\n\n" + processTable(status)
        + "\n" + ownerTable(status) + "\n" + groupTable(status);
}

} // namespace kelptally::admin
