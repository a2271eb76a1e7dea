#pragma once

#include "admin/adminpeers.h"
#include "caller/callerrequest.h"
#include "core/dutythread.h"
#include "entry/entrymetrics.h"
#include "inner/peerlink.h"

#include <functional>

namespace kelptally::entry {

// A parsed request queued for the requests thread.
struct Arrival
{
    caller::CallerRequest request;
    caller::HttpReplyPtr reply;
    Instant arrived;
};

// Handles the events of callers and peers on the requests thread.
class RequestEvents
{
public:
    virtual ~RequestEvents() = default;

    virtual void onArrival(Arrival arrival) = 0;
    virtual void onCallerDisconnected(caller::ConnectionId connection) = 0;
    virtual void onPeerUp(inner::LinkId link, const std::string &address) = 0;
    virtual void onPeerMessage(inner::LinkId link, inner::Message message) = 0;
    virtual void onPeerDown(inner::LinkId link) = 0;
};

// Passes callers' requests from the callers thread and peer events from the links' thread to the
// requests thread. Requests are parsed on the callers thread, and refused there if the queue is
// full.
class RequestInbox : public caller::HttpHandler, public inner::PeerEvents
{
public:
    // Maximum number of queued peer messages; more than twice Dispatcher::maxRequests.
    static constexpr std::size_t messageCapacity = 1u << 16;
    static constexpr std::size_t arrivalCapacity = 1u << 13;

    RequestInbox(DutyThread &requests, RequestEvents &events, EntryMetrics &metrics);

    // Sets the receiver of administrative peer events. Called before any link is opened.
    void setAdminPeers(admin::AdminPeers *peers) { adminPeers_ = peers; }

    void onRequest(caller::HttpRequest request, caller::HttpReplyPtr reply) override;
    void onCallerDisconnected(caller::ConnectionId connection) override;

    void onPeerUp(inner::LinkId link, const inner::Hello &peer) override;
    void onPeerMessage(inner::LinkId link, inner::Message message) override;
    void onPeerDown(inner::LinkId link, const std::string &address,
                    const absl::Status &reason) override;

private:
    struct ReceivedMessage
    {
        inner::LinkId link = 0;
        inner::Message message;
    };

    void refuse(caller::HttpReply &reply, const caller::Problem &problem);

    DutyThread &requests_;
    RequestEvents &events_;
    EntryMetrics &metrics_;
    admin::AdminPeers *adminPeers_ = nullptr;
    Inbox<Arrival> arrivals_;
    Inbox<ReceivedMessage> messages_;
};

} // namespace kelptally::entry
