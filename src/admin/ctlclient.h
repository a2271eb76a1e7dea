#pragma once

#include "core/clock.h"
#include "core/json.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace kelptally::admin {

// How kelptallyctl reaches the proxies.
struct ProxyOptions
{
    // Administration ports as "ip:port"; the first that answers is used.
    std::vector<std::string> proxies;
    // Operator's key; never printed.
    std::string key;
    // PEM file of the authority that signed the proxies' certificates; empty for no TLS.
    std::string ca;
    // Time limit for each attempt at one proxy.
    Duration timeout {std::chrono::seconds(15)};
};

struct ProxyAnswer
{
    int status = 0;
    JsonValue body;
    // Address of the proxy that answered.
    std::string proxy;

    bool succeeded() const { return status >= 200 && status < 300; }
};

// A client of the administration API that tries the proxies in turn until one answers. A call may
// therefore reach more than one proxy: changes carry an id that makes them idempotent.
class ProxyClient
{
public:
    explicit ProxyClient(ProxyOptions options);

    absl::StatusOr<ProxyAnswer> get(const std::string &target);
    absl::StatusOr<ProxyAnswer> post(const std::string &target, const std::string &body);

private:
    absl::StatusOr<ProxyAnswer> call(const std::string &method, const std::string &target,
                                     const std::string &body);

    const ProxyOptions options_;
    // Index of the proxy that answered last.
    std::size_t current_ = 0;
};

} // namespace kelptally::admin
