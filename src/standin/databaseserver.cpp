#include "standin/databaseserver.h"

#include "standin/acceptretry.h"
#include "standin/wiresession.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <future>
#include <random>

namespace kelptally::standin {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Limit of the parse cache; the cache is cleared when it is reached.
constexpr std::size_t maxCachedParses = 1000;
// Linux limits thread names to 15 characters.
constexpr std::size_t maxThreadNameLength = 15;

} // namespace

DatabaseServer::DatabaseServer(DatabaseServerSettings settings, const std::string &schema,
                               PeerNetwork &network)
    : thread_(settings.name.substr(0, maxThreadNameLength)), settings_(std::move(settings)),
      node_(settings_.name, schema, thread_.timers(), network), acceptor_(thread_.context()),
      peerMessages_(thread_.timers())
{
    node_.setReplicationLag(settings_.limits.replicationLag);
}

DatabaseServer::~DatabaseServer()
{
    stop();
}

void DatabaseServer::start(const ServerName &initialPrimary)
{
    node_.install(initialPrimary);
    listen();
    running_ = true;
    thread_.timers().subscribeEvery(Node::fetchPeriod, [this] { tick(); });
    thread_.start();
}

void DatabaseServer::stop()
{
    thread_.stop();
    // Closes the sessions before the members are destroyed, as each calls onSessionClosed().
    const auto sessions = std::move(sessions_);
    sessions_.clear();
    for (const auto &[id, session] : sessions)
        session->close();
}

void DatabaseServer::listen()
{
    const auto address = asio::ip::make_address(settings_.listen.address);
    const int port = port_ != 0 ? port_.load() : settings_.listen.port;
    const tcp::endpoint endpoint(address, std::uint16_t(port));
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    port_ = acceptor_.local_endpoint().port();
    accept();
}

void DatabaseServer::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (!acceptor_.is_open() || error == asio::error::operation_aborted)
            return;
        if (!error) {
            const std::uint32_t id = ++lastSessionId_;
            const auto session =
                std::make_shared<WireSession>(*this, std::move(socket), id, std::random_device()());
            sessions_.emplace(id, session);
            session->start();
            return accept();
        }
        timers().subscribeAfter(acceptRetryDelay, [this] {
            if (acceptor_.is_open())
                accept();
        });
    });
}

void DatabaseServer::callAndWait(const std::function<void(DatabaseServer &)> &function)
{
    std::promise<void> done;
    asio::post(thread_.context(), [&] {
        function(*this);
        done.set_value();
    });
    done.get_future().wait();
}

void DatabaseServer::deliver(const ServerName &from, Duration delay,
                             std::function<void(Node &)> message)
{
    const Instant due = BootClock::now() + delay;
    asio::post(thread_.context(), [this, from, due, message = std::move(message)] {
        peerMessages_.push(due, [this, from, message] { receive(from, message); });
    });
}

void DatabaseServer::receive(const ServerName &from, const std::function<void(Node &)> &message)
{
    if (!running_ || partitionedPeers_.count(from) != 0)
        return;
    if (paused_)
        deferredMessages_.push_back([this, message] { message(node_); });
    else
        message(node_);
}

void DatabaseServer::tick()
{
    if (running_ && !paused_)
        node_.onTick();
}

void DatabaseServer::kill(bool keepState)
{
    if (!running_)
        return;
    running_ = false;
    paused_ = false;
    ++incarnation_;
    acceptor_.close();
    const auto sessions = sessions_;
    for (const auto &[id, session] : sessions)
        session->close();
    peerMessages_.clear();
    deferredMessages_.clear();
    queuedRequests_.clear();
    busySlots_ = 0;
    if (keepState)
        node_.restart();
    else
        node_.eraseState();
    LOG(INFO) << "event=server-killed server=" << name()
              << " state=" << (keepState ? "kept" : "lost");
}

void DatabaseServer::restart()
{
    if (running_)
        return;
    listen();
    running_ = true;
    LOG(INFO) << "event=server-restarted server=" << name();
}

void DatabaseServer::setPaused(bool paused)
{
    paused_ = paused;
    if (paused)
        return;
    const auto deferred = std::move(deferredMessages_);
    deferredMessages_.clear();
    for (const auto &message : deferred)
        message();
    resumeSessions();
}

void DatabaseServer::setPeerPartitioned(const ServerName &peer, bool partitioned)
{
    if (partitioned)
        partitionedPeers_.insert(peer);
    else
        partitionedPeers_.erase(peer);
}

void DatabaseServer::setClientPartitioned(const std::string &address, bool partitioned)
{
    if (partitioned)
        partitionedClients_.insert(address);
    else
        partitionedClients_.erase(address);
    resumeSessions();
}

void DatabaseServer::setAllClientsPartitioned(bool partitioned)
{
    allClientsPartitioned_ = partitioned;
    resumeSessions();
}

void DatabaseServer::resumeSessions()
{
    for (const auto &[id, session] : sessions_)
        session->resume();
}

bool DatabaseServer::isPartitionedFrom(const std::string &clientAddress) const
{
    return allClientsPartitioned_ || partitionedClients_.count(clientAddress) != 0;
}

void DatabaseServer::setLimits(const ServerLimits &limits)
{
    settings_.limits = limits;
    node_.setReplicationLag(limits.replicationLag);
    startQueuedRequests();
}

ServerState DatabaseServer::state()
{
    ServerState state;
    state.name = name();
    state.port = port_;
    state.running = running_;
    state.paused = paused_;
    state.term = node_.term();
    state.role = node_.acceptsWrites() ? "primary" : "replica";
    state.received = node_.endOffset();
    state.applied = node_.applied();
    state.fence = node_.fence(node_.committedDatabase());
    state.connections = connections_;
    state.peakConnections = peakConnections_;
    state.limits = settings_.limits;
    return state;
}

ParsedStatementPtr DatabaseServer::parse(const std::string &sql)
{
    const auto found = parseCache_.find(sql);
    if (found != parseCache_.end())
        return found->second;
    if (parseCache_.size() >= maxCachedParses)
        parseCache_.clear();
    return parseCache_.emplace(sql, parseStatement(sql)).first->second;
}

bool DatabaseServer::admit()
{
    if (connections_ >= settings_.limits.connections)
        return false;
    ++connections_;
    peakConnections_ = std::max(peakConnections_, connections_);
    return true;
}

void DatabaseServer::cancel(std::uint32_t sessionId, std::uint32_t secret)
{
    const auto found = sessions_.find(sessionId);
    if (found != sessions_.end())
        found->second->cancel(secret);
}

void DatabaseServer::occupySlot(Duration time, std::function<void()> done)
{
    queuedRequests_.push_back({time, std::move(done)});
    startQueuedRequests();
}

void DatabaseServer::startQueuedRequests()
{
    while (busySlots_ < settings_.limits.slots && !queuedRequests_.empty()) {
        const SlotRequest request = std::move(queuedRequests_.front());
        queuedRequests_.pop_front();
        ++busySlots_;
        timers().subscribeAfter(request.time,
                                [this, incarnation = incarnation_, done = request.done] {
                                    if (incarnation != incarnation_)
                                        return;
                                    --busySlots_;
                                    done();
                                    startQueuedRequests();
                                });
    }
}

void DatabaseServer::onSessionClosed(WireSession &session)
{
    if (session.admitted())
        --connections_;
    sessions_.erase(session.id());
}

} // namespace kelptally::standin
