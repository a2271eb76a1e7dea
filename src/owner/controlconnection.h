#pragma once

#include "decision/failover.h"
#include "owner/ownerports.h"

#include <deque>
#include <memory>

namespace kelptally::owner {

// Outcome of a command to a server.
enum class CommandState {
    Done,
    // The server answered with an error.
    Refused,
    // Not sent, as there was no connection.
    NotSent,
    // Sent, but the connection was lost or timed out.
    Unknown,
};

struct CommandResult
{
    CommandState state = CommandState::NotSent;
    // The connection attempt was refused: the host is up, but the server does not listen.
    bool connectionRefused = false;
    std::string message;
    Rows rows;
    Instant sentAt;
};

using CommandCallback = std::function<void(const CommandResult &)>;

// Connection for status queries and role changes of one server, separate from the pool, so that
// commands never queue behind callers' statements. Runs commands one at a time in order and
// connects on demand.
class ControlConnection : public std::enable_shared_from_this<ControlConnection>
{
public:
    ControlConnection(TimerService &timers, std::shared_ptr<backend::BackendServer> server);
    ~ControlConnection();

    // Queues a statement. The callback is called exactly once, also if the connection is closed.
    void run(backend::Statement statement, CommandCallback callback);
    // Closes the connection and fails all commands. A later run() reconnects.
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
    // Identifies the current connection attempt or command; answers to earlier ones are ignored.
    std::uint64_t attempt_ = 0;
    TimerId timeout_ = 0;
};

} // namespace kelptally::owner
