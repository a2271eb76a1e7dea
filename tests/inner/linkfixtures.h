#pragma once

#include "freeport.h"
#include "inner/websocketlinks.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

// Helpers for tests with real sockets. Timeouts are long, as the machine may be loaded.
namespace kelptally::inner {

constexpr auto waitTimeout = std::chrono::seconds(30);

// Records all events of a process's links.
class RecordedEvents : public PeerEvents
{
public:
    struct LinkUp
    {
        LinkId link;
        Hello peer;
    };
    struct Received
    {
        LinkId link;
        Message message;
    };
    struct LinkDown
    {
        LinkId link;
        std::string address;
        absl::Status reason;
    };

    void onPeerUp(LinkId link, const Hello &peer) override
    {
        record([&] { ups.push_back({link, peer}); });
    }
    void onPeerMessage(LinkId link, Message message) override
    {
        record([&] { messages.push_back({link, std::move(message)}); });
    }
    void onPeerDown(LinkId link, const std::string &address, const absl::Status &reason) override
    {
        record([&] { downs.push_back({link, address, reason}); });
    }

    bool waitForUps(std::size_t count)
    {
        return wait([&] { return ups.size() >= count; });
    }
    bool waitForMessages(std::size_t count)
    {
        return wait([&] { return messages.size() >= count; });
    }
    bool waitForMessageOrDown()
    {
        return wait([&] { return !messages.empty() || !downs.empty(); });
    }
    bool waitForDowns(std::size_t count)
    {
        return wait([&] { return downs.size() >= count; });
    }

    // Read only after a wait, when no more events are expected.
    std::vector<LinkUp> ups;
    std::vector<Received> messages;
    std::vector<LinkDown> downs;

private:
    template <typename Change>
    void record(Change change)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        change();
        changed_.notify_all();
    }
    template <typename Condition>
    bool wait(Condition condition)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, waitTimeout, condition);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
};

// A process: its links and their events.
struct Process
{
    explicit Process(PeerLinkOptions theOptions) : options(std::move(theOptions))
    {
        auto made = makePeerLinks(options, events);
        if (made.ok())
            links = *std::move(made);
    }

    PeerLinkOptions options;
    RecordedEvents events;
    std::unique_ptr<PeerLinks> links;
};

inline PeerLinkOptions linkOptions(const std::string &address, Incarnation incarnation = 1)
{
    PeerLinkOptions options;
    options.listenAddress = address;
    options.self = {address, incarnation};
    options.host = "host-" + address;
    options.zone = "ebene";
    options.peerKey = "peer key";
    options.reconnectMax = std::chrono::milliseconds(100);
    return options;
}

// Polls until the condition holds; returns false on a timeout.
template <typename Condition>
bool becomesTrue(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace kelptally::inner
