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

// The frame's part of the links to our other processes: configuration and operators' calls. The
// program passes on what its links tell; everything else happens on the admin thread.
class AdminPeers
{
public:
    using ConfigCallback = std::function<void(absl::StatusOr<inner::ConfigAnswer>)>;
    using OperatorCallback = std::function<void(absl::StatusOr<inner::OperatorAnswer>)>;
    // A peer said that it has this version.
    using NoticeHandler = std::function<void(const std::string &peer, ConfigVersion version)>;
    using CurrentConfiguration = std::function<settings::ConfigurationPtr()>;

    explicit AdminPeers(DutyThread &thread);

    // Before the links are made.
    void setHandlers(NoticeHandler onNotice, CurrentConfiguration current);
    // Null when there are no links any more. Not while the admin thread runs, but for the first.
    void setLinks(inner::PeerLinks *links);

    // From the links' thread. Messages about configuration and operators' answers are taken, for
    // which true is returned; others are left alone.
    void onPeerUp(inner::LinkId link, const inner::Hello &peer);
    bool onPeerMessage(inner::LinkId link, inner::Message &message);
    void onPeerDown(inner::LinkId link, const std::string &address);
    // A heartbeat told the version of its sender; from any thread.
    void onPeerVersion(const std::string &address, ConfigVersion version);

    // On the admin thread.
    void connect(const std::string &address);
    void announce(ConfigVersion version);
    // Each calls back exactly once, with Unavailable or DeadlineExceeded when no answer comes.
    void fetchConfig(const std::string &address, ConfigVersion atLeast, ConfigCallback callback);
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
