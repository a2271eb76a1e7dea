#include "inner/websocketlinks.h"

#include "inner/codec.h"
#include "inner/linkrefusal.h"
#include "inner/linkstate.h"

#include <condition_variable>
#include <glog/logging.h>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kelptally::inner {

namespace {

using boost::asio::ip::tcp;

// Maximum time for which the destructor waits for queued messages to be sent.
constexpr Duration flushTimeout = std::chrono::milliseconds(500);
// Limit of accepted links that are not authenticated yet.
constexpr std::size_t maxUnauthenticatedLinks = 1024;
// Delay after a refusal, whose cause (such as a wrong key) usually takes longer to be fixed.
constexpr Duration refusedRetryDelay = std::chrono::seconds(5);
// Pause after a failed accept, mostly for want of descriptors.
constexpr Duration acceptPause = std::chrono::milliseconds(20);
// A link that is not open within this time may be redialled. One dialled while its peer was down
// opens only when TCP retransmits the SYN, a second later. A link opens in some 5 ms within a
// region, and in 100 ms between distant ones.
constexpr Duration maxConnectTime = std::chrono::milliseconds(150);

class WebsocketLinks : public PeerLinks
{
public:
    WebsocketLinks(const PeerLinkOptions &options, PeerEvents &events);
    ~WebsocketLinks() override;

    absl::Status listen();

    void connect(const std::string &address) override;
    void drop(const std::string &address) override;
    void renew(const std::string &address) override;
    void cancelRenewal(const std::string &address) override;
    LinkId linkTo(const std::string &address) override;
    absl::Status sendTo(const std::string &address, Message message) override;
    absl::Status sendOn(LinkId link, Message message) override;

private:
    // Opening and closing of links; on the links' thread.
    void setHandlers(Server &server);
    bool isConnecting(const LinkPtr &link) const;
    void dial(const std::string &address);
    LinkPtr openLink(const std::string &address);
    void replaceByRenewal(const LinkPtr &renewal);
    void scheduleRedial(const std::string &address, bool refused);
    websocketpp::lib::error_code acceptNext();
    void onAccepted(const Connection &connection, const websocketpp::lib::error_code &failed);
    void accept(const Connection &connection);
    bool mayAccept() const;
    void registerLink(const LinkPtr &link, const Connection &connection);
    void onOpen(const LinkPtr &link);
    void onLinkClosed(const LinkPtr &link);
    void releaseClosed();
    void closeAll();
    void refuse(const LinkPtr &link, const absl::Status &reason);
    void abortLink(const LinkPtr &link, const absl::Status &reason);
    void checkLinks();
    void checkLink(const LinkPtr &link, Instant now);

    // Sending and receiving.
    void onFrame(const LinkPtr &link, const std::string &payload);
    void onHello(const LinkPtr &link, const Hello &peer);
    void write(const LinkPtr &link, const std::string &bytes);
    void writeHello(const LinkPtr &link, const Hello &hello);
    void onOutgoing(Outgoing &&outgoing);
    absl::Status send(const ChannelPtr &channel, const Message &message);
    Hello ownHello() const;

    const PeerLinkOptions options_;
    PeerEvents &events_;
    std::optional<DutyThread> ownThread_;
    DutyThread &thread_;
    Server server_;
    Client client_;
    Inbox<Outgoing> outbox_;
    RefusalCounters refusals_;
    std::mt19937_64 random_ {std::random_device()()};
    LinkId lastId_ = 0;
    std::unordered_map<LinkId, LinkPtr> links_;
    // Links that have closed and still hold their connection.
    std::vector<LinkPtr> closed_;
    std::unordered_map<std::string, Target> targets_;
    bool started_ = false;
    bool stopping_ = false;
    bool acceptFails_ = false;

