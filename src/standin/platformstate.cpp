#include "standin/platformstate.h"

#include <nlohmann/json.hpp>

namespace kelptally::standin {

namespace {

using Json = nlohmann::json;

const std::array<std::string, platformServiceCount> serviceNames = {"tables", "objects", "hosts",
                                                                    "control"};
const std::array<std::string, 3> outageNames = {"none", "reset", "refuse"};

PlatformResponse failure(int status, const std::string &title)
{
    return {status, "", Json {{"title", title}, {"status", status}}.dump()};
}

PlatformResponse success(const Json &json, const std::string &etag = {})
{
    return {200, etag, json.dump()};
}

std::optional<std::string> textMember(const Json &object, const char *name)
{
    if (!object.is_object() || !object.contains(name) || !object[name].is_string())
        return std::nullopt;
    return object[name].get<std::string>();
}

std::optional<int> countMember(const Json &object, const char *name)
{
    if (!object.contains(name) || !object[name].is_number_unsigned())
        return std::nullopt;
    return static_cast<int>(std::min<std::uint64_t>(object[name].get<std::uint64_t>(), 1 << 30));
}

int hexDigit(char c)
{
    const std::string_view digits = "0123456789abcdef";
    const auto found = digits.find(static_cast<char>(c | 0x20));
    return c >= '0' && c <= '9' ? c - '0' : found == std::string_view::npos ? -1 : int(found);
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escaped = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0
            && hexDigit(text[i + 2]) >= 0;
        if (escaped) {
            decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

// Decoded path segments and raw query of a request target.
struct Target
{
    std::vector<std::string> path;
    std::string query;
};

Target parseTarget(std::string_view text)
{
    Target target;
    const auto queryStart = std::min(text.find('?'), text.size());
    if (queryStart < text.size())
        target.query = std::string(text.substr(queryStart + 1));
    std::string_view path = text.substr(0, queryStart);
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        target.path.push_back(percentDecoded(path.substr(0, end)));
        path.remove_prefix(end);
    }
    return target;
}

// One conditional write of a transaction; without `expectedEtag` the row must be absent.
struct RowWrite
{
    std::string table;
    std::string key;
    std::string value;
    std::optional<std::string> expectedEtag;
};

std::optional<std::vector<RowWrite>> parseWrites(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("writes") || !json["writes"].is_array())
        return std::nullopt;
    std::vector<RowWrite> writes;
    for (const Json &item : json["writes"]) {
        const auto table = textMember(item, "table");
        const auto key = textMember(item, "key");
        const auto value = textMember(item, "value");
        const auto etag = textMember(item, "expectedEtag");
        const bool absent = item.is_object() && item.value("ifAbsent", Json()) == Json(true);
        if (!table || !key || !value || etag.has_value() == absent)
            return std::nullopt;
        writes.push_back({*table, *key, *value, etag});
    }
    return writes;
}

std::optional<std::vector<services::ListedHost>> parseHosts(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("hosts") || !json["hosts"].is_array())
        return std::nullopt;
    std::vector<services::ListedHost> hosts;
    for (const Json &item : json["hosts"]) {
        const auto name = textMember(item, "name");
        const auto address = textMember(item, "address");
        const auto zone = textMember(item, "zone");
        const auto state = textMember(item, "state");
        if (!name || !address || !zone || (state != "live" && state != "leaving"))
            return std::nullopt;
        hosts.push_back(
            {*name, *address, *zone,
             state == "live" ? services::HostState::Live : services::HostState::Leaving});
    }
    return hosts;
}

} // namespace

PlatformService PlatformState::serviceOf(std::string_view target)
{
    const auto path = parseTarget(target).path;
    for (std::size_t i = 0; i < platformServiceCount; ++i)
        if (!path.empty() && path[0] == serviceNames[i])
            return static_cast<PlatformService>(i);
    return PlatformService::Control;
}

void PlatformState::countRequest(PlatformService service, bool isWrite)
{
    PlatformCounters &counters = counters_[static_cast<std::size_t>(service)];
    ++(isWrite ? counters.writes : counters.reads);
}

PlatformFaults &PlatformState::faults(PlatformService service)
{
    return faults_[static_cast<std::size_t>(service)];
}

PlatformResponse PlatformState::handle(Instant now, const PlatformRequest &request)
{
    const Target target = parseTarget(request.target);
    const auto &path = target.path;
    const std::string route = request.method + " " + (path.empty() ? "" : path[0]);
    const std::string prefixKey = "prefix=";
    if (route == "GET tables" && path.size() == 4 && path[2] == "rows")
        return readRow(path[1], path[3]);
    if (route == "GET tables" && path.size() == 3 && path[2] == "rows"
        && target.query.compare(0, prefixKey.size(), prefixKey) == 0)
        return listRows(path[1], percentDecoded(target.query.substr(prefixKey.size())));
    if (route == "POST tables" && path.size() == 2 && path[1] == "transaction")
        return writeRows(request.body);
    if (route == "GET objects" && path.size() == 2)
        return getObject(path[1]);
    if (route == "PUT objects" && path.size() == 2)
        return putObject(request, path[1]);
    if (route == "GET hosts" && path.size() == 1)
        return listHosts(now);
    if (route == "PUT hosts" && path.size() == 1)
        return putHosts(now, request.body);
    if (route == "POST faults" && path.size() == 1)
        return setFaults(request.body);
    if (route == "GET counters" && path.size() == 1)
        return showCounters();
    return failure(404, "path not found");
}

