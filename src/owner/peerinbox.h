#pragma once

#include "admin/adminpeers.h"
#include "core/dutythread.h"
#include "inner/peerlink.h"
#include "owner/ownermetrics.h"

#include <atomic>
#include <functional>
#include <variant>
#include <vector>

namespace kelptally::owner {

class GroupDirectory;

// Passes events of the links from their thread to the groups thread. Requests are refused at once
// if the queue is full.
class PeerInbox : public inner::PeerEvents
{
public:
    PeerInbox(DutyThread &groupsThread, std::size_t capacity, OwnerMetrics &metrics);

    // Sets the receivers of refusals and events. Events that arrived earlier are handled then, as
    // the links receive before the directory exists.
    void connect(inner::PeerLinks *links, GroupDirectory *directory);
    // Must be called after the groups thread has stopped.
    void disconnect();

    // Sets the receiver of configuration and operator messages. Must be called before the first
    // link is made.
    void setAdminPeers(admin::AdminPeers *adminPeers) { adminPeers_ = adminPeers; }

    void onPeerUp(inner::LinkId link, const inner::Hello &peer) override;
    void onPeerMessage(inner::LinkId link, inner::Message message) override;
    void onPeerDown(inner::LinkId link, const std::string &address,
                    const absl::Status &status) override;

private:
    struct PeerDown
    { };
    struct Event
    {
        inner::LinkId link = 0;
        std::variant<inner::Hello, inner::Message, PeerDown> payload;
    };

    void handle(Event &&event);
    void reportVersion(const inner::Message &message);

    OwnerMetrics &metrics_;
    std::atomic<inner::PeerLinks *> links_ {nullptr};
    // Used on the groups thread.
    GroupDirectory *directory_ = nullptr;
    std::vector<Event> earlyEvents_;
    admin::AdminPeers *adminPeers_ = nullptr;
    DutyThread &groupsThread_;
    Inbox<Event> inbox_;
};

} // namespace kelptally::owner
