#pragma once

#include "bench/checker.h"
#include "bench/model.h"

#include <functional>
#include <memory>
#include <string>

namespace kelptally::bench {

using AnswerCallback = std::function<void(const Answer &)>;

// Behaviour of the proxies in a replay: kelptally, or a baseline for comparison.
class Policy
{
public:
    virtual ~Policy() = default;

    virtual void start() = 0;
    // Handles a request that arrived at the host's entry. The callback is called at most once, when
    // the entry answers.
    virtual void submit(const TraceRequest &request, const HostName &entry,
                        AnswerCallback callback) = 0;
    // Whether the load balancer sends callers to this host.
    virtual bool acceptsCallers(const HostName &host) const = 0;
    virtual void stopHost(const HostName &host) = 0;
    virtual void crashHost(const HostName &host) = 0;
    virtual void startHost(const HostName &host) = 0;
    // The proxies have received a configuration that marks the server as leaving.
    virtual void onServerLeaving(const ServerName &server) = 0;
};

std::unique_ptr<Policy> makeKelptally(Model &model);

// Creates a baseline with independent proxies, one on each host. After three failed health checks,
// one second apart, a proxy promotes the first server that answers. Writes are acknowledged once
// the primary has them. Reads go to the primary, or round robin to the replicas without session
// tokens.
std::unique_ptr<Policy> makeBaseline(Model &model, bool readReplicas);

// Creates the policy with this command-line name; null if the name is unknown.
std::unique_ptr<Policy> makePolicy(const std::string &name, Model &model);

} // namespace kelptally::bench
