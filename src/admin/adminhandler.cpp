#include "admin/adminhandler.h"

#include "caller/problem.h"

namespace kelptally::admin {

namespace {

constexpr const char *metricsType = "text/plain; version=0.0.4; charset=utf-8";
constexpr std::string_view apiPrefix = "/admin/v1/";

caller::HttpResponse plainText(int status, const std::string &text)
{
    caller::HttpResponse response;
    response.status = status;
    response.contentType = "text/plain; charset=utf-8";
    response.body = text + "\n";
    return response;
}

} // namespace

AdminHandler::AdminHandler(Parts parts) : parts_(std::move(parts)) { }

void AdminHandler::onRequest(caller::HttpRequest request, caller::HttpReplyPtr reply)
{
    if (request.path.compare(0, apiPrefix.size(), apiPrefix) == 0)
        return parts_.api(std::move(request), std::move(reply));
    const bool reads =
        request.method == caller::HttpMethod::Get || request.method == caller::HttpMethod::Head;
    if (reads && request.path == "/healthz")
        return reply->send(plainText(200, "ok"));
    if (reads && request.path == "/readyz") {
        const std::string notReadyReason = parts_.notReady();
        return reply->send(plainText(notReadyReason.empty() ? 200 : 503,
                                     notReadyReason.empty() ? "ready" : notReadyReason));
    }
    if (reads && request.path == "/metrics") {
        parts_.collect();
        return reply->send({200, metricsType, {}, parts_.metrics.toText()});
    }
    reply->send(caller::problemResponse(caller::makeProblem(Reason::UnknownPath)));
}

void AdminHandler::onCallerDisconnected(caller::ConnectionId) { }

} // namespace kelptally::admin
