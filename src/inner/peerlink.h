#pragma once

#include "inner/messages.h"

#include <absl/status/status.h>

#include <functional>
#include <string>

namespace kelptally::inner {

// Tells one link to a peer from all others of this process; never used twice.
using LinkId = std::uint64_t;

// What the links tell their user. Called on the links' own thread, so an implementation only
// hands the event to a ring.
class PeerEvents
{
public:
    virtual ~PeerEvents() = default;

    // The peer has said a valid Hello. The address is its peer endpoint ("ip:port").
    virtual void onPeerUp(LinkId link, const Hello &peer) = 0;
    virtual void onPeerMessage(LinkId link, Message message) = 0;
    // The link is gone; answers still awaited on it will not come.
    virtual void onPeerDown(LinkId link, const std::string &address, const absl::Status &why) = 0;
};

// Links between our processes: one listening endpoint, and one outgoing link for each peer address.
class PeerLinks
{
public:
    virtual ~PeerLinks() = default;

    // Keeps a link to the address open from now on, with retries under backoff, until dropped. Each
    // connect() is undone by one drop(): parts that share the links don't cut each other off.
    virtual void connect(const std::string &address) = 0;
    virtual void drop(const std::string &address) = 0;
    // The link to the address answers nothing, though the peer may live: an open connection may go
    // silent while new ones work, and one that was dialled while the peer was down opens late.
    // Dials another beside it, which takes its place once it is up; until then nothing changes, and
    // if it can't be opened nothing does.
    virtual void renew(const std::string &address) = 0;

    // The link that sendTo() would use for the address; 0 when there is none.
    virtual LinkId linkTo(const std::string &address) = 0;

    // Sends on the link to the address; Unavailable when it is not up, ResourceExhausted when its
    // bounded send buffer is full, OutOfRange when the message is over a bound of the codec.
    // Nothing was sent in any of these cases. Callable from any thread.
    virtual absl::Status sendTo(const std::string &address, Message message) = 0;

    // Answers on the link that a message came from, under the same conditions.
    virtual absl::Status sendOn(LinkId link, Message message) = 0;
};

} // namespace kelptally::inner
