#pragma once

#include "decision/membership.h"
#include "owner/groupruntime.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace kelptally::owner {

// All groups that this process owns, succeeds or is asked about, and the messages of its peers on
// their way to them. Lives on the groups thread.
class GroupDirectory
{
public:
    explicit GroupDirectory(OwnerPorts &ports);
    ~GroupDirectory();

    // A version that is in force from now on.
    void configure(const settings::ConfigurationPtr &configuration);
    const settings::ConfigurationPtr &configuration() const { return configuration_; }

    void onPeerUp(inner::LinkId link, const inner::Hello &peer);
    void onPeerDown(inner::LinkId link);
    void onMessage(inner::LinkId link, inner::Message message);
    // The platform's list of hosts as just fetched.
    void onHostList(const std::vector<HostName> &live, const std::vector<HostName> &leaving);

    // Called each GroupRuntime::tickPeriod.
    void tick();

    // Hands over every group. New requests go on being answered, by a hint to the new owner.
    void drain();
    // Nothing is served here any more and no request waits.
    bool drained() const;
    bool draining() const { return draining_; }
    bool ready() const { return configuration_ != nullptr; }

    inner::OperatorAnswer carryOut(const inner::OperatorRequest &request);

private:
    void handle(inner::LinkId link, inner::Execute &&execute);
    void handle(inner::LinkId link, inner::Cancel &&cancel);
    void handle(inner::LinkId link, inner::Heartbeat &&heartbeat);
    void handle(inner::LinkId link, inner::HeartbeatAnswer &&answer);
    void handle(inner::LinkId link, inner::Locate &&locate);
    void handle(inner::LinkId link, inner::HandOver &&handOver);
    void handle(inner::LinkId link, inner::OperatorRequest &&request);
    // What is not for an owner.
    template <typename Other>
    void handle(inner::LinkId, Other &&)
    { }

    // The group's runtime, made when the configuration knows the group; else nothing.
    GroupRuntime *runtime(const GroupName &group);
    GroupRuntime *findRuntime(const GroupName &group);
    void classify(Request &request) const;
    void refuse(Request &request, Reason reason);
    void onAnswered(const Request &request);
    void updateMembership();
    void updateGroup(const settings::Group &group);
    void findCandidateGroups();
    void connectPeers();
    void answerLocates();
    void sendLocation(inner::LinkId link, inner::RequestId requestId, const GroupName &group);

    OwnerPorts &ports_;
    Responder responder_;
    HeartbeatBatch heartbeats_;
    decision::Membership membership_;
    settings::ConfigurationPtr configuration_;
    std::map<GroupName, std::unique_ptr<GroupRuntime>> runtimes_;
    std::unordered_map<inner::LinkId, std::unordered_map<inner::RequestId, RequestPtr>> requests_;
    std::size_t requestCount_ = 0;
    std::uint64_t lastRequestNumber_ = 0;
    bool draining_ = false;
    // Members, leaving hosts or groups have changed since the groups were told.
    bool membershipChanged_ = true;

    struct WaitingLocate
    {
        inner::LinkId link = 0;
        inner::RequestId requestId = 0;
        GroupName group;
        Instant expiresAt;
    };
    std::vector<WaitingLocate> waitingLocates_;
    // The process at the other end of each link; two processes may share several links.
    std::map<inner::LinkId, ProcessId> peers_;
    // Groups that this process is a candidate for, with all their candidates. The other groups of a
    // large installation cost nothing here.
    std::map<GroupName, std::vector<std::string>> candidateGroups_;
    Instant nextConnect_;
    // Addresses that links are kept to.
    std::set<std::string> connectedAddresses_;
};

} // namespace kelptally::owner
