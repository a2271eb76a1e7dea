#pragma once

#include "modelcluster.h"
#include "recoveryqueue.h"

namespace kelptally::model {

// Faults that change which servers there are, or which of them hosts know. Drawn from a sequence of
// their own.
class MembershipFaults
{
public:
    MembershipFaults(ModelCluster &cluster, RecoveryQueue &recoveries, std::uint64_t seed);

    // Perhaps one fault, and what the world needs for it.
    void step();
    // The server crashes, and comes back after the time under another id.
    void crash(const ServerName &server, Duration down);
    // The server reports that it leaves, ends after the time, and another has its log.
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
    // Often the primary: it matters most. Empty when none runs.
    ServerName randomRunningServer();
    ServerName randomReplica();
    bool chance(double probability);
    std::size_t randomBelow(std::size_t bound);
    Duration randomDuration(Duration minimum, Duration maximum);

    ModelCluster &cluster_;
    RecoveryQueue &recoveries_;
    std::mt19937_64 random_;
    // One server is lost for good at a time, and the next only when another has taken its place and
    // has had time to copy the log.
    bool replacementPending_ = false;
};

} // namespace kelptally::model
