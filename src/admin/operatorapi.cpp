#include "admin/operatorapi.h"

#include "admin/configdiff.h"
#include "core/logging.h"

#include <glog/logging.h>

#include <algorithm>
#include <ctime>

namespace kelptally::admin {

using caller::HttpMethod;
using caller::HttpReplyPtr;
using caller::HttpRequest;

namespace {

constexpr std::size_t defaultHistoryLimit = 20;
constexpr std::size_t maxAuthorLength = 128;
constexpr const char *documentName = "document";

// Returns the value of a query parameter, or an empty string if it is missing.
std::string queryValue(const std::string &query, const std::string &name)
{
    std::size_t at = 0;
    while (at <= query.size()) {
        const std::size_t end = std::min(query.find('&', at), query.size());
        const std::string part = query.substr(at, end - at);
        if (part.compare(0, name.size() + 1, name + "=") == 0)
            return part.substr(name.size() + 1);
        at = end + 1;
    }
    return {};
}

// Returns the number, or the fallback if the text is not a non-negative integer.
std::uint64_t toNumber(const std::string &text, std::uint64_t fallback)
{
    JsonValue value;
    value.type = JsonType::Number;
    value.text = text;
    const std::int64_t number = value.toInteger(-1);
    return number < 0 ? fallback : static_cast<std::uint64_t>(number);
}

std::string utcNow()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts {};
    gmtime_r(&now, &parts);
    char text[32];
    return std::string(text, std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts));
}

std::vector<caller::ProblemFinding> toProblemFindings(const settings::Findings &findings)
{
    std::vector<caller::ProblemFinding> result;
    for (const settings::Finding &finding : findings.all())
        result.push_back(
            {"line " + std::to_string(finding.line) + ": " + finding.key, finding.problem});
    return result;
}

void writeFindings(JsonWriter &json, const settings::Findings &findings)
{
    json.key("findings").beginArray();
    for (const settings::Finding &finding : findings.all()) {
        json.beginObject();
        json.member("line", finding.line);
        json.member("key", finding.key);
        json.member("problem", finding.problem);
        json.endObject();
    }
    json.endArray();
}

void writeChange(JsonWriter &json, const ConfigChange &change)
{
    json.beginObject();
    json.member("section", change.section);
    json.member("key", change.key);
    if (change.before)
        json.member("before", *change.before);
    if (change.after)
        json.member("after", *change.after);
    json.endObject();
}

void writeRecord(JsonWriter &json, const ConfigRecord &record)
{
    json.member("version", record.version);
    json.member("author", record.author);
    json.member("changeId", record.changeId);
    json.member("time", record.time);
}

} // namespace

struct OperatorApi::Route
{
    HttpMethod method;
    const char *path;
    // Only for operators whose key is not limited to a team.
    bool requiresAllTeams;
    void (OperatorApi::*run)(Call);
};

OperatorApi::OperatorApi(const Parts &parts)
    : parts_(parts), keys_(caller::operatorKeys({}, parts.settings.operatorKeyHash))
{ }

const OperatorApi::Route *OperatorApi::findRoute(const HttpRequest &request)
{
    static constexpr Route routes[] = {
        {HttpMethod::Get, "/admin/v1/configuration", true, &OperatorApi::getConfiguration},
        {HttpMethod::Post, "/admin/v1/configuration/check", false,
         &OperatorApi::checkConfiguration},
        {HttpMethod::Post, "/admin/v1/configuration/diff", true, &OperatorApi::diffConfiguration},
        {HttpMethod::Post, "/admin/v1/configuration/apply", true, &OperatorApi::applyConfiguration},
        {HttpMethod::Get, "/admin/v1/configuration/history", true, &OperatorApi::history},
        {HttpMethod::Get, "/admin/v1/status", false, &OperatorApi::status},
        {HttpMethod::Post, "/admin/v1/drain", true, &OperatorApi::drain},
        {HttpMethod::Post, "/admin/v1/promote", false, &OperatorApi::promote},
        {HttpMethod::Get, "/admin/v1/explain", false, &OperatorApi::explain},
    };
    for (const Route &route : routes)
        if (route.method == request.method && request.path == route.path)
            return &route;
    return nullptr;
}

void OperatorApi::refuse(const HttpReplyPtr &reply, caller::Problem problem)
{
    parts_.metrics.countRefusal(problem.reason);
    reply->send(caller::problemResponse(problem));
}

void OperatorApi::refuse(const HttpReplyPtr &reply, Reason reason, std::string detail)
{
    refuse(reply, caller::makeProblem(reason, std::move(detail)));
}

