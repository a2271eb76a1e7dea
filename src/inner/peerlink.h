#pragma once

#include "inner/messages.h"

#include <absl/status/status.h>

#include <functional>
#include <string>

namespace kelptally::inner {

// Identifies a link within this process; never reused.
using LinkId = std::uint64_t;

// Events of the links. Called on the links' thread: implementations must not block.
class PeerEvents
{
public:
    virtual ~PeerEvents() = default;

    // The peer is authenticated by its Hello, which has its peer endpoint ("ip:port").
    virtual void onPeerUp(LinkId link, const Hello &peer) = 0;
    virtual void onPeerMessage(LinkId link, Message message) = 0;
    // The link is closed; outstanding answers on it will not arrive.
    virtual void onPeerDown(LinkId link, const std::string &address,
                            const absl::Status &reason) = 0;
};

// Links between kelptally processes: a listening endpoint, and one outgoing link per peer address.
class PeerLinks
{
public:
    virtual ~PeerLinks() = default;

    // Keeps a link to the address open, with retries under backoff, until each connect() has been
    // undone by a drop().
    virtual void connect(const std::string &address) = 0;
    virtual void drop(const std::string &address) = 0;
    // Opens a second link to the address, which replaces the current one once it is up. Used when
    // the current link carries no answers: an open connection may be dead while new ones work, and
    // one dialled while the peer was down opens late. If the second link can't be opened, the
    // current one stays.
    virtual void renew(const std::string &address) = 0;
    // Closes the second link to the address unless it is up already. Used when the current link has
    // carried an answer after all, as replacing it would lose what is in transit on it.
    virtual void cancelRenewal(const std::string &address) = 0;

    // Returns the link that sendTo() would use for the address; 0 when there is none.
    virtual LinkId linkTo(const std::string &address) = 0;

    // Sends on the link to the address. Unavailable when it is not up, ResourceExhausted when its
    // send buffer is full, OutOfRange when the message exceeds a bound of the codec; nothing was
    // sent in these cases. Callable from any thread.
    virtual absl::Status sendTo(const std::string &address, Message message) = 0;

    // Sends on a given link, with the same errors.
    virtual absl::Status sendOn(LinkId link, Message message) = 0;
};

} // namespace kelptally::inner