    // Shared with senders.
    std::mutex mutex_;
    std::condition_variable allClosed_;
    std::unordered_map<std::string, ChannelPtr> channelByAddress_;
    std::unordered_map<LinkId, ChannelPtr> channelById_;
    bool flushed_ = false;
};

WebsocketLinks::WebsocketLinks(const PeerLinkOptions &options, PeerEvents &events)
    : options_(options), events_(events),
      thread_(options.thread != nullptr ? *options.thread : ownThread_.emplace("peers")),
      outbox_(thread_, options.maxQueuedMessages,
              [this](Outgoing &&item) { onOutgoing(std::move(item)); }),
      refusals_(options.metrics)
{
    server_.init_asio(&thread_.context());
    client_.init_asio(&thread_.context());
    setHandlers(server_);
    const auto setNoDelay = [](auto &endpoint) {
        endpoint.set_tcp_post_init_handler([&endpoint](Handle handle) {
            boost::system::error_code ignored;
            endpoint.get_con_from_hdl(handle)->get_raw_socket().set_option(tcp::no_delay(true),
                                                                           ignored);
        });
    };
    setNoDelay(server_);
    setNoDelay(client_);
    client_.set_user_agent("");
    server_.set_user_agent("");
}

// Flushes and closes every link, then ends the thread. A thread of the caller has stopped by now,
// so that nothing can be sent.
WebsocketLinks::~WebsocketLinks()
{
    if (started_ && ownThread_) {
        boost::asio::post(thread_.context(), [this] { closeAll(); });
        std::unique_lock<std::mutex> lock(mutex_);
        allClosed_.wait_for(lock, flushTimeout, [this] { return flushed_; });
        lock.unlock();
        thread_.stop();
    }
    // Links that did not close in time. Their sockets close with the thread's context.
    for (const auto &[id, link] : links_)
        link->connection = nullptr;
    releaseClosed();
}

// Closes open links, and aborts those that are still opening, which have nothing to flush.
void WebsocketLinks::closeAll()
{
    stopping_ = true;
    websocketpp::lib::error_code ignored;
    if (server_.is_listening())
        server_.stop_listening(ignored);
    const auto links = links_;
    for (const auto &[id, link] : links) {
        websocketpp::lib::error_code error;
        link->connection->close(websocketpp::close::status::going_away, "stopping", error);
        if (error)
            abortLink(link, absl::CancelledError("stopping"));
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    flushed_ = links_.empty();
    allClosed_.notify_all();
}

absl::Status WebsocketLinks::listen()
{
    const std::size_t colon = options_.listenAddress.rfind(':');
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(options_.listenAddress.substr(0, colon), error);
    const int port = colon == std::string::npos
        ? 0
        : std::atoi(options_.listenAddress.substr(colon + 1).c_str());
    if (error || port <= 0 || port > 65535)
        return absl::InvalidArgumentError("not an ip:port to listen on: " + options_.listenAddress);
    server_.set_reuse_addr(true);
    websocketpp::lib::error_code failed;
    server_.listen(tcp::endpoint(ip, static_cast<std::uint16_t>(port)), failed);
    if (!failed)
        failed = acceptNext();
    if (failed)
        return absl::UnavailableError("can't listen on " + options_.listenAddress + ": "
                                      + failed.message());
    thread_.timers().subscribeEvery(checkInterval, [this] { checkLinks(); });
    if (ownThread_)
        ownThread_->start();
    started_ = true;
    return absl::OkStatus();
}

void WebsocketLinks::setHandlers(Server &server)
{
    server.set_validate_handler([this](Handle) { return mayAccept(); });
    server.set_open_handler([this](Handle handle) { accept(server_.get_con_from_hdl(handle)); });
}

bool WebsocketLinks::mayAccept() const
{
    std::size_t unauthenticated = 0;
    for (const auto &[id, link] : links_)
        unauthenticated += !link->isAuthenticated && link->role == LinkRole::Acceptor;
    return unauthenticated < maxUnauthenticatedLinks && !stopping_;
}

void WebsocketLinks::connect(const std::string &address)
{
    boost::asio::post(thread_.context(), [this, address] {
        if (++targets_[address].users == 1)
            dial(address);
    });
}

void WebsocketLinks::drop(const std::string &address)
{
    boost::asio::post(thread_.context(), [this, address] {
        const auto found = targets_.find(address);
        if (found == targets_.end() || --found->second.users > 0)
            return;
        const Target target = found->second;
        targets_.erase(found);
        thread_.timers().cancel(target.retry);
        if (target.link)
            abortLink(target.link, absl::CancelledError("dropped"));
        if (target.renewal)
            abortLink(target.renewal, absl::CancelledError("dropped"));
    });
}

void WebsocketLinks::renew(const std::string &address)
{
    boost::asio::post(thread_.context(), [this, address] {
        const auto found = targets_.find(address);
        // Without a link a redial is scheduled already.
        if (found == targets_.end() || !found->second.link)
            return;
        Target &target = found->second;
        if (isConnecting(target.link) || isConnecting(target.renewal))
            return;
        if (target.renewal)
            abortLink(target.renewal, absl::DeadlineExceededError("not open in time"));
        target.renewal = openLink(address);
    });
}

void WebsocketLinks::cancelRenewal(const std::string &address)
{
    boost::asio::post(thread_.context(), [this, address] {
        const auto found = targets_.find(address);
        if (found != targets_.end() && found->second.renewal)
            abortLink(found->second.renewal, absl::CancelledError("the current link answers"));
    });
}

// Whether the link was dialled recently, so that another attempt would not open sooner.
bool WebsocketLinks::isConnecting(const LinkPtr &link) const
{
    return link && !link->isAuthenticated
        && BootClock::now() - (link->handshakeDeadline - options_.handshakeTimeout)
        < maxConnectTime;
}

void WebsocketLinks::dial(const std::string &address)
{
    targets_[address].link = openLink(address);
}

// Returns null when the address is invalid.
LinkPtr WebsocketLinks::openLink(const std::string &address)
{
    if (stopping_)
        return nullptr;
    websocketpp::lib::error_code error;
    const Connection connection = client_.get_connection("ws://" + address + "/", error);
    if (error) {
        LOG(WARNING) << "event=peer_address_invalid peer=" << address;
        return nullptr;
    }
    const auto link =
        std::make_shared<Link>(++lastId_, LinkRole::Connector, options_, ownHello(), address);
    registerLink(link, connection);
    connection->set_open_handler([this, link](Handle) { onOpen(link); });
    client_.connect(connection);
    return link;
}

// Closes the silent link only once the other one is up, so that there is always one to send on.
void WebsocketLinks::replaceByRenewal(const LinkPtr &renewal)
{
    const auto target = targets_.find(renewal->dialled);
    if (target == targets_.end() || target->second.renewal != renewal)
        return;
    const LinkPtr silent = target->second.link;
    target->second.link = renewal;
    target->second.renewal = nullptr;
    thread_.timers().cancel(target->second.retry);
    if (silent)
        abortLink(silent, absl::DeadlineExceededError("replaced by a new link"));
}

// Redials with exponential backoff and jitter.
void WebsocketLinks::scheduleRedial(const std::string &address, bool refused)
{
    const auto found = targets_.find(address);
    if (found == targets_.end() || stopping_)
        return;
    Target &target = found->second;
    target.link = nullptr;
    target.retryDelay =
        std::clamp(target.retryDelay * 2, options_.reconnectMin, options_.reconnectMax);
    if (refused)
        target.retryDelay =
            std::max(target.retryDelay, std::min(refusedRetryDelay, options_.reconnectMax * 5));
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    const auto delay = std::chrono::duration_cast<Duration>(target.retryDelay * jitter(random_));
    target.retry = thread_.timers().subscribeAfter(delay, [this, address] { dial(address); });
}

// websocketpp's own accept loop repeats a failed accept at once, which takes a whole processor
// while the process has no free descriptors.
websocketpp::lib::error_code WebsocketLinks::acceptNext()
{
    const Connection connection = server_.get_connection();
    if (!connection)
        return websocketpp::error::make_error_code(websocketpp::error::con_creation_failed);
    websocketpp::lib::error_code error;
    server_.async_accept(
        connection,
        [this, connection](const websocketpp::lib::error_code &failed) {
            onAccepted(connection, failed);
        },
        error);
    if (error)
        connection->terminate(error);
    return error;
}

void WebsocketLinks::onAccepted(const Connection &connection,
                                const websocketpp::lib::error_code &failed)
{
    if (!failed) {
        acceptFails_ = false;
        connection->start();
        static_cast<void>(acceptNext());
        return;
    }
    connection->terminate(failed);
    if (stopping_ || !server_.is_listening())
        return;
    // One line for a series of failures.
    if (!std::exchange(acceptFails_, true))
        LOG(WARNING) << "event=peer_accept_failed cause=\"" << failed.message() << '"';
    thread_.timers().subscribeAfter(acceptPause, [this] { static_cast<void>(acceptNext()); });
}

void WebsocketLinks::accept(const Connection &connection)
{
    const auto link =
        std::make_shared<Link>(++lastId_, LinkRole::Acceptor, options_, ownHello(), "");
    registerLink(link, connection);
}

void WebsocketLinks::registerLink(const LinkPtr &link, const Connection &connection)
{
    link->connection = connection;
    link->handshakeDeadline = BootClock::now() + options_.handshakeTimeout;
    links_.emplace(link->channel->id, link);
    connection->set_message_handler([this, link](Handle, Server::message_ptr message) {
        onFrame(link, message->get_payload());
    });
    connection->set_close_handler([this, link](Handle) { onLinkClosed(link); });
    connection->set_fail_handler([this, link](Handle) { onLinkClosed(link); });
    connection->set_pong_handler([link](Handle, std::string) { link->watch.onReceived(); });
    connection->set_ping_handler([link](Handle, std::string) {
        link->watch.onReceived();
        return true;
    });
}

void WebsocketLinks::onOpen(const LinkPtr &link)
{
    writeHello(link, link->exchange.first());
}

void WebsocketLinks::onFrame(const LinkPtr &link, const std::string &payload)
{
    link->watch.onReceived();
    link->watch.onMessage();
    if (!link->closeReason.ok())
        return;
    absl::StatusOr<Message> message = decode(payload);
    if (!message.ok())
        return refuse(link, message.status());
    const Hello *hello = std::get_if<Hello>(&*message);
    if (hello != nullptr)
        return onHello(link, *hello);
    if (!link->isAuthenticated)
        return refuse(link, absl::InvalidArgumentError("a message before Hello"));
    events_.onPeerMessage(link->channel->id, *std::move(message));
}

void WebsocketLinks::onHello(const LinkPtr &link, const Hello &peer)
{
    const HelloStep step = link->exchange.onHello(peer);
    if (!step.status.ok())
        return refuse(link, step.status);
    if (step.reply)
        writeHello(link, *step.reply);
    if (!step.isAuthenticated)
        return;
    link->isAuthenticated = true;
    link->peerAddress = peer.process.address;
    link->connection->set_max_message_size(maxFrameBytes);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        link->channel->isUp = true;
        channelById_[link->channel->id] = link->channel;
        if (link->role == LinkRole::Connector)
            channelByAddress_[link->dialled] = link->channel;
    }
    if (link->role == LinkRole::Connector) {
        targets_[link->dialled].retryDelay = Duration(0);
        targets_[link->dialled].lastCause.clear();
    }
    LOG(INFO) << "event=peer_up link=" << link->channel->id << " peer=" << link->peerAddress
              << " host=" << peer.host << " dialled=" << (link->role == LinkRole::Connector);
    events_.onPeerUp(link->channel->id, peer);
    replaceByRenewal(link);
}

// Closes a link with a close code and reason for the other end.
void WebsocketLinks::refuse(const LinkPtr &link, const absl::Status &reason)
{
    if (!link->closeReason.ok())
        return;
    link->closeReason = reason;
    const auto code = closeCodeOf(reason);
    refusals_.count(refusalCause(code));
    const std::string &peer = link->dialled.empty() ? link->peerAddress : link->dialled;
    LOG(WARNING) << "event=peer_refused link=" << link->channel->id << " peer=" << peer
                 << " remote=" << link->connection->get_remote_endpoint()
                 << " reason=" << refusalCause(code) << " cause=\"" << reason.message() << '"';
    websocketpp::lib::error_code error;
    constexpr std::size_t maxCloseReason = 120;
    link->connection->close(code, std::string(reason.message().substr(0, maxCloseReason)), error);
    if (error)
        abortLink(link, reason);
}

// Ends a link at once, without a closing handshake.
void WebsocketLinks::abortLink(const LinkPtr &link, const absl::Status &reason)
{
    if (link->closeReason.ok())
        link->closeReason = reason;
    if (link->connection->get_state() != websocketpp::session::state::closed)
        link->connection->terminate(
            websocketpp::error::make_error_code(websocketpp::error::operation_canceled));
}

void WebsocketLinks::onLinkClosed(const LinkPtr &link)
{
    if (links_.erase(link->channel->id) == 0)
        return;
    // 1. Determine the cause.
    const Connection &connection = link->connection;
    absl::Status reason = link->closeReason;
    const auto code = connection->get_remote_close_code();
    const bool refusedByPeer = isRefusal(code);
    if (reason.ok() && refusedByPeer)
        reason = absl::PermissionDeniedError("refused by the peer: "
                                             + connection->get_remote_close_reason());
    if (reason.ok())
        reason = absl::UnavailableError(connection->get_ec() ? connection->get_ec().message()
                                                             : "closed by the peer");
    // 2. Stop sending on the link.
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        link->channel->isUp = false;
        channelById_.erase(link->channel->id);
        const auto found = channelByAddress_.find(link->dialled);
        if (found != channelByAddress_.end() && found->second == link->channel)
            channelByAddress_.erase(found);
        flushed_ = stopping_ && links_.empty();
        if (flushed_)
            allClosed_.notify_all();
    }
    // 3. Report and redial. A repeated cause is logged once.
    const auto target = targets_.find(link->dialled);
    const bool isNewCause =
        target != targets_.end() && target->second.lastCause != reason.message();
    if (link->isAuthenticated || isNewCause)
        LOG(INFO) << "event=peer_down link=" << link->channel->id
                  << " peer=" << (link->dialled.empty() ? link->peerAddress : link->dialled)
                  << " cause=\"" << reason.message() << '"';
    if (link->isAuthenticated)
        events_.onPeerDown(link->channel->id, link->peerAddress, reason);
    if (target != targets_.end() && target->second.renewal == link)
        target->second.renewal = nullptr;
    if (target != targets_.end() && target->second.link == link) {
        target->second.lastCause = std::string(reason.message());
        scheduleRedial(link->dialled, refusedByPeer || isPersistent(link->closeReason));
    }
    // 4. Release the link once this handler, which it holds, has returned.
    closed_.push_back(link);
    boost::asio::post(thread_.context(), [this] { releaseClosed(); });
}