// Authenticates the operator, finds and authorises the route, then parses the body.
void OperatorApi::onRequest(HttpRequest request, HttpReplyPtr reply)
{
    const settings::ConfigurationPtr current = parts_.config.current();
    if (current != keysConfiguration_) {
        keysConfiguration_ = current;
        keys_ = caller::operatorKeys(current->inventory, parts_.settings.operatorKeyHash);
    }
    const std::optional<std::string_view> key = caller::bearerKey(request.authorization);
    const std::optional<TeamName> team = key ? keys_.organisationOf(*key) : std::nullopt;
    if (!team)
        return refuse(reply, Reason::Unauthenticated);
    const Route *route = findRoute(request);
    if (!route)
        return refuse(reply, Reason::UnknownPath, "see docs/ADMIN.md");
    if (route->requiresAllTeams && !team->empty())
        return refuse(reply, Reason::Forbidden, "the key is limited to team " + *team);
    Call call {*team, std::move(request.query), {}, reply};
    if (request.method == HttpMethod::Post) {
        absl::StatusOr<JsonValue> body = parseJson(request.body);
        if (!body.ok())
            return refuse(reply, Reason::MalformedRequest, std::string(body.status().message()));
        call.body = std::move(*body);
    }
    (this->*route->run)(std::move(call));
}

bool OperatorApi::checkBody(const Call &call, std::initializer_list<const char *> required,
                            std::initializer_list<const char *> optional)
{
    caller::Problem problem = caller::makeProblem(Reason::MalformedRequest);
    if (call.body.type != JsonType::Object)
        problem.findings.push_back({"", "the body must be a JSON object"});
    for (const char *name : required)
        if (call.body.textOf(name).empty())
            problem.findings.push_back({std::string("/") + name, "is missing"});
    for (const std::string &name : call.body.names) {
        const auto matches = [&](const char *allowed) { return name == allowed; };
        if (std::none_of(required.begin(), required.end(), matches)
            && std::none_of(optional.begin(), optional.end(), matches))
            problem.findings.push_back({"/" + name, "unknown field"});
    }
    if (problem.findings.empty())
        return true;
    problem.detail = problem.findings.front().place + " " + problem.findings.front().problem;
    refuse(call.reply, std::move(problem));
    return false;
}

bool OperatorApi::mayAccess(const TeamName &team, const GroupName &group) const
{
    if (team.empty())
        return true;
    const settings::ConfigurationPtr current = parts_.config.current();
    const settings::Group *found = current ? current->inventory.findGroup(group) : nullptr;
    return found && found->team == team;
}

// ---- Configuration ----

void OperatorApi::sendRecord(const Call &call, const ConfigRecord &record)
{
    const settings::ConfigurationPtr current = parts_.config.current();
    JsonWriter json;
    json.beginObject();
    writeRecord(json, record);
    json.member("inForce", current ? current->version : 0);
    json.member("document", record.document);
    json.endObject();
    call.reply->send(caller::jsonResponse(json.take()));
}

// While the store is unavailable, the version in force in this process is returned as the newest.
void OperatorApi::getConfiguration(Call call)
{
    const ConfigVersion version = toNumber(queryValue(call.query, "version"), 0);
    const auto answer = [this, call, version](absl::StatusOr<std::optional<ConfigRecord>> record) {
        const settings::ConfigurationPtr current = parts_.config.current();
        if (record.ok() && *record)
            return sendRecord(call, **record);
        if (record.ok() && version > 0)
            return refuse(call.reply, Reason::UnknownPath, "there is no such version");
        if (record.ok())
            return sendRecord(call, ConfigRecord());
        if (!current || (version > 0 && version != current->version))
            return refuse(call.reply, Reason::StoreUnavailable,
                          std::string(record.status().message()));
        ConfigRecord known;
        known.version = current->version;
        known.document = current->document;
        sendRecord(call, known);
    };
    version > 0 ? parts_.store.readVersion(version, answer) : parts_.store.readNewest(answer);
}

void OperatorApi::checkConfiguration(Call call)
{
    if (!checkBody(call, {"document"}, {}))
        return;
    settings::Findings findings;
    settings::parseInventory(documentName, call.body.textOf("document"), findings);
    JsonWriter json;
    json.beginObject();
    writeFindings(json, findings);
    json.endObject();
    call.reply->send(caller::jsonResponse(json.take()));
}

void OperatorApi::diffConfiguration(Call call)
{
    if (!checkBody(call, {"document"}, {}))
        return;
    parts_.store.readNewest([this, call](absl::StatusOr<std::optional<ConfigRecord>> record) {
        if (!record.ok())
            return refuse(call.reply, Reason::StoreUnavailable,
                          std::string(record.status().message()));
        const ConfigRecord newest = record->value_or(ConfigRecord());
        const std::string document = call.body.textOf("document");
        settings::Findings findings;
        settings::parseInventory(documentName, document, findings);
        JsonWriter json;
        json.beginObject();
        json.member("against", newest.version);
        writeFindings(json, findings);
        json.key("changes").beginArray();
        for (const ConfigChange &change : diffDocuments(newest.document, document))
            writeChange(json, change);
        json.endArray();
        json.endObject();
        call.reply->send(caller::jsonResponse(json.take()));
    });
}

