#include "caller/httpserver.h"

#include "caller/httpsession.h"
#include "caller/problem.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <algorithm>
#include <atomic>
#include <ctime>
#include <mutex>
#include <unordered_map>

namespace kelptally::caller {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

// Connections over the limit that are answered with a refusal; further ones are only closed.
constexpr int maxRefusedConnections = 256;
// Delay after a failed accept, such as when the process is out of file descriptors.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(100);
struct Answer
{
    ConnectionId connection = 0;
    HttpResponse response;
};

// Passes answers from other threads to the server's thread. Replies share it, so that they may
// outlive the server.
class AnswerQueue : public std::enable_shared_from_this<AnswerQueue>
{
public:
    using Drain = std::function<void(std::vector<Answer> &)>;

    AnswerQueue(boost::asio::io_context &context, std::size_t capacity, Drain drain)
        : context_(&context), drain_(std::move(drain)), ring_(capacity, [this] { wake(); })
    { }

    // The capacity covers one answer for each connection, so the ring is never full.
    void push(Answer answer) { ring_.tryPush(std::move(answer)); }

    void close()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        context_ = nullptr;
    }

private:
    void wake()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (context_)
            boost::asio::post(*context_, [this, self = shared_from_this()] { deliverQueued(); });
    }

    void deliverQueued()
    {
        if (!context_)
            return;
        ring_.takeAll(batch_);
        drain_(batch_);
        batch_.clear();
    }

    std::mutex mutex_;
    boost::asio::io_context *context_;
    const Drain drain_;
    Ring<Answer> ring_;
    std::vector<Answer> batch_;
};

class QueuedReply : public HttpReply
{
public:
    QueuedReply(std::shared_ptr<AnswerQueue> queue, ConnectionId connection)
        : queue_(std::move(queue)), connection_(connection)
    { }

    ~QueuedReply() override
    {
        if (!sent_)
            send(problemResponse(Problem()));
    }

    void send(HttpResponse response) override
    {
        if (!sent_.exchange(true))
            queue_->push({connection_, std::move(response)});
    }

private:
    const std::shared_ptr<AnswerQueue> queue_;
    const ConnectionId connection_;
    std::atomic<bool> sent_ {false};
};

std::string httpDate(std::time_t time)
{
    std::tm parts {};
    gmtime_r(&time, &parts);
    char text[64];
    const std::size_t length =
        std::strftime(text, sizeof text, "%a, %d %b %Y %H:%M:%S GMT", &parts);
    return std::string(text, length);
}

absl::Status failed(const std::string &what, const ErrorCode &error)
{
    return absl::FailedPreconditionError(what + ": " + error.message());
}

} // namespace

struct HttpServer::Private : HttpSessionManager, std::enable_shared_from_this<HttpServer::Private>
{
    Private(DutyThread &theThread, HttpHandler &theHandler, const HttpLimits &theLimits,
            RefusalCounter theCounter)
        : thread(theThread), handler(theHandler), httpLimits(theLimits),
          countRefusal(std::move(theCounter)), acceptor(thread.context()),
          answers(std::make_shared<AnswerQueue>(
              thread.context(),
              static_cast<std::size_t>(httpLimits.maxConnections) + maxRefusedConnections + 1,
              [this](std::vector<Answer> &batch) { deliver(batch); }))
    { }

    const HttpLimits &limits() const override { return httpLimits; }
    bool draining() const override { return isDraining; }

    void onRequest(HttpSession &session, HttpRequest request) override
    {
        handler.onRequest(std::move(request), std::make_shared<QueuedReply>(answers, session.id()));
    }

    void onCallerDisconnected(ConnectionId connection) override
    {
        handler.onCallerDisconnected(connection);
    }

    void onRefused(Reason reason) override
    {
        if (countRefusal)
            countRefusal(reason);
    }

    void onClosed(ConnectionId connection) override
    {
        sessions.erase(connection);
        open = static_cast<int>(sessions.size());
        finishDrain();
    }

    const std::string &date() override
    {
        const std::time_t now = std::time(nullptr);
        if (now != dateTime) {
            dateTime = now;
            dateText = httpDate(now);
        }
        return dateText;
    }

    absl::Status listen(const std::string &address, int port, const HttpTls &files);
    absl::Status loadTls(const HttpTls &files);
    void accept();
    void onAccepted(tcp::socket socket);
    void deliver(std::vector<Answer> &batch);
    void checkDeadlines();
    void drain(std::function<void()> whenDone);
    void stopAccepting();
    void finishDrain();

    DutyThread &thread;
    HttpHandler &handler;
    const HttpLimits httpLimits;
    const RefusalCounter countRefusal;
    tcp::acceptor acceptor;
    std::optional<boost::asio::ssl::context> tls;
    std::shared_ptr<AnswerQueue> answers;
    std::unordered_map<ConnectionId, std::shared_ptr<HttpSession>> sessions;
    ConnectionId lastId = 0;
    std::atomic<int> open {0};
    TimerId timer = 0;
    bool isDraining = false;
    std::function<void()> onDrained;
    std::time_t dateTime = 0;
    std::string dateText;
};

