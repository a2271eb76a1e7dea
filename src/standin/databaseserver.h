#pragma once

#include "core/dutythread.h"
#include "standin/node.h"
#include "standin/standinsettings.h"
#include "standin/statement.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kelptally::standin {

class WireSession;

// State of one server as reported by GET /state.
struct ServerState
{
    ServerName name;
    int port = 0;
    bool running = false;
    bool paused = false;
    Term term = 0;
    std::string role;
    LogOffset received = 0;
    LogOffset applied = 0;
    OwnerEpoch fence = 0;
    int connections = 0;
    int peakConnections = 0;
    ServerLimits limits;
};

// One server of a database group: its listening port, client sessions, replicated state (Node) and
// injected faults. Runs on its own thread; only the methods of the first block may be called from
// other threads.
class DatabaseServer
{
public:
    DatabaseServer(DatabaseServerSettings settings, const std::string &schema,
                   PeerNetwork &network);
    ~DatabaseServer();

    // Starts listening and sets port(). Throws boost::system::system_error on failure.
    void start(const ServerName &initialPrimary);
    void stop();
    int port() const { return port_; }
    const ServerName &name() const { return settings_.name; }
    // Runs a peer's message after the delay. Drops it if the server is down or partitioned from the
    // peer.
    void deliver(const ServerName &from, Duration delay, std::function<void(Node &)> message);
    // Runs the function on the server's thread and blocks until it has returned.
    void callAndWait(const std::function<void(DatabaseServer &)> &function);

    // Fault injection, on the server's thread.
    void kill(bool keepState);
    void restart();
    void setPaused(bool paused);
    void setPeerPartitioned(const ServerName &peer, bool partitioned);
    void setClientPartitioned(const std::string &address, bool partitioned);
    void setAllClientsPartitioned(bool partitioned);
    void setLimits(const ServerLimits &limits);
    ServerState state();

    // Used by the sessions.
    Node &node() { return node_; }
    TimerService &timers() { return thread_.timers(); }
    const ServerLimits &limits() const { return settings_.limits; }
    bool paused() const { return paused_; }
    bool isPartitionedFrom(const std::string &clientAddress) const;
    ParsedStatementPtr parse(const std::string &sql);
    // Counts a new connection. Returns false if the connection limit is reached.
    bool admit();
    void cancel(std::uint32_t sessionId, std::uint32_t secret);
    // Waits for a free slot, occupies it for `time` and then calls `done`.
    void occupySlot(Duration time, std::function<void()> done);
    void onSessionClosed(WireSession &session);

private:
    struct SlotRequest
    {
        Duration time;
        std::function<void()> done;
    };

    void listen();
    void accept();
    void tick();
    void startQueuedRequests();
    void resumeSessions();
    void receive(const ServerName &from, const std::function<void(Node &)> &message);

    DutyThread thread_;
    DatabaseServerSettings settings_;
    Node node_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<int> port_ {0};
    DelayQueue peerMessages_;

    bool running_ = false;
    bool paused_ = false;
    // Incremented by each kill, so that timers of an earlier run are ignored.
    std::uint64_t incarnation_ = 0;
    std::set<ServerName> partitionedPeers_;
    std::set<std::string> partitionedClients_;
    bool allClientsPartitioned_ = false;
    std::vector<std::function<void()>> deferredMessages_;

    std::map<std::uint32_t, std::shared_ptr<WireSession>> sessions_;
    std::uint32_t lastSessionId_ = 0;
    int connections_ = 0;
    int peakConnections_ = 0;
    int busySlots_ = 0;
    std::deque<SlotRequest> queuedRequests_;
    std::unordered_map<std::string, ParsedStatementPtr> parseCache_;
};

} // namespace kelptally::standin
