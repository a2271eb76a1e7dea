#pragma once

#include "modelcluster.h"
#include "recoveryqueue.h"

namespace kelptally::model {

// Injects faults that change the set of servers, or the hosts' knowledge of it. Uses a random
// sequence of its own.
class MembershipFaults
{
public:
    MembershipFaults(ModelCluster &cluster, RecoveryQueue &recoveries, std::uint64_t seed);

    // Injects a fault with a small probability.
    void step();
    // Crashes the server. It comes back under another id after the time.
    void crash(const ServerName &server, Duration down);
    // Makes the server report that it leaves, and ends it after the time. Another server takes over
    // its log.
    void leave(const ServerName &server, Duration time);

private:
    using Fault = void (MembershipFaults::*)();

    void crashOne();
    void leaveOne();
    void denyRenewals();
    void hideEntry();
    void restartHostWithPartialList();
    void destroyOne();
    void restartOneQuickly();
    void stallReplicaAndCrashPrimary();
    void stopHost();
    void denyStoreToHost();
    void refuseConnectionsFromHost();
    void takeStoreDown();

    void replaceWithLog(const ServerName &server);
    void restart(std::size_t host);
    std::string addressOf(std::size_t host) const;
    std::size_t randomHost();
    // Prefers the primary. Returns an empty name if no server runs.
    ServerName randomRunningServer();
    ServerName randomReplica();
    bool chance(double probability);
    std::size_t randomBelow(std::size_t bound);
    Duration randomDuration(Duration minimum, Duration maximum);

    ModelCluster &cluster_;
    RecoveryQueue &recoveries_;
    std::mt19937_64 random_;
    // Set until a destroyed server has been replaced and its successor has had time to copy the
    // log.
    bool replacementPending_ = false;
};

} // namespace kelptally::model