// Breaks the reference cycle of closed links: the connection's handlers hold the link.
void WebsocketLinks::releaseClosed()
{
    for (const LinkPtr &link : std::exchange(closed_, {}))
        link->connection = nullptr;
}

void WebsocketLinks::checkLinks()
{
    const Instant now = BootClock::now();
    const auto links = links_;
    for (const auto &[id, link] : links)
        checkLink(link, now);
}

void WebsocketLinks::checkLink(const LinkPtr &link, Instant now)
{
    link->channel->bufferedBytes = link->connection->get_buffered_amount();
    if (!link->isAuthenticated) {
        if (now < link->handshakeDeadline)
            return;
        refusals_.count(timeoutCause);
        return abortLink(link, absl::DeadlineExceededError("no valid Hello in time"));
    }
    const std::size_t receivedBytes = link->connection->receivedBytes();
    link->watch.onPartReceived(receivedBytes - link->receivedBytes);
    link->receivedBytes = receivedBytes;
    const decision::LinkWatch::Step step = link->watch.check();
    if (step == decision::LinkWatch::Step::Close) {
        refusals_.count(silenceCause);
        return abortLink(link, absl::DeadlineExceededError("nothing received in time"));
    }
    websocketpp::lib::error_code ignored;
    if (step == decision::LinkWatch::Step::Ping)
        link->connection->ping("", ignored);
    if (step == decision::LinkWatch::Step::Pong)
        link->connection->pong("", ignored);
}

