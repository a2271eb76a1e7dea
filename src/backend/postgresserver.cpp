#include "backend/postgresserver.h"

#include "core/dutythread.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>

#include <absl/strings/match.h>
#include <absl/strings/strip.h>
#include <libpq-fe.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <optional>
#include <tuple>
#include <utility>

namespace kelptally::backend {
namespace {

// Batches shorter than this stay in libpq's buffer until the flush: libpq may write at 8192 bytes,
// and the rest leaves room for protocol overhead.
constexpr std::size_t maxBufferedBytes = 4096;
// Limit of the protocol's 16-bit parameter count.
constexpr std::size_t maxParameters = 65535;
// Time to wait for a server to close its side of a closed connection.
constexpr Duration lingerTimeout = std::chrono::seconds(10);

constexpr const char *tooManyArgumentsState = "54023";
constexpr const char *invalidCharacterState = "22021";

using Descriptor = boost::asio::posix::stream_descriptor;
using boost::system::error_code;

struct FinishConnection
{
    void operator()(PGconn *connection) const { PQfinish(connection); }
};
using ConnectionPtr = std::unique_ptr<PGconn, FinishConnection>;

struct ClearResult
{
    void operator()(PGresult *result) const { PQclear(result); }
};
using ResultPtr = std::unique_ptr<PGresult, ClearResult>;

void ignoreNotice(void *, const PGresult *) { }

ConnectionPtr startConnection(const ServerEndpoint &endpoint)
{
    const std::string port = std::to_string(endpoint.port);
    const std::array<std::pair<const char *, const char *>, 10> parameters = {{
        {"hostaddr", endpoint.host.c_str()},
        {"port", port.c_str()},
        {"dbname", endpoint.database.c_str()},
        {"user", endpoint.user.c_str()},
        {"password", endpoint.password.c_str()},
        {"client_encoding", "UTF8"},
        {"application_name", "kelptally"},
        {"sslmode", "disable"},
        {"gssencmode", "disable"},
        // Disables the password file.
        {"passfile", "/dev/null/none"},
    }};
    std::array<const char *, parameters.size() + 1> keywords {};
    std::array<const char *, parameters.size() + 1> values {};
    for (std::size_t i = 0; i < parameters.size(); ++i)
        std::tie(keywords[i], values[i]) = parameters[i];
    return ConnectionPtr(PQconnectStartParams(keywords.data(), values.data(), 0));
}

// Formats libpq's message as one line, for logs.
std::string trimmedError(const PGconn *connection)
{
    std::string message = PQerrorMessage(connection);
    std::replace(message.begin(), message.end(), '\t', ' ');
    std::replace(message.begin(), message.end(), '\n', ' ');
    return std::string(absl::StripAsciiWhitespace(message));
}

// With verbose errors a refusal has the form "FATAL:  SQLSTATE: text".
absl::Status connectError(const PGconn *connection)
{
    const std::string message = trimmedError(connection);
    if (absl::StrContains(message, "FATAL:  53300"))
        return absl::ResourceExhaustedError(message);
    if (absl::StrContains(message, "FATAL:  "))
        return absl::FailedPreconditionError(message);
    return absl::UnavailableError(message);
}

std::string errorField(const PGresult *result, int field)
{
    const char *text = PQresultErrorField(result, field);
    return text == nullptr ? std::string() : std::string(text);
}

Rows toRows(const PGresult *result)
{
    Rows rows;
    const int columns = PQnfields(result);
    const int count = PQntuples(result);
    for (int column = 0; column < columns; ++column)
        rows.columns.emplace_back(PQfname(result, column));
    rows.values.resize(static_cast<std::size_t>(count));
    for (int row = 0; row < count; ++row) {
        auto &values = rows.values[static_cast<std::size_t>(row)];
        values.reserve(static_cast<std::size_t>(columns));
        for (int column = 0; column < columns; ++column) {
            if (PQgetisnull(result, row, column) != 0)
                values.emplace_back();
            else
                values.emplace_back(
                    std::string(PQgetvalue(result, row, column),
                                static_cast<std::size_t>(PQgetlength(result, row, column))));
        }
    }
    const char *affected = PQcmdTuples(const_cast<PGresult *>(result));
    if (*affected != '\0')
        rows.affected = std::strtoull(affected, nullptr, 10);
    return rows;
}

bool containsNul(const Statement &statement)
{
    if (statement.sql.find('\0') != std::string::npos)
        return true;
    for (const Value &value : statement.parameters)
        if (value && value->find('\0') != std::string::npos)
            return true;
    return false;
}

std::size_t byteLength(const Statement &statement)
{
    std::size_t length = statement.sql.size();
    for (const Value &value : statement.parameters)
        length += sizeof(int) + (value ? value->size() : 0);
    return length;
}

// Returns the failure of a batch that libpq cannot send, such as text with a NUL byte, at which
// libpq would truncate it.
std::optional<BatchResult> findUnsendable(const std::vector<Statement> &batch)
{
    for (std::size_t i = 0; i < batch.size(); ++i) {
        BatchResult result;
        result.state = BatchState::Failed;
        result.failedStatement = i;
        if (containsNul(batch[i])) {
            result.sqlState = invalidCharacterState;
            result.message = "a statement and its parameters cannot hold a NUL byte";
            return result;
        }
        if (batch[i].parameters.size() > maxParameters) {
            result.sqlState = tooManyArgumentsState;
            result.message = "a statement cannot have more than 65535 parameters";
            return result;
        }
    }
    return std::nullopt;
}

// Waits until the server has closed its side of a socket that was shut down.
class LingeringSocket : public std::enable_shared_from_this<LingeringSocket>
{
public:
    LingeringSocket(DutyThread &thread, int socket, std::function<void()> closed)
        : thread_(thread), descriptor_(thread.context(), socket), closed_(std::move(closed))
    { }

