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
    // "ip:port" of administration ports; any live one will do.
    std::vector<std::string> proxies;
    // Never printed.
    std::string key;
    // PEM file of the authority that signed the proxies' certificates; empty: no TLS.
    std::string ca;
    // For each attempt at one proxy.
    Duration timeout {std::chrono::seconds(15)};
};

struct ProxyAnswer
{
    int status = 0;
    JsonValue body;
    // Who answered.
    std::string proxy;

    bool succeeded() const { return status >= 200 && status < 300; }
};

// A client of the administration API that goes from proxy to proxy until one answers. Every call
// may therefore reach more than one proxy: changes carry an id that makes them happen once.
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
