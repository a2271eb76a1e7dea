#include "admin/adminpeers.h"

#include <glog/logging.h>

namespace kelptally::admin {

namespace {

// Capacity of the queue from the links to the admin thread. Events beyond it are dropped: polling
// or the timeout of the call makes up for them.
constexpr std::size_t inboxCapacity = 4096;
constexpr Duration configAnswerTimeout = std::chrono::seconds(2);
// How long a link that was opened for a call is kept open for further calls.
constexpr Duration idleLinkLifetime = std::chrono::seconds(10);
// The program sends its own requests on the same links; the ranges of ids must not overlap.
constexpr inner::RequestId firstRequestId = inner::RequestId(1) << 62;

} // namespace

AdminPeers::AdminPeers(DutyThread &thread)
    : thread_(thread),
      inbox_(thread, inboxCapacity, [this](Event &&event) { handle(std::move(event)); }),
      lastRequestId_(firstRequestId)
{ }

void AdminPeers::setHandlers(NoticeHandler onNotice, CurrentConfiguration current)
{
    onNotice_ = std::move(onNotice);
    current_ = std::move(current);
}

void AdminPeers::setLinks(inner::PeerLinks *links)
{
    links_ = links;
}

void AdminPeers::push(Event event)
{
    if (!inbox_.tryPush(std::move(event))) {
        LOG_EVERY_N(WARNING, 1000)
            << "event=admin_ring_full cause=\"the queue of peers' messages is full\"";
    }
}

void AdminPeers::onPeerUp(inner::LinkId link, const inner::Hello &peer)
{
    push({link, PeerUp {peer.process.address, peer.configVersion}});
}

bool AdminPeers::onPeerMessage(inner::LinkId link, inner::Message &message)
{
    const bool handled = std::holds_alternative<inner::ConfigNotice>(message)
        || std::holds_alternative<inner::ConfigRequest>(message)
        || std::holds_alternative<inner::ConfigAnswer>(message)
        || std::holds_alternative<inner::OperatorAnswer>(message);
    if (handled)
        push({link, std::move(message)});
    return handled;
}

void AdminPeers::onPeerDown(inner::LinkId link, const std::string &address)
{
    push({link, PeerDown {address}});
}

void AdminPeers::onPeerVersion(const std::string &address, ConfigVersion version)
{
    push({0, PeerVersion {address, version}});
}

void AdminPeers::handle(Event &&event)
{
    if (const auto *up = std::get_if<PeerUp>(&event.payload)) {
        linkAddresses_[event.link] = up->address;
        for (auto &entry : calls_)
            if (entry.second.address == up->address && !entry.second.sent)
                trySend(entry.second);
        onNotice_(up->address, up->version);
    } else if (const auto *down = std::get_if<PeerDown>(&event.payload)) {
        linkAddresses_.erase(event.link);
        std::vector<inner::RequestId> lost;
        for (const auto &entry : calls_)
            if (entry.second.address == down->address && entry.second.sent)
                lost.push_back(entry.first);
        for (const inner::RequestId id : lost)
            finish(id, absl::UnavailableError("the link to " + down->address + " was lost"));
    } else if (const auto *reported = std::get_if<PeerVersion>(&event.payload)) {
        onNotice_(reported->address, reported->version);
    } else {
        onMessage(event.link, std::get<inner::Message>(event.payload));
    }
}

void AdminPeers::onMessage(inner::LinkId link, inner::Message &message)
{
    if (const auto *notice = std::get_if<inner::ConfigNotice>(&message)) {
        const auto found = linkAddresses_.find(link);
        if (found != linkAddresses_.end())
            onNotice_(found->second, notice->version);
    } else if (const auto *request = std::get_if<inner::ConfigRequest>(&message)) {
        const settings::ConfigurationPtr current = current_();
        inner::ConfigAnswer answer;
        answer.requestId = request->requestId;
        if (current && current->version >= request->minVersion) {
            answer.version = current->version;
            answer.document = current->document;
        }
        if (inner::PeerLinks *links = links_)
            links->sendOn(link, std::move(answer)).IgnoreError();
    } else if (const auto *config = std::get_if<inner::ConfigAnswer>(&message)) {
        finish(config->requestId, std::move(message));
    } else if (const auto *operatorAnswer = std::get_if<inner::OperatorAnswer>(&message)) {
        finish(operatorAnswer->requestId, std::move(message));
    }
}

void AdminPeers::connect(const std::string &address)
{
    if (inner::PeerLinks *links = links_)
        links->connect(address);
}

void AdminPeers::drop(const std::string &address)
{
    if (inner::PeerLinks *links = links_)
        links->drop(address);
}

void AdminPeers::announce(ConfigVersion version)
{
    inner::PeerLinks *links = links_;
    if (!links)
        return;
    for (const auto &entry : linkAddresses_)
        links->sendOn(entry.first, inner::ConfigNotice {version}).IgnoreError();
}

void AdminPeers::fetchConfig(const std::string &address, ConfigVersion minVersion,
                             ConfigCallback callback)
{
    inner::ConfigRequest request;
    request.requestId = ++lastRequestId_;
    request.minVersion = minVersion;
    start(address, request.requestId, request, configAnswerTimeout,
          [callback = std::move(callback)](absl::StatusOr<inner::Message> result) {
              if (!result.ok())
                  return callback(result.status());
              if (auto *answer = std::get_if<inner::ConfigAnswer>(&*result))
                  return callback(std::move(*answer));
              callback(absl::InternalError("unexpected type of answer"));
          });
}

void AdminPeers::operate(const std::string &address, inner::OperatorRequest request,
                         Duration timeout, OperatorCallback callback)
{
    request.requestId = ++lastRequestId_;
    const inner::RequestId id = request.requestId;
    start(address, id, std::move(request), timeout,
          [callback = std::move(callback)](absl::StatusOr<inner::Message> result) {
              if (!result.ok())
                  return callback(result.status());
              if (auto *answer = std::get_if<inner::OperatorAnswer>(&*result))
                  return callback(std::move(*answer));
              callback(absl::InternalError("unexpected type of answer"));
          });
}

void AdminPeers::start(const std::string &address, inner::RequestId id, inner::Message message,
                       Duration timeout, AnswerCallback callback)
{
    Call &call = calls_[id];
    call.address = address;
    call.message = std::move(message);
    call.callback = std::move(callback);
    call.timer = thread_.timers().subscribeAfter(timeout, [this, id, address] {
        finish(id, absl::DeadlineExceededError(address + " does not answer"));
    });
    connect(address);
    trySend(call);
}

// Sends the message if the link is up; otherwise it is sent when the link comes up.
void AdminPeers::trySend(Call &call)
{
    inner::PeerLinks *links = links_;
    if (links)
        call.sent = links->sendTo(call.address, call.message).ok();
}

void AdminPeers::finish(inner::RequestId id, absl::StatusOr<inner::Message> result)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const Call call = std::move(found->second);
    calls_.erase(found);
    thread_.timers().cancel(call.timer);
    thread_.timers().subscribeAfter(idleLinkLifetime,
                                    [this, address = call.address] { drop(address); });
    call.callback(std::move(result));
}

} // namespace kelptally::admin
