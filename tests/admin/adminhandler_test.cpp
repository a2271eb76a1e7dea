#include "admin/adminhandler.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::admin;

namespace {

// Stores the response for the test to inspect.
class CapturingReply : public caller::HttpReply
{
public:
    explicit CapturingReply(caller::HttpResponse &into) : into_(into) { }
    void send(caller::HttpResponse response) override { into_ = std::move(response); }

private:
    caller::HttpResponse &into_;
};

caller::HttpResponse get(AdminHandler &handler, const std::string &path)
{
    caller::HttpResponse response;
    caller::HttpRequest request;
    request.path = path;
    handler.onRequest(request, std::make_shared<CapturingReply>(response));
    return response;
}

} // namespace

TEST_CASE("The administration port serves health, readiness and metrics, and forwards the API")
{
    Metrics metrics;
    std::string notReady = "no configuration yet";
    int collected = 0;
    std::string apiPath;
    AdminHandler handler({metrics, [&] { ++collected; }, [&] { return notReady; },
                          [&](caller::HttpRequest request, caller::HttpReplyPtr reply) {
                              apiPath = request.path;
                              reply->send({});
                          }});
    CHECK(get(handler, "/healthz").status == 200);
    CHECK(get(handler, "/readyz").status == 503);
    CHECK(get(handler, "/readyz").body == "no configuration yet\n");
    notReady.clear();
    CHECK(get(handler, "/readyz").status == 200);
    const caller::HttpResponse text = get(handler, "/metrics");
    CHECK(text.contentType.find("text/plain; version=0.0.4") == 0);
    CHECK(text.body.find("kelptally_refusals_total{reason=\"queue_full\"} 0") != std::string::npos);
    CHECK(collected == 1);
    CHECK(get(handler, "/other").status == 404);
    CHECK(apiPath.empty());
    get(handler, "/admin/v1/status");
    CHECK(apiPath == "/admin/v1/status");
}
