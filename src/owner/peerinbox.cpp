#include "owner/peerinbox.h"

#include "owner/groupdirectory.h"

#include <utility>

namespace kelptally::owner {

PeerInbox::PeerInbox(DutyThread &groupsThread, std::size_t capacity, OwnerMetrics &metrics)
    : metrics_(metrics), groupsThread_(groupsThread),
      inbox_(groupsThread, capacity, [this](Event &&event) { handle(std::move(event)); })
{ }

void PeerInbox::connect(inner::PeerLinks *links, GroupDirectory *directory)
{
    links_ = links;
    boost::asio::post(groupsThread_.context(), [this, directory] {
        directory_ = directory;
        for (Event &event : std::exchange(earlyEvents_, {}))
            handle(std::move(event));
    });
}

void PeerInbox::disconnect()
{
    links_ = nullptr;
    directory_ = nullptr;
}

void PeerInbox::onPeerUp(inner::LinkId link, const inner::Hello &peer)
{
    if (adminPeers_)
        adminPeers_->onPeerUp(link, peer);
    boost::asio::post(groupsThread_.context(), [this, link, peer] { handle({link, peer}); });
}

void PeerInbox::onPeerMessage(inner::LinkId link, inner::Message message)
{
    if (adminPeers_ && adminPeers_->onPeerMessage(link, message))
        return;
    reportVersion(message);
    Event event {link, std::move(message)};
    if (inbox_.tryPush(std::move(event)))
        return;
    metrics_.countAnswer(Reason::RingFull);
    // tryPush() does not move from a refused item. NOLINTNEXTLINE(bugprone-use-after-move)
    const auto &unsent = std::get<inner::Message>(event.payload);
    const auto *execute = std::get_if<inner::Execute>(&unsent);
    inner::PeerLinks *links = links_;
    if (!execute || !links)
        return;
    inner::ExecuteResult refusal;
    refusal.requestId = execute->requestId;
    refusal.reason = Reason::RingFull;
    refusal.retryAfter = std::chrono::milliseconds(100);
    links->sendOn(link, std::move(refusal)).IgnoreError();
}

// Reports the configuration version of the peer that sent a heartbeat or its answer.
void PeerInbox::reportVersion(const inner::Message &message)
{
    if (!adminPeers_)
        return;
    if (const auto *heartbeat = std::get_if<inner::Heartbeat>(&message))
        adminPeers_->onPeerVersion(heartbeat->from.address, heartbeat->configVersion);
    else if (const auto *answer = std::get_if<inner::HeartbeatAnswer>(&message))
        adminPeers_->onPeerVersion(answer->from.address, answer->configVersion);
}

// Bypasses the bounded queue, as the link's requests must be cancelled even when it is full.
void PeerInbox::onPeerDown(inner::LinkId link, const std::string &address, const absl::Status &)
{
    if (adminPeers_)
        adminPeers_->onPeerDown(link, address);
    boost::asio::post(groupsThread_.context(), [this, link] { handle({link, PeerDown {}}); });
}

void PeerInbox::handle(Event &&event)
{
    if (!directory_)
        earlyEvents_.push_back(std::move(event));
    else if (const auto *hello = std::get_if<inner::Hello>(&event.payload))
        directory_->onPeerUp(event.link, *hello);
    else if (auto *message = std::get_if<inner::Message>(&event.payload))
        directory_->onMessage(event.link, std::move(*message));
    else
        directory_->onPeerDown(event.link);
}

} // namespace kelptally::owner
