#pragma once

#include "decision/membership.h"
#include "owner/groupruntime.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace kelptally::owner {

// Holds the runtime of each group that this process owns, is a successor of or was asked about, and
// dispatches peer messages to them. Used on the groups thread only.
class GroupDirectory
{
public:
    explicit GroupDirectory(OwnerPorts &ports);
    ~GroupDirectory();

    // Applies a new version of the configuration.
    void configure(const settings::ConfigurationPtr &configuration);
    const settings::ConfigurationPtr &configuration() const { return configuration_; }

    void onPeerUp(inner::LinkId link, const inner::Hello &peer);
    void onPeerDown(inner::LinkId link);
    void onMessage(inner::LinkId link, inner::Message message);
    // Handles the list of hosts just fetched from the platform.
    void onHostList(const std::vector<HostName> &live, const std::vector<HostName> &leaving);

    // Must be called once each GroupRuntime::tickPeriod.
    void tick();

    // Starts to hand over all groups. New requests are refused with a hint to the new owner.
    void drain();
    // Whether no group is served any more and no request is in progress.
    bool drained() const;
    bool draining() const { return draining_; }
    bool ready() const { return configuration_ != nullptr; }

    inner::OperatorAnswer operate(const inner::OperatorRequest &request);

private:
    void handle(inner::LinkId link, inner::Execute &&execute);
    void handle(inner::LinkId link, inner::Cancel &&cancel);
    void handle(inner::LinkId link, inner::Heartbeat &&heartbeat);
    void handle(inner::LinkId link, inner::HeartbeatAnswer &&answer);
    void handle(inner::LinkId link, inner::Locate &&locate);
    void handle(inner::LinkId link, inner::HandOver &&handOver);
    void handle(inner::LinkId link, inner::OperatorRequest &&request);
    // Ignores messages that are not addressed to owners.
    template <typename Other>
    void handle(inner::LinkId, Other &&)
    { }

    // Returns the group's runtime and creates it if needed; null if the group is not configured.
    GroupRuntime *findOrCreateRuntime(const GroupName &group);
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
    // Processes, leaving hosts or groups have changed since the last updateMembership().
    bool membershipChanged_ = true;

    struct WaitingLocate
    {
        inner::LinkId link = 0;
        inner::RequestId requestId = 0;
        GroupName group;
        Instant expiresAt;
    };
    std::vector<WaitingLocate> waitingLocates_;
    // The process at the other end of each link. A process may have several links.
    std::map<inner::LinkId, ProcessId> peers_;
    // Groups that this process is a candidate for, with the addresses of all candidates. Other
    // groups use no resources here until a request arrives for them.
    std::map<GroupName, std::vector<std::string>> candidateGroups_;
    Instant nextConnect_;
    // Addresses that have a permanent link.
    std::set<std::string> connectedAddresses_;
};

} // namespace kelptally::owner