absl::Status HttpServer::Private::loadTls(const HttpTls &files)
{
    namespace ssl = boost::asio::ssl;
    if (files.certificate.empty() && files.key.empty())
        return absl::OkStatus();
    tls.emplace(ssl::context::tls_server);
    ErrorCode error;
    tls->set_options(ssl::context::no_sslv2 | ssl::context::no_sslv3 | ssl::context::no_tlsv1
                         | ssl::context::no_tlsv1_1,
                     error);
    SSL_CTX_set_mode(tls->native_handle(), SSL_MODE_RELEASE_BUFFERS);
    tls->use_certificate_chain_file(files.certificate, error);
    if (error)
        return failed("TLS certificate " + files.certificate, error);
    tls->use_private_key_file(files.key, ssl::context::pem, error);
    if (error)
        return failed("TLS key " + files.key, error);
    return absl::OkStatus();
}

absl::Status HttpServer::Private::listen(const std::string &address, int port, const HttpTls &files)
{
    const absl::Status loaded = loadTls(files);
    if (!loaded.ok())
        return loaded;
    ErrorCode error;
    const auto ip = boost::asio::ip::make_address(address, error);
    if (error)
        return failed("address " + address, error);
    const tcp::endpoint endpoint(ip, static_cast<unsigned short>(port));
    const std::string place = address + ":" + std::to_string(port);
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return failed("listening on " + place, error);
    const Duration period = std::clamp<Duration>(
        httpLimits.readTimeout / 4, std::chrono::milliseconds(10), std::chrono::seconds(1));
    timer = thread.timers().subscribeEvery(period, [this] { checkDeadlines(); });
    accept();
    return absl::OkStatus();
}

void HttpServer::Private::accept()
{
    acceptor.async_accept([self = shared_from_this()](const ErrorCode &error, tcp::socket socket) {
        if (!self->acceptor.is_open())
            return;
        if (!error) {
            self->onAccepted(std::move(socket));
            return self->accept();
        }
        self->thread.timers().subscribeAfter(acceptRetryDelay, [self] {
            if (self->acceptor.is_open())
                self->accept();
        });
    });
}

void HttpServer::Private::onAccepted(tcp::socket socket)
{
    const int count = static_cast<int>(sessions.size());
    const bool full = count >= httpLimits.maxConnections;
    if (count >= httpLimits.maxConnections + maxRefusedConnections)
        return onRefused(Reason::ConnectionLimit);
    ErrorCode ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const ConnectionId id = ++lastId;
    const auto session = makeHttpSession(*this, id, std::move(socket), tls ? &*tls : nullptr);
    sessions.emplace(id, session);
    open = static_cast<int>(sessions.size());
    full ? session->startRefusing(Reason::ConnectionLimit) : session->start();
}

void HttpServer::Private::deliver(std::vector<Answer> &batch)
{
    for (const Answer &answer : batch) {
        const auto found = sessions.find(answer.connection);
        if (found == sessions.end())
            continue;
        const std::shared_ptr<HttpSession> session = found->second;
        session->answer(answer.response);
    }
}

// Iterates over a copy, as sessions that close are erased from the map.
void HttpServer::Private::checkDeadlines()
{
    const Instant now = BootClock::now();
    std::vector<std::shared_ptr<HttpSession>> all;
    all.reserve(sessions.size());
    for (const auto &entry : sessions)
        all.push_back(entry.second);
    for (const auto &session : all)
        session->checkDeadline(now);
}

void HttpServer::Private::drain(std::function<void()> whenDone)
{
    if (isDraining)
        return;
    isDraining = true;
    onDrained = std::move(whenDone);
    thread.timers().subscribeAfter(httpLimits.drainGrace,
                                   [self = shared_from_this()] { self->stopAccepting(); });
}

void HttpServer::Private::stopAccepting()
{
    ErrorCode ignored;
    acceptor.close(ignored);
    std::vector<std::shared_ptr<HttpSession>> all;
    for (const auto &entry : sessions)
        all.push_back(entry.second);
    for (const auto &session : all)
        session->closeIfIdle();
    finishDrain();
}

void HttpServer::Private::finishDrain()
{
    if (acceptor.is_open() || !sessions.empty() || !onDrained)
        return;
    const std::function<void()> done = std::move(onDrained);
    onDrained = nullptr;
    thread.timers().cancel(timer);
    boost::asio::post(thread.context(), done);
}

HttpServer::HttpServer(DutyThread &thread, HttpHandler &handler, HttpLimits limits,
                       RefusalCounter countRefusal)
    : d_(std::make_shared<Private>(thread, handler, limits, std::move(countRefusal)))
{ }

HttpServer::~HttpServer()
{
    d_->answers->close();
    d_->thread.timers().cancel(d_->timer);
    ErrorCode ignored;
    d_->acceptor.close(ignored);
    for (const auto &entry : d_->sessions)
        entry.second->abandon();
    d_->sessions.clear();
}

absl::Status HttpServer::listen(const std::string &address, int port, const HttpTls &tls)
{
    return d_->listen(address, port, tls);
}

int HttpServer::port() const
{
    ErrorCode error;
    const auto endpoint = d_->acceptor.local_endpoint(error);
    return error ? 0 : endpoint.port();
}

void HttpServer::drain(std::function<void()> whenDone)
{
    boost::asio::post(d_->thread.context(), [d = d_, whenDone = std::move(whenDone)]() mutable {
        d->drain(std::move(whenDone));
    });
}

int HttpServer::connections() const
{
    return d_->open;
}

} // namespace kelptally::caller
