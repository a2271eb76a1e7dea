#pragma once

#include "caller/httpmessage.h"
#include "core/metrics.h"

#include <functional>
#include <string>

namespace kelptally::admin {

// Serves the administration port: /metrics, /healthz and /readyz without authentication, and paths
// below /admin/v1 through Parts::api, which checks the operator's key.
class AdminHandler : public caller::HttpHandler
{
public:
    using Api = std::function<void(caller::HttpRequest request, caller::HttpReplyPtr reply)>;

    struct Parts
    {
        Metrics &metrics;
        // Updates the gauges before the metrics are written.
        std::function<void()> collect;
        // Returns why the process is not ready; empty when it is ready.
        std::function<std::string()> notReady;
        Api api;
    };

    explicit AdminHandler(Parts parts);

    void onRequest(caller::HttpRequest request, caller::HttpReplyPtr reply) override;
    void onCallerDisconnected(caller::ConnectionId connection) override;

private:
    const Parts parts_;
};

} // namespace kelptally::admin
