#include "owner/controlconnection.h"

#include <absl/status/status.h>

namespace kelptally::owner {

namespace {

constexpr Duration connectTimeout = std::chrono::milliseconds(400);
constexpr Duration commandTimeout = std::chrono::milliseconds(400);
constexpr std::size_t maxWaitingCommands = 64;

bool isConnectionRefused(const absl::Status &status)
{
    return status.message().find("refused") != std::string::npos;
}

} // namespace

ControlConnection::ControlConnection(TimerService &timers,
                                     std::shared_ptr<backend::BackendServer> server)
    : timers_(timers), server_(std::move(server))
{ }

ControlConnection::~ControlConnection()
{
    timers_.cancel(timeout_);
    if (connection_)
        connection_->close();
}

void ControlConnection::run(backend::Statement statement, CommandCallback callback)
{
    if (waiting_.size() >= maxWaitingCommands) {
        CommandResult rejected;
        rejected.message = "too many commands are queued for this server";
        callback(rejected);
        return;
    }
    waiting_.push_back({std::move(statement), std::move(callback)});
    runNext();
}

void ControlConnection::close()
{
    const auto keepAlive = shared_from_this();
    dropConnection();
    failAll(false, "closed");
}

void ControlConnection::runNext()
{
    if (runningCallback_ || waiting_.empty())
        return;
    if (!connected()) {
        connect();
        return;
    }
    Command command = std::move(waiting_.front());
    waiting_.pop_front();
    runningCallback_ = std::move(command.callback);
    sentAt_ = timers_.now();
    const std::uint64_t attempt = ++attempt_;
    std::weak_ptr<ControlConnection> weak = weak_from_this();
    timeout_ = timers_.subscribeAfter(commandTimeout, [weak, attempt] {
        if (const auto self = weak.lock())
            self->onTimeout(attempt);
    });
    std::vector<backend::Statement> batch;
    batch.push_back(std::move(command.statement));
    connection_->run(std::move(batch),
                     [weak, attempt, sentAt = sentAt_](backend::BatchResult batchResult) {
                         if (const auto self = weak.lock())
                             self->onResult(attempt, sentAt, std::move(batchResult));
                     });
}

void ControlConnection::connect()
{
    if (connecting_)
        return;
    connecting_ = true;
    const std::uint64_t attempt = ++attempt_;
    std::weak_ptr<ControlConnection> weak = weak_from_this();
    server_->connect(connectTimeout, [weak, attempt](absl::Status status, auto connection) {
        if (const auto self = weak.lock())
            self->onConnected(attempt, status, std::move(connection));
        else if (connection)
            connection->close();
    });
}

void ControlConnection::onConnected(std::uint64_t attempt, const absl::Status &status,
                                    std::shared_ptr<backend::Connection> connection)
{
    if (attempt != attempt_) {
        if (connection)
            connection->close();
        return;
    }
    connecting_ = false;
    if (!status.ok()) {
        failAll(isConnectionRefused(status), std::string(status.message()));
        return;
    }
    connection_ = std::move(connection);
    runNext();
}

void ControlConnection::onResult(std::uint64_t attempt, Instant sentAt, backend::BatchResult result)
{
    if (attempt != attempt_ || !runningCallback_)
        return;
    timers_.cancel(timeout_);
    CommandResult commandResult;
    commandResult.sentAt = sentAt;
    commandResult.message = std::move(result.message);
    switch (result.state) {
    case backend::BatchState::Done:
        commandResult.state = CommandState::Done;
        break;
    case backend::BatchState::Failed:
        commandResult.state = CommandState::Refused;
        break;
    case backend::BatchState::NotSent:
        commandResult.state = CommandState::NotSent;
        break;
    case backend::BatchState::Unknown:
        commandResult.state = CommandState::Unknown;
        break;
    }
    if (!result.rows.empty())
        commandResult.rows = std::move(result.rows.front());
    if (result.connectionLost)
        dropConnection();
    const CommandCallback callback = std::move(runningCallback_);
    runningCallback_ = nullptr;
    const auto keepAlive = shared_from_this();
    callback(commandResult);
    runNext();
}

void ControlConnection::onTimeout(std::uint64_t attempt)
{
    if (attempt != attempt_ || !runningCallback_)
        return;
    const auto keepAlive = shared_from_this();
    dropConnection();
    failAll(false, "command timed out");
}

// The outcome of the running command is unknown; the waiting ones were not sent. Commands that the
// callbacks add are kept.
void ControlConnection::failAll(bool connectionRefused, const std::string &message)
{
    timers_.cancel(timeout_);
    std::deque<Command> failed;
    failed.swap(waiting_);
    const CommandCallback runningCallback = std::move(runningCallback_);
    runningCallback_ = nullptr;
    CommandResult result;
    result.connectionRefused = connectionRefused;
    result.message = message;
    result.sentAt = sentAt_;
    if (runningCallback) {
        result.state = CommandState::Unknown;
        runningCallback(result);
    }
    result.state = CommandState::NotSent;
    for (const Command &command : failed)
        command.callback(result);
}

void ControlConnection::dropConnection()
{
    ++attempt_;
    connecting_ = false;
    const auto connection = std::move(connection_);
    connection_ = nullptr;
    if (connection)
        connection->close();
}

} // namespace kelptally::owner
