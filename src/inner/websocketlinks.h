#pragma once

#include "core/dutythread.h"
#include "core/metrics.h"
#include "inner/peerlink.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace kelptally::inner {

// What the links of one process must know.
struct PeerLinkOptions
{
    // "ip:port" to listen on; callers of connect() elsewhere use the address of `self`.
    std::string listenAddress;
    ProcessId self;
    HostName host;
    ZoneName zone;
    // The key that all our processes share; not empty.
    std::string peerKey;
    // Version in force, for each Hello. Called on the links' thread; may be empty.
    std::function<ConfigVersion()> configVersion;
    // Protocol versions that are offered; others than the build's own are for tests.
    int newestVersion = protocolVersion;
    int oldestVersion = oldestProtocolVersion;
    // Bytes that may wait to be sent on one link.
    std::size_t sendBufferBytes = 16u << 20;
    // Messages of all links that may wait for the links' thread.
    std::size_t maxQueuedMessages = 1u << 16;
    // Pause before a failed link is tried again: doubles from the first to the last value, each
    // shortened at random by up to half.
    Duration reconnectMin {std::chrono::milliseconds(50)};
    Duration reconnectMax {std::chrono::seconds(1)};
    // From the start of the TCP connection to a proven Hello.
    Duration handshakeTimeout {std::chrono::seconds(2)};
    // A link on which nothing at all is heard for this long is given up.
    Duration silenceTimeout {std::chrono::milliseconds(1800)};
    // Runs the links when given, so that no message changes threads; it is started and stopped by
    // its owner and outlives the links. Without it the links start a thread "peers".
    DutyThread *thread = nullptr;
    // Counts links and refusals when given; outlives the links.
    Metrics *metrics = nullptr;
};

// Links over websocketpp, on the given thread or one of their own ("peers"). The events must
// outlive the result; the destructor flushes what waits to be sent for up to half a second and then
// closes. Fails when the address can't be listened on or the key is empty.
absl::StatusOr<std::unique_ptr<PeerLinks>> makePeerLinks(const PeerLinkOptions &options,
                                                         PeerEvents &events);

} // namespace kelptally::inner
