#pragma once

#include "decision/failover.h"
#include "owner/ownerports.h"

#include <deque>
#include <memory>

namespace kelptally::owner {

// What came of one command to a server.
enum class CommandState {
    Done,
    // The server refused it.
    Refused,
    // Nothing was sent: no connection.
    NotSent,
    // Sent, and the connection was lost or too slow.
    Unknown,
};

struct CommandResult
{
    CommandState state = CommandState::NotSent;
    // The server's host answered that nothing listens there.
    bool connectionRefused = false;
    std::string message;
    Rows rows;
    Instant sentAt;
};

using CommandCallback = std::function<void(const CommandResult &)>;

// The connection over which one server is asked for its state and told its role, apart from the
// pool of callers' statements so that it never waits behind them. Commands run one at a time in
// order. Opens by itself when there is something to send.
class ControlConnection : public std::enable_shared_from_this<ControlConnection>
{
public:
    ControlConnection(TimerService &timers, std::shared_ptr<backend::BackendServer> server);
    ~ControlConnection();

    // Each callback is called exactly once, also when the connection is closed.
    void run(backend::Statement statement, CommandCallback callback);
    // Ends what runs and waits; a later run() opens it again.
    void close();

    bool idle() const { return waiting_.empty() && !runningCallback_; }
    bool connected() const { return connection_ && connection_->open(); }

private:
    struct Command
    {
        backend::Statement statement;
        CommandCallback callback;
    };

    void runNext();
    void connect();
    void onConnected(std::uint64_t attempt, const absl::Status &status,
                     std::shared_ptr<backend::Connection> connection);
    void onResult(std::uint64_t attempt, Instant sentAt, backend::BatchResult result);
    void onTimeout(std::uint64_t attempt);
    void failAll(bool connectionRefused, const std::string &message);
    void dropConnection();

    TimerService &timers_;
    const std::shared_ptr<backend::BackendServer> server_;
    std::shared_ptr<backend::Connection> connection_;
    std::deque<Command> waiting_;
    CommandCallback runningCallback_;
    Instant sentAt_;
    bool connecting_ = false;
    // Tells the answers of earlier connections and commands apart.
    std::uint64_t attempt_ = 0;
    TimerId timeout_ = 0;
};

} // namespace kelptally::owner
