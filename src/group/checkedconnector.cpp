#include "group/checkedconnector.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace kelptally::group {

namespace {

prometheus::Counter &errorCounter(Metrics &metrics, const char *cause)
{
    return metrics.counter("kelptally_server_connection_errors_total",
                           "Connections to servers that were closed because an answer could have "
                           "been taken for that of another command",
                           {{"cause", cause}});
}

// Returns the id of the caller's statement in the batch, or "-".
std::string statementIdOf(const std::vector<ServerCommand> &batch)
{
    for (const ServerCommand &command : batch)
        if (!command.id.empty())
            return command.id;
    return "-";
}

// Whether a success of the command carries the server's signature.
bool isSigned(const ServerCommand &command)
{
    return command.kind == CommandKind::Statement || command.kind == CommandKind::ExecutePrepared;
}

// Whether the command prepares the connection for the statement that follows it.
bool isPreparation(const ServerCommand &command)
{
    return command.kind == CommandKind::Reset || command.kind == CommandKind::SetValue
        || command.kind == CommandKind::Prepare;
}

// Whether a transaction is open after a success of the command.
bool isInTransactionAfter(const ServerCommand &command, bool isInTransaction)
{
    switch (command.kind) {
    case CommandKind::Begin:
    case CommandKind::BeginReadOnly:
        return true;
    case CommandKind::Rollback:
        return false;
    default:
        return isInTransaction && !command.commits;
    }
}

} // namespace

// Kept alive by its pool, and by the batch that runs on it.
class CheckedConnector::Connection : public ServerConnection,
                                     public std::enable_shared_from_this<Connection>
{
public:
    Connection(CheckedConnector &connector, ServerName server, ServerConnectionPtr connection)
        : connector_(connector), server_(std::move(server)), connection_(std::move(connection))
    { }

    void run(std::vector<ServerCommand> batch, BatchCallback callback) override;
    void close() override { connection_->close(); }
    bool isOpen() const override { return connection_->isOpen(); }
    void onEnd(std::function<void()> callback) override { connection_->onEnd(std::move(callback)); }

private:
    // An answer that does not fit its command.
    struct Mismatch
    {
        const char *event;
        prometheus::Counter &counter;
    };

    void onResult(BatchResult result);
    std::optional<Mismatch> mismatchOf(const ServerCommand &command,
                                       const CommandResult &answer) const;
    void logError(std::string_view event, const std::string &statement);

    CheckedConnector &connector_;
    const ServerName server_;
    const ServerConnectionPtr connection_;
    // The running batch.
    std::vector<ServerCommand> batch_;
    BatchCallback callback_;
    // Whether the last answer showed an open transaction, failed or not.
    bool isInTransaction_ = false;
};

void CheckedConnector::Connection::run(std::vector<ServerCommand> batch, BatchCallback callback)
{
    if (callback_) {
        connector_.busyErrors_.Increment();
        logError("connection_busy", statementIdOf(batch));
        connection_->close();
        TimerService &timers = connector_.parts_.timers;
        timers.subscribeAt(timers.now(), [callback = std::move(callback)] {
            callback({{}, true});
        });
        return;
    }
    batch_ = batch;
    callback_ = std::move(callback);
    connection_->run(std::move(batch), [self = shared_from_this()](BatchResult result) {
        self->onResult(std::move(result));
    });
}

void CheckedConnector::Connection::onResult(BatchResult result)
{
    const std::size_t answered = std::min(result.results.size(), batch_.size());
    for (std::size_t i = 0; i < answered; ++i) {
        const auto mismatch = mismatchOf(batch_[i], result.results[i]);
        isInTransaction_ = !result.results[i].idle;
        if (!mismatch)
            continue;
        mismatch->counter.Increment();
        logError(mismatch->event, batch_[i].id.empty() ? statementIdOf(batch_) : batch_[i].id);
        // Whether the statement ran is unknown, as if its answer had been lost.
        result.results.resize(i);
        result.lost = true;
        connection_->close();
        break;
    }
    const BatchCallback callback = std::exchange(callback_, nullptr);
    callback(std::move(result));
}

std::optional<CheckedConnector::Connection::Mismatch>
CheckedConnector::Connection::mismatchOf(const ServerCommand &command,
                                         const CommandResult &answer) const
{
    if (answer.error != ServerError::None) {
        if (isPreparation(command))
            return Mismatch {"connection_unprepared", connector_.unpreparedErrors_};
        return std::nullopt;
    }
    if (isSigned(command) && answer.signature.empty())
        return Mismatch {"answer_unsigned", connector_.unsignedErrors_};
    if (!isSigned(command) && !answer.signature.empty())
        return Mismatch {"answer_signed", connector_.signedErrors_};
    const bool fits =
        isInTransactionAfter(command, isInTransaction_) ? answer.inTransaction : answer.idle;
    if (!fits)
        return Mismatch {"answer_in_wrong_state", connector_.stateErrors_};
    return std::nullopt;
}

void CheckedConnector::Connection::logError(std::string_view event, const std::string &statement)
{
    connector_.parts_.log.line(LogLevel::Error, event)
        .with("server", server_)
        .with("id", statement)
        .with("running", statementIdOf(batch_));
}

CheckedConnector::CheckedConnector(const Parts &parts)
    : parts_(parts), busyErrors_(errorCounter(parts.metrics, "busy")),
      unsignedErrors_(errorCounter(parts.metrics, "unsigned")),
      signedErrors_(errorCounter(parts.metrics, "signed")),
      stateErrors_(errorCounter(parts.metrics, "state")),
      unpreparedErrors_(errorCounter(parts.metrics, "unprepared"))
{ }

void CheckedConnector::connect(const ServerAddress &server, const OrganisationName &organisation,
                               Duration timeout, ServerConnectCallback callback)
{
    parts_.connector.connect(server, organisation, timeout,
                             [this, id = server.id, callback = std::move(callback)](
                                 ConnectOutcome outcome, const ServerConnectionPtr &connection) {
                                 if (!connection)
                                     return callback(outcome, nullptr);
                                 callback(outcome,
                                          std::make_shared<Connection>(*this, id, connection));
                             });
}

} // namespace kelptally::group
