#include "services/httpclient.h"

#include "settings/sectionreader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <optional>
#include <vector>

namespace kelptally::services {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

// More than one, so that a slow call doesn't block the others.
constexpr std::size_t maxConnections = 4;
// Connections with an overdue answer don't count towards maxConnections, only towards this limit.
// Otherwise a call to a service that has just recovered waits until those before it time out.
constexpr std::size_t maxOpenConnections = 12;
constexpr std::size_t maxQueued = 256;
// Holds the largest configuration document as escaped JSON.
constexpr std::uint64_t maxResponseBytes = 16u << 20;
constexpr unsigned httpVersion = 11;
// Maximum time for which an answer may arrive, however steadily.
constexpr Duration maxTransferTime = std::chrono::seconds(30);

http::verb verbOf(HttpMethod method)
{
    switch (method) {
    case HttpMethod::Get:
        return http::verb::get;
    case HttpMethod::Put:
        return http::verb::put;
    case HttpMethod::Post:
        return http::verb::post;
    }
    return http::verb::get;
}

// Detects a dead peer during a long poll, in which nothing is sent.
void enableKeepAlive(Tcp::socket &socket)
{
    constexpr int idleSeconds = 1;
    constexpr int intervalSeconds = 1;
    constexpr int maxProbes = 3;
    Error ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &maxProbes, sizeof maxProbes);
}

void preventLateDelivery(Tcp::socket &socket, Duration timeout)
{
    Error ignored;
    // Closing the socket resets the connection, also when the process is killed.
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    const auto milliseconds = static_cast<unsigned>(toMilliseconds(timeout));
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
                 sizeof milliseconds);
}

std::string unquoted(boost::beast::string_view tag)
{
    if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"')
        tag = tag.substr(1, tag.size() - 2);
    return std::string(tag);
}

// A queued or running call.
struct Call
{
    HttpRequest request;
    HttpCallback callback;
    TimerId timer = 0;
    TimerId silenceTimer = 0;
    // Whether any byte may have been sent.
    bool sent = false;
    // When a connection was assigned to the call.
    Instant startedAt {};
    // When the call ends if nothing of its answer has arrived.
    Instant expiresAt {};
    AnswerProgress progress;
    // When the first and the last bytes of the answer arrived.
    Instant firstReceivedAt {};
    Instant lastReceivedAt {};
    // Of each pause in the answer.
    Duration timeout {0};
    bool retried = false;
    bool done = false;
};
using CallPtr = std::shared_ptr<Call>;

} // namespace

// Queue of calls and pool of connections.
class HttpClient::Pool : public std::enable_shared_from_this<Pool>
{
public:
    Pool(DutyThread &thread, const std::string &address, Duration timeout,
         LateDelivery lateDelivery)
        : context_(thread.context()), timers_(thread.timers()), address_(address),
          timeout_(timeout), lateDelivery_(lateDelivery)
    {
        if (const auto endpoint = settings::parseEndpoint(address))
            endpoint_ = Tcp::endpoint(asio::ip::make_address(endpoint->address),
                                      static_cast<std::uint16_t>(endpoint->port));
    }

    void send(HttpRequest request, Duration timeout, HttpCallback callback);
    void abortOpenCalls();
    void close();
    Duration timeout() const { return timeout_; }
    void onSilentConnection(std::function<void(const SilentConnection &)> callback)
    {
        silenceCallback_ = std::move(callback);
    }

private:
    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void dispatch();
    ConnectionPtr takeConnection();
    Duration timeUntilOverdue(const Call &call) const;
    void dispatchWhenOverdue();
    void startTimeout(const CallPtr &call, Instant at);
    void startSilenceTimer(const CallPtr &call);
    void onProgress(const CallPtr &call, const AnswerProgress &progress, bool isSuccess);
    bool isArriving(const Call &call) const;
    void onSilenceTimeout(const CallPtr &call);
    void reportSilence(const Call &call) const;
    void closeConnectionOf(const CallPtr &call);
    void release(const ConnectionPtr &connection);
    void remove(const ConnectionPtr &connection);
    void onTimeout(const CallPtr &call);
    void endUnsent(const CallPtr &call, const char *reason);
    void retry(const CallPtr &call);
    void finish(const CallPtr &call, absl::StatusOr<HttpResponse> result);