LinkId WebsocketLinks::linkTo(const std::string &address)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = channelByAddress_.find(address);
    return found == channelByAddress_.end() ? 0 : found->second->id;
}

absl::Status WebsocketLinks::sendTo(const std::string &address, Message message)
{
    ChannelPtr channel;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = channelByAddress_.find(address);
        if (found != channelByAddress_.end())
            channel = found->second;
    }
    return send(channel, message);
}

absl::Status WebsocketLinks::sendOn(LinkId link, Message message)
{
    ChannelPtr channel;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = channelById_.find(link);
        if (found != channelById_.end())
            channel = found->second;
    }
    return send(channel, message);
}

// Encodes on the sender's thread.
absl::Status WebsocketLinks::send(const ChannelPtr &channel, const Message &message)
{
    if (!channel || !channel->isUp)
        return absl::UnavailableError("no link to the peer");
    absl::StatusOr<std::string> bytes = encode(message);
    if (!bytes.ok())
        return bytes.status();
    Outgoing outgoing {channel, *std::move(bytes)};
    const std::size_t size = outgoing.bytes.size();
    const std::size_t waiting = channel->queuedBytes + channel->bufferedBytes;
    if (waiting + size > options_.sendBufferBytes)
        return absl::ResourceExhaustedError("the send buffer of the link is full");
    channel->queuedBytes += size;
    if (outbox_.tryPush(std::move(outgoing)))
        return absl::OkStatus();
    channel->queuedBytes -= size;
    return absl::ResourceExhaustedError("the queue of the links' thread is full");
}