void OperatorApi::applyConfiguration(Call call)
{
    if (!checkBody(call, {"document", "expect", "author", "changeId"}, {}))
        return;
    const JsonValue *expect = call.body.find("expect");
    const std::int64_t expected = expect->toInteger(-1);
    ConfigRecord record;
    record.author = call.body.textOf("author");
    record.changeId = call.body.textOf("changeId");
    record.document = call.body.textOf("document");
    record.time = utcNow();
    if (expected < 0)
        return refuse(call.reply, Reason::MalformedRequest,
                      "/expect must be the version that is changed; 0 when there is none yet");
    if (record.author.size() > maxAuthorLength || record.changeId.size() > maxAuthorLength)
        return refuse(call.reply, Reason::MalformedRequest, "/author or /changeId is too long");
    settings::Findings findings;
    settings::parseInventory(documentName, record.document, findings);
    if (!findings.empty()) {
        caller::Problem problem = caller::makeProblem(Reason::InvalidConfiguration,
                                                      std::to_string(findings.all().size())
                                                          + " mistakes; nothing was changed");
        problem.findings = toProblemFindings(findings);
        return refuse(call.reply, std::move(problem));
    }
    record.version = static_cast<ConfigVersion>(expected) + 1;
    parts_.store.apply(static_cast<ConfigVersion>(expected), record,
                       [this, call, record](const absl::StatusOr<ConfigApplied> &applied) {
                           onApplied(call, record, applied);
                       });
}

void OperatorApi::onApplied(const Call &call, const ConfigRecord &record,
                            const absl::StatusOr<ConfigApplied> &applied)
{
    const bool accepted = applied.ok() && applied->accepted;
    const std::string cause = !applied.ok() ? std::string(applied.status().message())
        : accepted                          ? "requested by an operator"
                                            : "another version is newest";
    LOG(INFO) << "event=config_apply expected=" << record.version - 1 << " accepted=" << accepted
              << " author=" << logValue(record.author) << " change=" << logValue(record.changeId)
              << " cause=" << logValue(cause);
    if (!applied.ok()) {
        caller::Problem problem =
            caller::makeProblem(Reason::StoreUnavailable, std::string(applied.status().message()));
        const bool notWritten = absl::IsUnavailable(applied.status());
        problem.executed = notWritten ? Executed::No : Executed::Unknown;
        return refuse(call.reply, std::move(problem));
    }
    if (!accepted)
        return refuse(call.reply, Reason::VersionConflict,
                      "the newest version is " + std::to_string(applied->version) + ", not "
                          + std::to_string(record.version - 1));
    parts_.config.onAccepted(applied->version, record.document);
    JsonWriter json;
    json.beginObject();
    json.member("version", applied->version);
    json.endObject();
    call.reply->send(caller::jsonResponse(json.take()));
}

void OperatorApi::history(Call call)
{
    const std::size_t limit = toNumber(queryValue(call.query, "limit"), defaultHistoryLimit);
    if (limit > maxHistoryLimit)
        return refuse(call.reply, Reason::MalformedRequest,
                      "limit: at most " + std::to_string(maxHistoryLimit));
    parts_.store.readHistory(limit,
                             [this, call](absl::StatusOr<std::vector<ConfigRecord>> records) {
                                 if (!records.ok())
                                     return refuse(call.reply, Reason::StoreUnavailable,
                                                   std::string(records.status().message()));
                                 JsonWriter json;
                                 json.beginObject();
                                 json.key("versions").beginArray();
                                 for (const ConfigRecord &record : *records) {
                                     json.beginObject();
                                     writeRecord(json, record);
                                     json.endObject();
                                 }
                                 json.endArray();
                                 json.endObject();
                                 call.reply->send(caller::jsonResponse(json.take()));
                             });
}

void OperatorApi::explain(Call call)
{
    const std::string name = queryValue(call.query, "reason");
    const Reason reason = reasonFromName(name);
    if (reason == Reason::None)
        return refuse(call.reply, Reason::UnknownPath, "there is no reason " + name);
    const ReasonInfo &info = reasonInfo(reason);
    JsonWriter json;
    json.beginObject();
    json.member("reason", info.name);
    json.member("status", info.httpStatus);
    json.member("executed", executedName(info.executed));
    json.member("retryable", info.retryable);
    json.member("explanation", info.explanation);
    json.endObject();
    call.reply->send(caller::jsonResponse(json.take()));
}

} // namespace kelptally::admin