    asio::io_context &context_;
    TimerService &timers_;
    const std::string address_;
    Tcp::endpoint endpoint_;
    const Duration timeout_;
    const LateDelivery lateDelivery_;
    std::deque<CallPtr> queue_;
    std::vector<ConnectionPtr> idle_;
    std::vector<ConnectionPtr> busy_;
    TimerId overdueTimer_ = 0;
    std::function<void(const SilentConnection &)> silenceCallback_;
};

// A connection, with one call at a time. It is closed after any failure.
class HttpClient::Pool::Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(std::shared_ptr<Pool> pool) : pool_(pool), socket_(pool->context_) { }

    void run(CallPtr call);
    void close();
    // Later events of the connection no longer affect the call.
    void detachCall() { call_ = nullptr; }
    // Whether the connection is open and has no unexpected input.
    bool isAlive();
    const CallPtr &call() const { return call_; }
    bool isReused() const { return reused_; }
    // Time of the last answer; Instant() before the first one.
    Instant answeredAt() const { return answeredAt_; }

private:
    void connect(const std::shared_ptr<Pool> &pool);
    void write();
    void read();
    void readSome();
    void onReceived(std::size_t bytes);
    void onResponse();
    void fail(const Error &error);

    std::weak_ptr<Pool> pool_;
    Tcp::socket socket_;
    CallPtr call_;
    bool connected_ = false;
    bool reused_ = false;
    Instant answeredAt_ {};
    http::request<http::string_body> request_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
};

void HttpClient::Pool::Connection::run(CallPtr call)
{
    call_ = std::move(call);
    call_->progress = {};
    reused_ = connected_;
    parser_.reset();
    const auto pool = pool_.lock();
    request_ = {verbOf(call_->request.method), call_->request.target, httpVersion};
    request_.set(http::field::host, pool->address_);
    if (call_->request.condition == HttpCondition::Matches)
        request_.set(http::field::if_match, "\"" + call_->request.etag + "\"");
    if (call_->request.condition == HttpCondition::Absent)
        request_.set(http::field::if_none_match, "*");
    if (!call_->request.body.empty())
        request_.set(http::field::content_type, "application/json");
    for (const HttpField &field : call_->request.fields)
        request_.set(field.name, field.value);
    request_.body() = call_->request.body;
    request_.prepare_payload();
    if (connected_)
        write();
    else
        connect(pool);
}

void HttpClient::Pool::Connection::connect(const std::shared_ptr<Pool> &pool)
{
    socket_.async_connect(pool->endpoint_, [self = shared_from_this()](const Error &error) {
        if (error)
            return self->fail(error);
        self->connected_ = true;
        Error ignored;
        self->socket_.set_option(Tcp::no_delay(true), ignored);
        enableKeepAlive(self->socket_);
        const auto pool = self->pool_.lock();
        if (pool && pool->lateDelivery_ == LateDelivery::Prevented)
            preventLateDelivery(self->socket_, pool->timeout_);
        self->write();
    });
}

void HttpClient::Pool::Connection::write()
{
    const auto pool = pool_.lock();
    const CallPtr call = call_;
    if (!pool || !call || call->done)
        return;
    // After a pause of the process the connection may be handled before the overdue timer.
    if (pool->timers_.now() >= call->expiresAt)
        return pool->endUnsent(call, ": no connection within the timeout");
    if (call->request.maySend && !call->request.maySend())
        return pool->endUnsent(call, ": withdrawn by its caller");
    call->sent = true;
    http::async_write(socket_, request_,
                      [self = shared_from_this()](const Error &error, std::size_t) {
                          if (error)
                              return self->fail(error);
                          self->read();
                      });
}

void HttpClient::Pool::Connection::read()
{
    parser_.emplace();
    parser_->body_limit(maxResponseBytes);
    readSome();
}

void HttpClient::Pool::Connection::readSome()
{
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this()](const Error &error, std::size_t received) {
                              if (error)
                                  return self->fail(error);
                              self->onReceived(received);
                          });
}

