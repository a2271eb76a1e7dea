#pragma once

#include "caller/httpserver.h"
#include "caller/keyring.h"
#include "host/hostprocess.h"

#include <string>

namespace kelptally::host {

// What balancers and operators ask a host over HTTP: readiness, metrics, and the operators' calls
// that make sense for one host. The paths and documents are those of the administration API, so
// that kelptallyctl works here, too.
class HostHttpHandler : public caller::HttpHandler
{
public:
    struct Parts
    {
        HostProcess &process;
        Metrics &metrics;
        EventLog &log;
        // Where the balancer asks, besides /readyz.
        std::string readinessPath;
        // SHA-256 of the operators' key; empty: their calls are refused.
        std::string operatorKeyHash;
        // Stops the process as SIGTERM does.
        std::function<void()> stop;
    };

    explicit HostHttpHandler(Parts parts);

    void onRequest(caller::HttpRequest request, caller::HttpReplyPtr reply) override;
    void onCallerGone(caller::ConnectionId) override { }

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
