#pragma once

#include "core/dutythread.h"
#include "inner/peerlink.h"
#include "settings/inventory.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <variant>

namespace kelptally::admin {

// Exchanges configuration versions and operators' calls with the other processes, on the links that
// belong to the program. The program forwards the events of its links; everything else runs on the
// admin thread.
class AdminPeers
{
public:
    using ConfigCallback = std::function<void(absl::StatusOr<inner::ConfigAnswer>)>;
    using OperatorCallback = std::function<void(absl::StatusOr<inner::OperatorAnswer>)>;
    // Called when a peer reports the version that it has.
    using NoticeHandler = std::function<void(const std::string &peer, ConfigVersion version)>;
    using CurrentConfiguration = std::function<settings::ConfigurationPtr()>;

    explicit AdminPeers(DutyThread &thread);

    // Must be called before the links are created.
    void setHandlers(NoticeHandler onNotice, CurrentConfiguration current);
    // Null once the links are destroyed. Must not be called while the admin thread runs, except for
    // the first time.
    void setLinks(inner::PeerLinks *links);

    // Called on the links' thread. onPeerMessage() takes messages about configuration and answers
    // to operators' calls and returns true for them; it leaves other messages unchanged.
    void onPeerUp(inner::LinkId link, const inner::Hello &peer);
    bool onPeerMessage(inner::LinkId link, inner::Message &message);
    void onPeerDown(inner::LinkId link, const std::string &address);
    // Reports the version that a heartbeat of a peer carried. Callable from any thread.
    void onPeerVersion(const std::string &address, ConfigVersion version);

    // These are called on the admin thread.
    void connect(const std::string &address);
    void announce(ConfigVersion version);
    // Both call back exactly once, with Unavailable or DeadlineExceeded when there is no answer.
    void fetchConfig(const std::string &address, ConfigVersion minVersion, ConfigCallback callback);
    void operate(const std::string &address, inner::OperatorRequest request, Duration timeout,
                 OperatorCallback callback);

private:
    struct PeerVersion
    {
        std::string address;
        ConfigVersion version = 0;
    };
    struct PeerUp
    {
        std::string address;
        ConfigVersion version = 0;
    };
    struct PeerDown
    {
        std::string address;
    };
    struct Event
    {
        inner::LinkId link = 0;
        std::variant<PeerUp, PeerDown, PeerVersion, inner::Message> payload;
    };
    using AnswerCallback = std::function<void(absl::StatusOr<inner::Message>)>;
    struct Call
    {
        std::string address;
        inner::Message message;
        bool sent = false;
        TimerId timer = 0;
        AnswerCallback callback;
    };

    void push(Event event);
    void handle(Event &&event);
    void onMessage(inner::LinkId link, inner::Message &message);
    void start(const std::string &address, inner::RequestId id, inner::Message message,
               Duration timeout, AnswerCallback callback);
    void drop(const std::string &address);
    void trySend(Call &call);
    void finish(inner::RequestId id, absl::StatusOr<inner::Message> result);

    DutyThread &thread_;
    Inbox<Event> inbox_;
    std::atomic<inner::PeerLinks *> links_ {nullptr};
    NoticeHandler onNotice_;
    CurrentConfiguration current_;
    inner::RequestId lastRequestId_ = 0;
    std::map<inner::RequestId, Call> calls_;
    std::map<inner::LinkId, std::string> linkAddresses_;
};

} // namespace kelptally::admin