void HttpClient::Pool::Connection::onReceived(std::size_t bytes)
{
    const auto pool = pool_.lock();
    if (!pool || !call_ || call_->done)
        return;
    const CallPtr call = call_;
    AnswerProgress progress = call->progress;
    progress.received += bytes;
    if (parser_->is_header_done())
        progress.bodySize = parser_->content_length().value_or(0);
    if (parser_->is_done())
        return onResponse();
    const bool isSuccess = parser_->is_header_done()
        && http::to_status_class(parser_->get().result()) == http::status_class::successful;
    pool->onProgress(call, progress, isSuccess);
    // The callback may have ended the call.
    if (call_ == call)
        readSome();
}

void HttpClient::Pool::Connection::onResponse()
{
    const auto pool = pool_.lock();
    if (!pool || !call_ || call_->done)
        return;
    HttpResponse response;
    response.status = static_cast<int>(parser_->get().result_int());
    response.etag = unquoted(parser_->get()[http::field::etag]);
    response.body = std::move(parser_->get().body());
    const CallPtr call = std::move(call_);
    call_ = nullptr;
    answeredAt_ = pool->timers_.now();
    // A connection with bytes beyond the answer can't be reused.
    if (parser_->keep_alive() && buffer_.size() == 0)
        pool->release(shared_from_this());
    else
        pool->remove(shared_from_this());
    pool->finish(call, std::move(response));
}

void HttpClient::Pool::Connection::fail(const Error &error)
{
    const auto pool = pool_.lock();
    if (!pool || !call_ || call_->done)
        return;
    const CallPtr call = std::move(call_);
    call_ = nullptr;
    pool->remove(shared_from_this());
    const bool isRead = call->request.method == HttpMethod::Get;
    const bool answerBegun = parser_ && parser_->got_some();
    if (isRead && reused_ && !answerBegun && !call->retried)
        return pool->retry(call);
    const std::string text = pool->address_ + ": " + error.message();
    pool->finish(call, call->sent ? absl::UnknownError(text) : absl::UnavailableError(text));
}

