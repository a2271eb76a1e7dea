#pragma once

#include "core/dutythread.h"
#include "core/metrics.h"
#include "inner/peerlink.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace kelptally::inner {

// Options of the links of a process.
struct PeerLinkOptions
{
    // "ip:port" to listen on. Peers connect to the address of `self`.
    std::string listenAddress;
    ProcessId self;
    HostName host;
    ZoneName zone;
    // Key shared by all processes; not empty.
    std::string peerKey;
    // Returns the configuration version in force, for each Hello. Called on the links' thread; may
    // be empty.
    std::function<ConfigVersion()> configVersion;
    // Protocol versions that are offered. Changed by tests only.
    int newestVersion = protocolVersion;
    int oldestVersion = oldestProtocolVersion;
    // Maximum number of unsent bytes of a link.
    std::size_t sendBufferBytes = 16u << 20;
    // Maximum number of messages queued for the links' thread.
    std::size_t maxQueuedMessages = 1u << 16;
    // Exponential backoff of a failed link. Each delay is shortened at random by up to half.
    Duration reconnectMin {std::chrono::milliseconds(50)};
    Duration reconnectMax {std::chrono::seconds(1)};
    // Time from the start of the TCP connection to a valid Hello.
    Duration handshakeTimeout {std::chrono::seconds(2)};
    // A link is closed when nothing is received on it for this long.
    Duration silenceTimeout {std::chrono::milliseconds(1800)};
    // Thread for the links, which saves a thread change per message. Started and stopped by the
    // caller; must outlive the links. If null, the links start a thread "peers".
    DutyThread *thread = nullptr;
    // Counts links and refusals; may be null, must outlive the links.
    Metrics *metrics = nullptr;
};

// Creates links over websocketpp. The events must outlive the result. On a thread of their own, the
// destructor of the links sends queued messages for up to half a second before it closes them.
// Fails when the address can't be listened on or the key is empty.
absl::StatusOr<std::unique_ptr<PeerLinks>> makePeerLinks(const PeerLinkOptions &options,
                                                         PeerEvents &events);

} // namespace kelptally::inner
