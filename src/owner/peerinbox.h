#pragma once

#include "admin/adminpeers.h"
#include "core/dutythread.h"
#include "inner/peerlink.h"
#include "owner/ownermetrics.h"

#include <atomic>
#include <functional>
#include <variant>

namespace kelptally::owner {

class GroupDirectory;

// Brings what the links tell from their thread to the groups thread. A request that finds the ring
// full is refused on the spot.
class PeerInbox : public inner::PeerEvents
{
public:
    PeerInbox(DutyThread &groupsThread, std::size_t capacity, OwnerMetrics &metrics);

    // Where to send refusals and events; set before any link is made.
    void connect(inner::PeerLinks *links, GroupDirectory *directory);

    // What concerns configuration and operators goes there; before any link is made.
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
    std::atomic<GroupDirectory *> directory_ {nullptr};
    admin::AdminPeers *adminPeers_ = nullptr;
    DutyThread &groupsThread_;
    Inbox<Event> inbox_;
};

} // namespace kelptally::owner