void HttpClient::Pool::Connection::close()
{
    Error ignored;
    // A reset discards what is not sent yet, so that an aborted request can't arrive later.
    if (call_)
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

bool HttpClient::Pool::Connection::isAlive()
{
    char byte = 0;
    const auto count = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClient::Pool::send(HttpRequest request, Duration timeout, HttpCallback callback)
{
    auto call = std::make_shared<Call>();
    call->request = std::move(request);
    call->callback = std::move(callback);
    const std::weak_ptr<Pool> weak = shared_from_this();
    if (queue_.size() >= maxQueued || endpoint_.port() == 0) {
        const char *reason =
            endpoint_.port() == 0 ? " is not an address" : ": too many calls are waiting";
        asio::post(context_, [weak, call, reason] {
            if (const auto pool = weak.lock())
                pool->finish(call, absl::UnavailableError(pool->address_ + reason));
        });
        return;
    }
    call->timeout = timeout - call->request.longPollTime;
    call->expiresAt = timers_.now() + timeout;
    startTimeout(call, call->expiresAt);
    queue_.push_back(call);
    dispatch();
}

void HttpClient::Pool::startTimeout(const CallPtr &call, Instant at)
{
    const std::weak_ptr<Pool> weak = shared_from_this();
    timers_.cancel(call->timer);
    call->timer = timers_.subscribeAt(at, [weak, call] {
        if (const auto pool = weak.lock())
            pool->onTimeout(call);
    });
}

// An answer that is arriving is neither silent nor late, as its size is not known beforehand.
void HttpClient::Pool::onProgress(const CallPtr &call, const AnswerProgress &progress,
                                  bool isSuccess)
{
    const Instant now = timers_.now();
    if (call->progress.received == 0)
        call->firstReceivedAt = now;
    call->lastReceivedAt = now;
    call->progress = progress;
    timers_.cancel(call->silenceTimer);
    startTimeout(call, std::min(now + call->timeout, call->firstReceivedAt + maxTransferTime));
    // Part of a refusal is not a part of the answer.
    if (!isSuccess || call->callback.reportProgress(progress) || call->done)
        return;
    closeConnectionOf(call);
    finish(call, absl::CancelledError(address_ + ": the rest of the answer was refused"));
}

bool HttpClient::Pool::isArriving(const Call &call) const
{
    return call.progress.received != 0 && timers_.now() - call.lastReceivedAt < silenceTimeout;
}

void HttpClient::Pool::dispatch()
{
    while (!queue_.empty()) {
        const CallPtr call = queue_.front();
        const ConnectionPtr connection = takeConnection();
        if (!connection)
            return dispatchWhenOverdue();
        queue_.pop_front();
        busy_.push_back(connection);
        call->startedAt = timers_.now();
        connection->run(call);
        if (connection->isReused() && !call->retried && call->request.method == HttpMethod::Get)
            startSilenceTimer(call);
    }
}

HttpClient::Pool::ConnectionPtr HttpClient::Pool::takeConnection()
{
    while (!idle_.empty()) {
        // The last idle connection is the one that answered most recently.
        const ConnectionPtr connection = idle_.back();
        idle_.pop_back();
        const bool isRecent = timers_.now() - connection->answeredAt() <= maxIdleTime;
        if (isRecent && connection->isAlive())
            return connection;
        connection->close();
    }
    const auto counts = [this](const ConnectionPtr &connection) {
        return !connection->call() || timeUntilOverdue(*connection->call()) > Duration(0);
    };
    const auto counted = std::count_if(busy_.begin(), busy_.end(), counts);
    if (static_cast<std::size_t>(counted) >= maxConnections || busy_.size() >= maxOpenConnections)
        return nullptr;
    return std::make_shared<Connection>(shared_from_this());
}

// Returns zero or less if the answer is overdue.
Duration HttpClient::Pool::timeUntilOverdue(const Call &call) const
{
    const Instant lastProgress = call.progress.received == 0
        ? call.startedAt + call.request.longPollTime
        : call.lastReceivedAt;
    return lastProgress + silenceTimeout - timers_.now();
}

// Dispatches again once a connection no longer counts towards the limit.
void HttpClient::Pool::dispatchWhenOverdue()
{
    if (busy_.size() >= maxOpenConnections)
        return;
    Duration delay = Duration::max();
    for (const ConnectionPtr &connection : busy_)
        if (connection->call() && timeUntilOverdue(*connection->call()) > Duration(0))
            delay = std::min(delay, timeUntilOverdue(*connection->call()));
    if (delay == Duration::max())
        return;
    const std::weak_ptr<Pool> weak = shared_from_this();
    timers_.cancel(overdueTimer_);
    overdueTimer_ = timers_.subscribeAfter(delay, [weak] {
        if (const auto pool = weak.lock())
            pool->dispatch();
    });
}

void HttpClient::Pool::release(const ConnectionPtr &connection)
{
    busy_.erase(std::remove(busy_.begin(), busy_.end(), connection), busy_.end());
    idle_.push_back(connection);
}

void HttpClient::Pool::remove(const ConnectionPtr &connection)
{
    busy_.erase(std::remove(busy_.begin(), busy_.end(), connection), busy_.end());
    connection->close();
}

void HttpClient::Pool::startSilenceTimer(const CallPtr &call)
{
    const std::weak_ptr<Pool> weak = shared_from_this();
    call->silenceTimer =
        timers_.subscribeAfter(call->request.longPollTime + silenceTimeout, [weak, call] {
            if (const auto pool = weak.lock())
                pool->onSilenceTimeout(call);
        });
}

void HttpClient::Pool::onSilenceTimeout(const CallPtr &call)
{
    if (call->done || call->retried)
        return;
    reportSilence(*call);
    closeConnectionOf(call);
    if (!call->request.repeatTarget.empty()) {
        call->request.target = call->request.repeatTarget;
        call->request.longPollTime = Duration(0);
    }
    retry(call);
}

void HttpClient::Pool::reportSilence(const Call &call) const
{
    if (!silenceCallback_)
        return;
    for (const ConnectionPtr &connection : busy_)
        if (connection->call().get() == &call)
            silenceCallback_({call.startedAt - connection->answeredAt(),
                              timers_.now() - call.startedAt, call.request.longPollTime});
}

// Closes the call's connection.
void HttpClient::Pool::closeConnectionOf(const CallPtr &call)
{
    for (const auto &connection : std::vector<ConnectionPtr>(busy_)) {
        if (connection->call() != call)
            continue;
        remove(connection);
        connection->detachCall();
    }
}

void HttpClient::Pool::onTimeout(const CallPtr &call)
{
    if (call->done)
        return;
    queue_.erase(std::remove(queue_.begin(), queue_.end(), call), queue_.end());
    closeConnectionOf(call);
    const std::string text = address_ + ": no answer within the timeout";
    finish(call, call->sent ? absl::DeadlineExceededError(text) : absl::UnavailableError(text));
}

// Ends a call of which nothing was sent, and closes its connection.
void HttpClient::Pool::endUnsent(const CallPtr &call, const char *reason)
{
    closeConnectionOf(call);
    const std::weak_ptr<Pool> weak = shared_from_this();
    // The caller may be within send().
    asio::post(context_, [weak, call, reason] {
        if (const auto pool = weak.lock())
            pool->finish(call, absl::UnavailableError(pool->address_ + reason));
    });
}

void HttpClient::Pool::retry(const CallPtr &call)
{
    call->retried = true;
    // The other idle connections are likely to be dead too.
    idle_.clear();
    queue_.push_front(call);
    dispatch();
}

void HttpClient::Pool::finish(const CallPtr &call, absl::StatusOr<HttpResponse> result)
{
    if (call->done)
        return;
    call->done = true;
    timers_.cancel(call->timer);
    timers_.cancel(call->silenceTimer);
    const HttpCallback callback = std::move(call->callback);
    call->callback = nullptr;
    const auto self = shared_from_this();
    callback(std::move(result));
    dispatch();
}

void HttpClient::Pool::abortOpenCalls()
{
    std::vector<CallPtr> calls;
    std::vector<ConnectionPtr> arriving;
    for (const auto &connection : busy_) {
        if (connection->call() && isArriving(*connection->call())) {
            arriving.push_back(connection);
            continue;
        }
        if (connection->call())
            calls.push_back(connection->call());
        connection->close();
        connection->detachCall();
    }
    busy_.swap(arriving);
    idle_.clear();
    const std::string text = address_ + ": aborted because open connections are silent";
    for (const CallPtr &call : calls)
        finish(call, call->sent ? absl::DeadlineExceededError(text) : absl::UnavailableError(text));
    dispatch();
}

void HttpClient::Pool::close()
{
    for (const auto &connection : busy_) {
        if (connection->call()) {
            connection->call()->done = true;
            timers_.cancel(connection->call()->timer);
            timers_.cancel(connection->call()->silenceTimer);
        }
        connection->close();
    }
    for (const auto &call : queue_)
        timers_.cancel(call->timer);
    timers_.cancel(overdueTimer_);
    queue_.clear();
    busy_.clear();
    idle_.clear();
}

HttpClient::HttpClient(DutyThread &thread, const std::string &address, Duration timeout,
                       LateDelivery lateDelivery)
    : pool_(std::make_shared<Pool>(thread, address, timeout, lateDelivery))
{ }

HttpClient::~HttpClient()
{
    pool_->close();
}

void HttpClient::send(HttpRequest request, HttpCallback callback)
{
    pool_->send(std::move(request), pool_->timeout(), std::move(callback));
}

void HttpClient::send(HttpRequest request, Duration timeout, HttpCallback callback)
{
    pool_->send(std::move(request), timeout, std::move(callback));
}

void HttpClient::abortOpenCalls()
{
    pool_->abortOpenCalls();
}

void HttpClient::onSilentConnection(std::function<void(const SilentConnection &)> callback)
{
    pool_->onSilentConnection(std::move(callback));
}

std::string percentEncoded(const std::string &text)
{
    constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        if (letter || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~') {
            encoded += c;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4];
            encoded += digits[byte & 15];
        }
    }
    return encoded;
}

} // namespace kelptally::services