void WebsocketLinks::onOutgoing(Outgoing &&outgoing)
{
    outgoing.channel->queuedBytes -= outgoing.bytes.size();
    const auto found = links_.find(outgoing.channel->id);
    if (found == links_.end())
        return;
    write(found->second, outgoing.bytes);
    outgoing.channel->bufferedBytes = found->second->connection->get_buffered_amount();
}

void WebsocketLinks::write(const LinkPtr &link, const std::string &bytes)
{
    link->watch.onMessage();
    // A closing link accepts nothing; its end is reported separately.
    static_cast<void>(link->connection->send(bytes, websocketpp::frame::opcode::binary));
}

void WebsocketLinks::writeHello(const LinkPtr &link, const Hello &hello)
{
    const absl::StatusOr<std::string> bytes = encode(hello);
    if (!bytes.ok())
        return refuse(link, bytes.status());
    write(link, *bytes);
}

Hello WebsocketLinks::ownHello() const
{
    Hello hello;
    hello.newestVersion = options_.newestVersion;
    hello.oldestVersion = options_.oldestVersion;
    hello.process = options_.self;
    hello.host = options_.host;
    hello.zone = options_.zone;
    hello.configVersion = options_.configVersion ? options_.configVersion() : 0;
    return hello;
}

} // namespace

absl::StatusOr<std::unique_ptr<PeerLinks>> makePeerLinks(const PeerLinkOptions &options,
                                                         PeerEvents &events)
{
    if (options.peerKey.empty())
        return absl::InvalidArgumentError("the peer key is empty");
    auto links = std::make_unique<WebsocketLinks>(options, events);
    const absl::Status listening = links->listen();
    if (!listening.ok())
        return listening;
    return std::unique_ptr<PeerLinks>(std::move(links));
}

} // namespace kelptally::inner