    void start()
    {
        timer_ = thread_.timers().subscribeAfter(lingerTimeout, [self = shared_from_this()] {
            self->timer_ = 0;
            self->end();
        });
        read();
    }

private:
    void read()
    {
        descriptor_.async_read_some(
            boost::asio::buffer(buffer_),
            [self = shared_from_this()](const error_code &error, std::size_t) {
                if (error)
                    self->end();
                else
                    self->read();
            });
    }

    void end()
    {
        if (!closed_)
            return;
        thread_.timers().cancel(timer_);
        error_code ignored;
        descriptor_.close(ignored);
        std::exchange(closed_, nullptr)();
    }

    DutyThread &thread_;
    Descriptor descriptor_;
    std::function<void()> closed_;
    TimerId timer_ = 0;
    std::array<char, 1024> buffer_ {};
};

// A connection through libpq. The descriptor only waits on libpq's socket, which libpq owns and
// closes.
class PostgresConnection : public Connection,
                           public std::enable_shared_from_this<PostgresConnection>
{
public:
    explicit PostgresConnection(DutyThread &thread) : thread_(thread), descriptor_(thread.context())
    { }
    ~PostgresConnection() override { close(); }

    void start(const ServerEndpoint &endpoint, Duration timeout, ConnectCallback callback);

    void run(std::vector<Statement> batch, BatchCallback callback) override;
    bool busy() const override { return callback_ != nullptr; }
    bool open() const override { return open_; }
    void close() override { end("closed by the user of the connection"); }
    void closeAsync(std::function<void()> closed) override;

private:
    using ConnectionSelf = std::shared_ptr<PostgresConnection>;

    void waitToConnect(Descriptor::wait_type direction);
    void pollConnect();
    void endConnect(const absl::Status &status);

    bool queue(const std::vector<Statement> &batch);
    bool queueStatement(const Statement &statement);
    void flush();
    void waitForInput();
    void onInput();
    void processResults();
    void processResult(const PGresult *result);
    void finishBatch();
    // Closes the connection and ends the running batch as Unknown or NotSent.
    void end(const std::string &reason);
    // Calls back from the event loop, never from within the caller.
    void postResult(BatchCallback callback, BatchResult result);

    DutyThread &thread_;
    ConnectionPtr connection_;
    Descriptor descriptor_;
    bool open_ = false;

    ConnectCallback connectCallback_;
    TimerId connectTimer_ = 0;

    BatchCallback callback_;
    BatchResult result_;
    // Whether a part of the batch may have reached the socket.
    bool maybeWritten_ = false;
    bool waitsForOutput_ = false;
};

void PostgresConnection::start(const ServerEndpoint &endpoint, Duration timeout,
                               ConnectCallback callback)
{
    connectCallback_ = std::move(callback);
    connection_ = startConnection(endpoint);
    const auto self = shared_from_this();
    if (!connection_ || PQstatus(connection_.get()) == CONNECTION_BAD) {
        boost::asio::post(thread_.context(),
                          [self] { self->endConnect(connectError(self->connection_.get())); });
        return;
    }
    PQsetNoticeReceiver(connection_.get(), ignoreNotice, nullptr);
    PQsetErrorVerbosity(connection_.get(), PQERRORS_VERBOSE);
    connectTimer_ = thread_.timers().subscribeAfter(timeout, [self] {
        self->connectTimer_ = 0;
        self->endConnect(absl::DeadlineExceededError("no connection within the timeout"));
    });
    waitToConnect(Descriptor::wait_write);
}

// libpq may change its socket between two polls, so the descriptor is reassigned for each wait.
void PostgresConnection::waitToConnect(Descriptor::wait_type direction)
{
    error_code ignored;
    descriptor_.assign(PQsocket(connection_.get()), ignored);
    descriptor_.async_wait(direction, [self = shared_from_this()](const error_code &error) {
        if (error || !self->connectCallback_)
            return;
        self->descriptor_.release();
        self->pollConnect();
    });
}

void PostgresConnection::pollConnect()
{
    switch (PQconnectPoll(connection_.get())) {
    case PGRES_POLLING_READING:
        return waitToConnect(Descriptor::wait_read);
    case PGRES_POLLING_WRITING:
        return waitToConnect(Descriptor::wait_write);
    case PGRES_POLLING_OK:
        break;
    default:
        return endConnect(connectError(connection_.get()));
    }
    if (PQsetnonblocking(connection_.get(), 1) != 0 || PQenterPipelineMode(connection_.get()) != 1)
        return endConnect(absl::InternalError(trimmedError(connection_.get())));
    error_code error;
    descriptor_.assign(PQsocket(connection_.get()), error);
    if (error)
        return endConnect(absl::InternalError(error.message()));
    open_ = true;
    waitForInput();
    endConnect(absl::OkStatus());
}

void PostgresConnection::endConnect(const absl::Status &status)
{
    if (!connectCallback_)
        return;
    thread_.timers().cancel(connectTimer_);
    if (!status.ok())
        end("connect failed");
    const ConnectCallback callback = std::exchange(connectCallback_, nullptr);
    callback(status, status.ok() ? shared_from_this() : ConnectionSelf());
}

void PostgresConnection::run(std::vector<Statement> batch, BatchCallback callback)
{
    if (busy()) {
        BatchResult result;
        result.message = "another batch is running on this connection";
        return postResult(std::move(callback), std::move(result));
    }
    if (auto refused = findUnsendable(batch))
        return postResult(std::move(callback), std::move(*refused));

    callback_ = std::move(callback);
    result_ = {};
    maybeWritten_ = false;
    // 1. If the server has closed the idle connection, nothing is sent.
    if (!open_ || PQconsumeInput(connection_.get()) == 0)
        return end(open_ ? trimmedError(connection_.get()) : "the connection is closed");
    // 2. Queue the statements and the final sync.
    if (!queue(batch))
        return end(trimmedError(connection_.get()));
    // 3. Write; waitForInput() receives the answers.
    flush();
}

bool PostgresConnection::queue(const std::vector<Statement> &batch)
{
    std::size_t length = 0;
    for (const Statement &statement : batch) {
        length += byteLength(statement);
        maybeWritten_ = length >= maxBufferedBytes;
        if (!queueStatement(statement))
            return false;
    }
    maybeWritten_ = true;
    return PQpipelineSync(connection_.get()) == 1;
}

bool PostgresConnection::queueStatement(const Statement &statement)
{
    std::vector<const char *> values;
    values.reserve(statement.parameters.size());
    for (const Value &value : statement.parameters)
        values.push_back(value ? value->c_str() : nullptr);
    return PQsendQueryParams(connection_.get(), statement.sql.c_str(),
                             static_cast<int>(values.size()), nullptr, values.data(), nullptr,
                             nullptr, 0)
        == 1;
}

void PostgresConnection::flush()
{
    const int left = PQflush(connection_.get());
    if (left < 0)
        return end(trimmedError(connection_.get()));
    if (left == 0 || waitsForOutput_)
        return;
    waitsForOutput_ = true;
    descriptor_.async_wait(Descriptor::wait_write,
                           [weak = weak_from_this()](const error_code &error) {
                               const auto self = weak.lock();
                               if (error || !self || !self->open_)
                                   return;
                               self->waitsForOutput_ = false;
                               self->flush();
                           });
}

// Always pending while the connection is open, so that a close by the server is noticed when idle.
void PostgresConnection::waitForInput()
{
    descriptor_.async_wait(Descriptor::wait_read,
                           [weak = weak_from_this()](const error_code &error) {
                               const auto self = weak.lock();
                               if (!error && self && self->open_)
                                   self->onInput();
                           });
}

// Results that arrived before a close are still processed.
void PostgresConnection::onInput()
{
    const bool consumed = PQconsumeInput(connection_.get()) == 1;
    processResults();
    if (!open_)
        return;
    if (!consumed || PQstatus(connection_.get()) == CONNECTION_BAD)
        return end(trimmedError(connection_.get()));
    waitForInput();
}

// libpq returns the results of each statement followed by a null, and finally the sync.
void PostgresConnection::processResults()
{
    int nulls = 0;
    while (open_ && busy() && PQisBusy(connection_.get()) == 0) {
        const ResultPtr result(PQgetResult(connection_.get()));
        if (result) {
            nulls = 0;
            processResult(result.get());
        } else if (++nulls > 1) {
            return end("unexpected number of results from the server");
        }
    }
}

void PostgresConnection::processResult(const PGresult *result)
{
    switch (PQresultStatus(result)) {
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
        result_.rows.push_back(toRows(result));
        return;
    case PGRES_PIPELINE_ABORTED:
        return;
    case PGRES_PIPELINE_SYNC:
        return finishBatch();
    case PGRES_FATAL_ERROR:
        if (result_.sqlState.empty()) {
            result_.failedStatement = result_.rows.size();
            result_.sqlState = errorField(result, PG_DIAG_SQLSTATE);
            result_.message = errorField(result, PG_DIAG_MESSAGE_PRIMARY);
        }
        if (PQstatus(connection_.get()) == CONNECTION_BAD)
            end(trimmedError(connection_.get()));
        return;
    default:
        end("COPY is not supported in a batch");
    }
}

// The answer to the sync confirms that the batch has ended, with or without an error.
void PostgresConnection::finishBatch()
{
    result_.state = result_.sqlState.empty() ? BatchState::Done : BatchState::Failed;
    result_.inTransaction = PQtransactionStatus(connection_.get()) != PQTRANS_IDLE;
    const BatchCallback callback = std::exchange(callback_, nullptr);
    callback(std::exchange(result_, {}));
}

void PostgresConnection::end(const std::string &reason)
{
    open_ = false;
    if (descriptor_.is_open())
        descriptor_.release();
    connection_.reset();
    if (!callback_)
        return;
    result_.state = maybeWritten_ ? BatchState::Unknown : BatchState::NotSent;
    result_.connectionLost = true;
    if (result_.message.empty())
        result_.message = reason;
    postResult(std::exchange(callback_, nullptr), std::exchange(result_, {}));
}

// libpq terminates the session and closes its descriptor; the duplicate shows when the server has
// closed its side.
void PostgresConnection::closeAsync(std::function<void()> closed)
{
    const int copy = open_ ? ::dup(PQsocket(connection_.get())) : -1;
    close();
    if (copy < 0) {
        boost::asio::post(thread_.context(), std::move(closed));
        return;
    }
    ::shutdown(copy, SHUT_WR);
    std::make_shared<LingeringSocket>(thread_, copy, std::move(closed))->start();
}

void PostgresConnection::postResult(BatchCallback callback, BatchResult result)
{
    boost::asio::post(thread_.context(),
                      [callback = std::move(callback), result = std::move(result)]() mutable {
                          callback(std::move(result));
                      });
}

class PostgresServer : public BackendServer
{
public:
    PostgresServer(DutyThread &thread, ServerEndpoint endpoint)
        : thread_(thread), endpoint_(std::move(endpoint))
    { }

    void connect(Duration timeout, ConnectCallback callback) override
    {
        std::make_shared<PostgresConnection>(thread_)->start(endpoint_, timeout,
                                                             std::move(callback));
    }

private:
    DutyThread &thread_;
    const ServerEndpoint endpoint_;
};

} // namespace

std::unique_ptr<BackendServer> makePostgresServer(DutyThread &thread, ServerEndpoint endpoint)
{
    return std::make_unique<PostgresServer>(thread, std::move(endpoint));
}

} // namespace kelptally::backend
