#pragma once

#include "faultends.h"
#include "world.h"

namespace kelptally::model {

// Faults that change which servers there are, or which of them hosts know. Drawn from a sequence of
// their own.
class MembershipFaults
{
public:
    MembershipFaults(World &world, FaultEnds &ends, std::uint64_t seed);

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
    void turnServersAway();
    void hideEntry();
    void restartHostWithPartOfTheList();
    void loseOne();
    void bounceOne();
    void deafenReplicaAndCrashPrimary();
    void stopHost();
    void turnHostAway();
    void refuseHost();
    void takeStoreDown();

    void succeed(const ServerName &server);
    void restart(std::size_t host);
    std::string addressOf(std::size_t host) const;
    std::size_t anyHost();
    // Often the primary: it matters most. Empty when none runs.
    ServerName anyRunning();
    ServerName anyReplica();
    bool chance(double part);
    std::size_t below(std::size_t bound);
    Duration between(Duration least, Duration most);

    World &world_;
    FaultEnds &ends_;
    std::mt19937_64 random_;
    // One server is lost for good at a time, and the next only when another has taken its place and
    // has had time to copy the log.
    bool losing_ = false;
};

} // namespace kelptally::model
