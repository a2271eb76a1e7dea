#pragma once

#include "caller/httpserver.h"
#include "caller/keyring.h"
#include "host/hostprocess.h"

#include <string>

namespace kelptally::host {

// Serves a host's HTTP endpoints: health, readiness, metrics and the administration calls that
// apply to a single host. Paths and documents are those of the administration API, so kelptallyctl
// works against a host, too.
class HostHttpHandler : public caller::HttpHandler
{
public:
    struct Parts
    {
        HostProcess &process;
        Metrics &metrics;
        EventLog &log;
        // Path of the balancer's readiness check, in addition to /readyz.
        std::string readinessPath;
        // SHA-256 of the operators' key; when empty, administration calls are refused.
        std::string operatorKeyHash;
        // Stops the process as SIGTERM does.
        std::function<void()> stop;
    };

    explicit HostHttpHandler(Parts parts);

    void onRequest(caller::HttpRequest request, caller::HttpReplyPtr reply) override;
    void onCallerDisconnected(caller::ConnectionId) override { }

private:
    void onOperator(const caller::HttpRequest &request, const caller::HttpReplyPtr &reply);
    void drain(const std::string &body, const caller::HttpReplyPtr &reply);
    void refuse(const caller::HttpReplyPtr &reply, Reason reason, const std::string &detail);
    std::string status() const;
    std::string configuration() const;

    const Parts parts_;
    KeyRing keys_;
};

} // namespace kelptally::host