PlatformResponse PlatformState::readRow(const std::string &table, const std::string &key) const
{
    const auto items = tables_.find(table);
    if (items == tables_.end() || items->second.count(key) == 0)
        return failure(404, "row not found");
    const Item &item = items->second.at(key);
    return success({{"key", key}, {"value", item.value}}, item.etag);
}

PlatformResponse PlatformState::listRows(const std::string &table, const std::string &prefix) const
{
    Json rows = Json::array();
    const auto items = tables_.find(table);
    if (items != tables_.end())
        for (auto at = items->second.lower_bound(prefix);
             at != items->second.end() && at->first.compare(0, prefix.size(), prefix) == 0; ++at)
            rows.push_back(
                {{"key", at->first}, {"value", at->second.value}, {"etag", at->second.etag}});
    return success({{"rows", rows}});
}

PlatformResponse PlatformState::writeRows(const std::string &body)
{
    const auto writes = parseWrites(body);
    if (!writes)
        return failure(400, "the body is not a list of conditional writes");
    for (const RowWrite &write : *writes) {
        const Items &items = tables_[write.table];
        const auto found = items.find(write.key);
        const bool conditionMet = write.expectedEtag
            ? found != items.end() && found->second.etag == *write.expectedEtag
            : found == items.end();
        if (!conditionMet)
            return failure(412, "the precondition on " + write.table + "/" + write.key + " failed");
    }
    Json newEtags = Json::array();
    for (const RowWrite &write : *writes) {
        const std::string newEtag = nextEtag();
        tables_[write.table][write.key] = {write.value, newEtag};
        newEtags.push_back(newEtag);
    }
    return success({{"etags", newEtags}});
}

PlatformResponse PlatformState::getObject(const std::string &key) const
{
    const auto found = objects_.find(key);
    if (found == objects_.end())
        return failure(404, "object not found");
    return {200, found->second.etag, found->second.value};
}

PlatformResponse PlatformState::putObject(const PlatformRequest &request, const std::string &key)
{
    const auto found = objects_.find(key);
    const bool exists = found != objects_.end();
    if (request.ifMatch.empty() && !request.ifNoneMatch)
        return failure(428, "If-Match or If-None-Match: * is required");
    const bool conditionMet = request.ifNoneMatch
        ? !exists
        : exists && "\"" + found->second.etag + "\"" == request.ifMatch;
    if (!conditionMet)
        return failure(412, "the precondition failed");
    const std::string newEtag = nextEtag();
    objects_[key] = {request.body, newEtag};
    return success(Json::object(), newEtag);
}

PlatformResponse PlatformState::listHosts(Instant now)
{
    // Remove versions that a newer visible one replaces.
    while (hostVersions_.size() > 1 && hostVersions_[1].visibleFrom <= now)
        hostVersions_.erase(hostVersions_.begin());
    Json hosts = Json::array();
    if (!hostVersions_.empty() && hostVersions_[0].visibleFrom <= now)
        for (const auto &host : hostVersions_[0].hosts)
            hosts.push_back(
                {{"name", host.name},
                 {"address", host.address},
                 {"zone", host.zone},
                 {"state", host.state == services::HostState::Live ? "live" : "leaving"}});
    return success({{"hosts", hosts}});
}

PlatformResponse PlatformState::putHosts(Instant now, const std::string &body)
{
    auto hosts = parseHosts(body);
    if (!hosts)
        return failure(400, "the body is not a list of hosts");
    setHosts(now + hostLag_, *std::move(hosts));
    return success(Json::object());
}

void PlatformState::setHosts(Instant visibleFrom, std::vector<services::ListedHost> hosts)
{
    // Keep changes in order even if the lag was shortened.
    if (!hostVersions_.empty())
        visibleFrom = std::max(visibleFrom, hostVersions_.back().visibleFrom);
    hostVersions_.push_back({visibleFrom, std::move(hosts)});
}

PlatformResponse PlatformState::setFaults(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return failure(400, "the body is not a JSON object");
    const auto service = textMember(json, "service");
    const auto outage = textMember(json, "outage");
    const auto outageName =
        std::find(outageNames.begin(), outageNames.end(), outage.value_or("none"));
    if (outageName == outageNames.end())
        return failure(400, "outage must be one of none, reset, refuse");
    bool found = false;
    for (std::size_t i = 0; i < platformServiceCount - 1; ++i) {
        if (service && *service != serviceNames[i])
            continue;
        found = true;
        PlatformFaults &faults = faults_[i];
        if (outage)
            faults.outage = static_cast<Outage>(outageName - outageNames.begin());
        if (const auto delay = countMember(json, "slowMs"))
            faults.delay = std::chrono::milliseconds(*delay);
        faults.lostResponses = countMember(json, "loseAnswers").value_or(faults.lostResponses);
    }
    if (const auto lag = countMember(json, "hostLagMs"))
        hostLag_ = std::chrono::milliseconds(*lag);
    return found ? success(Json::object())
                 : failure(400, "service must be one of tables, objects, hosts");
}

PlatformResponse PlatformState::showCounters() const
{
    Json json = Json::object();
    for (std::size_t i = 0; i < platformServiceCount - 1; ++i)
        json[serviceNames[i]] = {{"reads", counters_[i].reads}, {"writes", counters_[i].writes}};
    return success(json);
}

std::string PlatformState::nextEtag()
{
    return "v" + std::to_string(++lastEtag_);
}

} // namespace kelptally::standin
