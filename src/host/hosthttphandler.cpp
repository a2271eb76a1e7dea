#include "host/hosthttphandler.h"

#include "admin/statusjson.h"
#include "caller/problem.h"

namespace kelptally::host {

namespace {

using caller::HttpMethod;

constexpr const char *ruleName(inner::ReadRule rule)
{
    switch (rule) {
    case inner::ReadRule::Newest:
        return "newest";
    case inner::ReadRule::Bounded:
        return "bounded";
    case inner::ReadRule::OwnWrites:
        return "own_writes";
    }
    return "newest";
}

caller::HttpResponse plainText(int status, std::string text)
{
    caller::HttpResponse response;
    response.status = status;
    response.contentType = "text/plain";
    response.body = std::move(text);
    return response;
}

} // namespace

HostHttpHandler::HostHttpHandler(Parts parts) : parts_(std::move(parts))
{
    if (!parts_.operatorKeyHash.empty())
        keys_.add(TeamName(), {parts_.operatorKeyHash});
}

void HostHttpHandler::onRequest(caller::HttpRequest request, caller::HttpReplyPtr reply)
{
    if (request.path == "/metrics") {
        parts_.process.collect();
        return reply->send(plainText(200, parts_.metrics.toText()));
    }
    if (request.path == "/healthz")
        return reply->send(plainText(200, std::string()));
    if (request.path == "/readyz" || request.path == parts_.readinessPath) {
        const std::string cause = parts_.process.notReady();
        return reply->send(plainText(cause.empty() ? 200 : 503, cause));
    }
    if (request.path.rfind("/admin/v1/", 0) == 0)
        return onOperator(request, reply);
    refuse(reply, Reason::UnknownPath, std::string());
}

void HostHttpHandler::onOperator(const caller::HttpRequest &request,
                                 const caller::HttpReplyPtr &reply)
{
    const auto key = caller::bearerKey(request.authorization);
    if (!key || !keys_.organisationOf(*key))
        return refuse(reply, Reason::Unauthenticated,
                      parts_.operatorKeyHash.empty()
                          ? "the settings of this host have no [keys] operator-key-hash"
                          : std::string());
    const bool reads = request.method == HttpMethod::Get;
    if (reads && request.path == "/admin/v1/status")
        return reply->send(caller::jsonResponse(status()));
    if (reads && request.path == "/admin/v1/configuration")
        return reply->send(caller::jsonResponse(configuration()));
    if (request.method == HttpMethod::Post && request.path == "/admin/v1/drain")
        return drain(request.body, reply);
    refuse(reply, Reason::UnknownPath, "a host serves only status, configuration and drain");
}

void HostHttpHandler::refuse(const caller::HttpReplyPtr &reply, Reason reason,
                             const std::string &detail)
{
    parts_.metrics.countRefusal(reason);
    reply->send(caller::problemResponse(caller::makeProblem(reason, detail)));
}

// Drains this host only; the body must name it.
void HostHttpHandler::drain(const std::string &body, const caller::HttpReplyPtr &reply)
{
    const auto json = parseJson(body);
    const std::string host = json.ok() ? json->textOf("host") : std::string();
    if (host != parts_.process.host())
        return refuse(reply, Reason::MalformedRequest,
                      "this is host " + parts_.process.host()
                          + "; call the host that is to be drained");
    parts_.log.info("operator_drain").with("already", parts_.process.isDraining());
    JsonWriter answer;
    answer.beginObject().key("processes").beginArray().beginObject();
    answer.member("address", parts_.process.self().address).member("accepted", true);
    answer.endObject().endArray().endObject();
    reply->send(caller::jsonResponse(answer.take()));
    parts_.stop();
}

std::string HostHttpHandler::status() const
{
    const session::Catalogue *catalogue = parts_.process.catalogue();
    const ConfigVersion version = catalogue == nullptr ? 0 : catalogue->version;
    admin::SystemStatus status;
    admin::ProcessStatus self;
    self.host = parts_.process.host();
    self.address = parts_.process.self().address;
    self.role = "host";
    self.reachable = true;
    self.draining = parts_.process.isDraining();
    self.version = version;
    status.processes.push_back(self);
    for (inner::GroupStatus &group : parts_.process.groups().status()) {
        if (group.owner.address.empty())
            status.unowned.push_back(group.group);
        else
            status.groups.push_back(std::move(group));
    }
    return admin::statusToJson(status, version, [](const GroupName &) { return true; });
}

// Returns the routes in force. Fields of the original document that a host doesn't use are absent.
std::string HostHttpHandler::configuration() const
{
    const session::Catalogue *catalogue = parts_.process.catalogue();
    std::string document;
    if (catalogue != nullptr) {
        for (const auto &[database, route] : catalogue->routes) {
            JsonWriter line;
            line.beginObject().member("database", database).member("route", route.name);
            line.member("group", route.group).member("rule", ruleName(route.rule));
            line.member("max_age_ms", toMilliseconds(route.maxAge));
            line.member("timeout_ms", toMilliseconds(route.statementTimeout));
            line.member("objective_ms", toMilliseconds(route.objective));
            line.member("priority", route.priority).endObject();
            document += line.take() + "\n";
        }
    }
    JsonWriter json;
    json.beginObject();
    const ConfigVersion version = catalogue == nullptr ? 0 : catalogue->version;
    json.member("version", version).member("inForce", version);
    json.member("author", "").member("changeId", "").member("time", "");
    json.member("document", document).endObject();
    return json.take();
}

} // namespace kelptally::host
