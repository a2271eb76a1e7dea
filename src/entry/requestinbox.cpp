#include "entry/requestinbox.h"

#include "caller/problem.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace kelptally::entry {

RequestInbox::RequestInbox(DutyThread &requests, RequestEvents &events, EntryMetrics &metrics)
    : requests_(requests), events_(events), metrics_(metrics),
      arrivals_(requests, arrivalCapacity,
                [this](Arrival &&arrival) { events_.onArrival(std::move(arrival)); }),
      messages_(requests, messageCapacity, [this](ReceivedMessage &&received) {
          events_.onPeerMessage(received.link, std::move(received.message));
      })
{ }

void RequestInbox::onRequest(caller::HttpRequest request, caller::HttpReplyPtr reply)
{
    const Instant arrived = BootClock::now();
    caller::ParsedRequest parsed = caller::parseCallerRequest(std::move(request));
    if (parsed.problem)
        return refuse(*reply, *parsed.problem);
    Arrival arrival {std::move(parsed.request), std::move(reply), arrived};
    if (!arrivals_.tryPush(std::move(arrival)))
        // tryPush() does not move on failure. NOLINTNEXTLINE(bugprone-use-after-move)
        refuse(*arrival.reply, caller::makeProblem(Reason::RingFull));
}

void RequestInbox::refuse(caller::HttpReply &reply, const caller::Problem &problem)
{
    metrics_.countRefused(problem.reason);
    reply.send(caller::problemResponse(problem));
}

// Posted rather than queued: cannot be lost to a full queue and follows the connection's request.
void RequestInbox::onCallerDisconnected(caller::ConnectionId connection)
{
    boost::asio::post(requests_.context(),
                      [this, connection] { events_.onCallerDisconnected(connection); });
}

void RequestInbox::onPeerUp(inner::LinkId link, const inner::Hello &peer)
{
    if (adminPeers_)
        adminPeers_->onPeerUp(link, peer);
    boost::asio::post(requests_.context(), [this, link, address = peer.process.address] {
        events_.onPeerUp(link, address);
    });
}

void RequestInbox::onPeerMessage(inner::LinkId link, inner::Message message)
{
    if (adminPeers_ && adminPeers_->onPeerMessage(link, message))
        return;
    if (!messages_.tryPush({link, std::move(message)})) {
        metrics_.countLateAnswer();
        LOG_EVERY_N(WARNING, 1000) << "event=message_ring_full link=" << link;
    }
}

void RequestInbox::onPeerDown(inner::LinkId link, const std::string &address, const absl::Status &)
{
    if (adminPeers_)
        adminPeers_->onPeerDown(link, address);
    boost::asio::post(requests_.context(), [this, link] { events_.onPeerDown(link); });
}

} // namespace kelptally::entry
