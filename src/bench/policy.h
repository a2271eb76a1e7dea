#pragma once

#include "bench/checker.h"
#include "bench/model.h"

#include <functional>
#include <memory>
#include <string>

namespace kelptally::bench {

using AnswerCallback = std::function<void(const Answer &)>;

// How the proxies of a site act: kelptally, or a baseline to compare with.
class Policy
{
public:
    virtual ~Policy() = default;

    virtual void start() = 0;
    // A request has arrived at the entry of this host; called back at most once, there.
    virtual void submit(const TraceRequest &request, const HostName &entry,
                        AnswerCallback callback) = 0;
    // Whether the balancer sends callers to this host.
    virtual bool acceptsCallers(const HostName &host) const = 0;
    virtual void stopHost(const HostName &host) = 0;
    virtual void crashHost(const HostName &host) = 0;
    virtual void startHost(const HostName &host) = 0;
    // A server was marked as leaving and the configuration has reached the proxies.
    virtual void onServerLeaving(const ServerName &server) = 0;
};

std::unique_ptr<Policy> makeKelptally(Model &model);

// Baselines: one proxy on each host, each on its own, with a plain health check (three checks, one
// second apart, then the first server that answers is promoted). Writes are acknowledged when the
// primary has them. Reads go to the primary, or round robin to all servers without tokens.
std::unique_ptr<Policy> makeBaseline(Model &model, bool readReplicas);

// Names as on the command line; nothing when unknown.
std::unique_ptr<Policy> makePolicy(const std::string &name, Model &model);

} // namespace kelptally::bench
