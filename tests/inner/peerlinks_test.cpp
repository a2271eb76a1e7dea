#include "inner/codec.h"
#include "inner/linkrefusal.h"
#include "linkfixtures.h"
#include "samplemessages.h"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <ctime>
#include <filesystem>

using namespace kelptally;
using namespace kelptally::inner;
using boost::asio::ip::tcp;

namespace {

std::string refusals(Metrics &metrics, const std::string &cause)
{
    const std::string text = metrics.toText();
    const std::string series = "kelptally_peer_links_refused_total{cause=\"" + cause + "\"} ";
    const std::size_t at = text.find(series);
    if (at == std::string::npos)
        return "none";
    return text.substr(at + series.size(), text.find('\n', at) - at - series.size());
}

bool refused(Metrics &metrics, const std::string &cause)
{
    return becomesTrue([&] {
        const std::string count = refusals(metrics, cause);
        return count != "none" && count != "0";
    });
}

tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.find(':');
    const int port = std::stoi(address.substr(colon + 1));
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(port)};
}

// A bare TCP connection to a peer endpoint.
class RawClient
{
public:
    explicit RawClient(const std::string &address) : socket_(context_)
    {
        socket_.connect(endpointOf(address));
    }

    void send(const std::string &bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }

    void upgrade()
    {
        send("GET / HTTP/1.1\r\nHost: peer\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
             "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n");
        std::string answer;
        char byte = 0;
        while (answer.find("\r\n\r\n") == std::string::npos
               && boost::asio::read(socket_, boost::asio::buffer(&byte, 1)) == 1)
            answer += byte;
    }

    // Reads until the other end closes.
    std::string readAll()
    {
        std::string all;
        char bytes[512];
        boost::system::error_code error;
        while (!error) {
            const std::size_t count = socket_.read_some(boost::asio::buffer(bytes), error);
            all.append(bytes, count);
        }
        return all;
    }

private:
    boost::asio::io_context context_;
    tcp::socket socket_;
};

// Returns the head of a binary frame with a zero mask (RFC 6455, section 5.2).
std::string frameHead(std::uint64_t length)
{
    const int width = length < 126 ? 0 : length < 65536 ? 2 : 8;
    std::string head = "\x82";
    head += static_cast<char>(0x80 | (width == 0 ? length : width == 2 ? 126 : 127));
    for (int shift = 8 * width - 8; shift >= 0; shift -= 8)
        head += static_cast<char>(length >> shift & 0xff);
    return head + std::string(4, '\0');
}

// Forwards bytes between two processes, or drops them without closing the connection.
class Relay
{
public:
    Relay(const std::string &listenAddress, const std::string &target)
        : target_(endpointOf(target)), acceptor_(context_, endpointOf(listenAddress))
    {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }
    ~Relay()
    {
        context_.stop();
        thread_.join();
    }

    void setDropping(bool isDropping) { isDropping_ = isDropping; }
    // Drops all bytes of the open connections; new ones work.
    void dropOpenConnections() { ++generation_; }

private:
    struct Pipe
    {
        explicit Pipe(boost::asio::io_context &context) : from(context), to(context) { }
        tcp::socket from;
        tcp::socket to;
        int generation = 0;
        std::array<char, 4096> forth;
        std::array<char, 4096> back;
    };
    using PipePtr = std::shared_ptr<Pipe>;

    void accept()
    {
        const auto pipe = std::make_shared<Pipe>(context_);
        acceptor_.async_accept(pipe->from, [this, pipe](const boost::system::error_code &error) {
            boost::system::error_code unreachable;
            if (!error)
                pipe->to.connect(target_, unreachable);
            pipe->generation = generation_;
            if (!error && !unreachable) {
                forwardBytes(pipe, pipe->from, pipe->to, pipe->forth);
                forwardBytes(pipe, pipe->to, pipe->from, pipe->back);
            }
            accept();
        });
    }

    void forwardBytes(const PipePtr &pipe, tcp::socket &from, tcp::socket &to,
                      std::array<char, 4096> &chunk)
    {
        from.async_read_some(
            boost::asio::buffer(chunk),
            [&, this, pipe](const boost::system::error_code &error, std::size_t count) {
                boost::system::error_code ignored;
                const bool isDropping = isDropping_ || pipe->generation != generation_;
                if (error) {
                    // The end of the connection is dropped too.
                    if (!isDropping)
                        to.shutdown(tcp::socket::shutdown_both, ignored);
                    return;
                }
                if (!isDropping)
                    boost::asio::write(to, boost::asio::buffer(chunk, count), ignored);
                forwardBytes(pipe, from, to, chunk);
            });
    }

    const tcp::endpoint target_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<bool> isDropping_ {false};
    std::atomic<int> generation_ {0};
    std::thread thread_;
};

// Requires that the other end closes the socket within a second.
void expectEnd(tcp::socket socket)
{
    const timeval timeout {1, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    std::array<char, 512> bytes {};
    ssize_t received = 1;
    while (received > 0)
        received = ::recv(socket.native_handle(), bytes.data(), bytes.size(), 0);
    CHECK((received == 0 || errno == ECONNRESET));
}

// Returns the number of open descriptors of this process.
std::size_t countDescriptors()
{
    const std::filesystem::directory_iterator descriptors("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

} // namespace

TEST_CASE("Messages arrive in order in both directions")
{
    Process a(linkOptions(takeFreeAddress(), 11));
    Process b(linkOptions(takeFreeAddress(), 22));
    REQUIRE(a.links);
    REQUIRE(b.links);
    CHECK(a.links->sendTo(b.options.self.address, Locate()).code()
          == absl::StatusCode::kUnavailable);
    a.links->connect(b.options.self.address);
    REQUIRE(a.events.waitForUps(1));
    REQUIRE(b.events.waitForUps(1));
    CHECK(a.events.ups[0].peer.process == b.options.self);
    CHECK(b.events.ups[0].peer.process == a.options.self);
    CHECK(b.events.ups[0].peer.host == a.options.host);

    constexpr std::size_t count = 2000;
    for (std::size_t i = 0; i < count; ++i)
        REQUIRE(a.links->sendTo(b.options.self.address, Locate {i, "offers"}).ok());
    REQUIRE(b.events.waitForMessages(count));
    for (std::size_t i = 0; i < count; ++i)
        REQUIRE(std::get<Locate>(b.events.messages[i].message).requestId == i);

    const LinkId back = b.events.messages[0].link;
    for (const Message &sample : sampleMessages()) {
        if (!std::holds_alternative<Hello>(sample))
            REQUIRE(b.links->sendOn(back, sample).ok());
    }
    REQUIRE(a.events.waitForMessages(sampleMessages().size() - 1));
    CHECK(std::get<Execute>(a.events.messages[0].message).sql == sampleExecute().sql);
    CHECK(a.events.messages[0].link == a.events.ups[0].link);
}

TEST_CASE("A process can link to itself")
{
    Process self(linkOptions(takeFreeAddress()));
    REQUIRE(self.links);
    self.links->connect(self.options.self.address);
    REQUIRE(self.events.waitForUps(2));
    REQUIRE(self.links->sendTo(self.options.self.address, ConfigNotice {3}).ok());
    REQUIRE(self.events.waitForMessages(1));
    CHECK(std::get<ConfigNotice>(self.events.messages[0].message).version == 3);
}

TEST_CASE("A link is reopened after the peer was replaced")
{
    Process a(linkOptions(takeFreeAddress()));
    const std::string address = takeFreeAddress();
    auto b = std::make_unique<Process>(linkOptions(address, 1));
    REQUIRE(b->links);
    a.links->connect(address);
    REQUIRE(a.events.waitForUps(1));
    b.reset();
    REQUIRE(a.events.waitForDowns(1));
    CHECK(a.events.downs[0].address == address);
    CHECK_FALSE(a.events.downs[0].reason.ok());
    CHECK(a.links->sendTo(address, Locate()).code() == absl::StatusCode::kUnavailable);
    CHECK(a.links->sendOn(a.events.ups[0].link, Locate()).code() == absl::StatusCode::kUnavailable);

    b = std::make_unique<Process>(linkOptions(address, 2));
    REQUIRE(b->links);
    REQUIRE(a.events.waitForUps(2));
    CHECK(a.events.ups[1].peer.process.incarnation == 2);
    CHECK(a.events.ups[1].link != a.events.ups[0].link);

    a.links->drop(address);
    REQUIRE(a.events.waitForDowns(2));
    CHECK(a.links->sendTo(address, Locate()).code() == absl::StatusCode::kUnavailable);
}

TEST_CASE("Both ends close a silent link and keep an idle one")
{
    PeerLinkOptions options = linkOptions(takeFreeAddress());
    options.silenceTimeout = std::chrono::milliseconds(2000);
    Process a(options);
    const std::string relayed = takeFreeAddress();
    options = linkOptions(takeFreeAddress());
    options.self.address = relayed;
    options.silenceTimeout = std::chrono::milliseconds(2000);
    Process b(options);
    Relay relay(relayed, options.listenAddress);
    a.links->connect(relayed);
    REQUIRE(a.events.waitForUps(1));
    REQUIRE(b.events.waitForUps(1));
    // No messages for longer than the timeout: pings keep the link open.
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    REQUIRE(a.links->sendTo(relayed, ConfigNotice {1}).ok());
    REQUIRE(b.events.waitForMessages(1));

    relay.setDropping(true);
    REQUIRE(a.events.waitForDowns(1));
    REQUIRE(b.events.waitForDowns(1));
    CHECK(a.events.downs[0].reason.code() == absl::StatusCode::kDeadlineExceeded);
    CHECK(b.events.downs[0].reason.code() == absl::StatusCode::kDeadlineExceeded);
    relay.setDropping(false);
    CHECK(a.events.waitForUps(2));
}

TEST_CASE("A timeout is not a persistent cause, unlike a wrong key")
{
    CHECK(isPersistent(absl::PermissionDeniedError("another key")));
    CHECK_FALSE(isPersistent(absl::DeadlineExceededError("nothing received in time")));
    CHECK_FALSE(isPersistent(absl::OkStatus()));
}

TEST_CASE("A silent link is replaced by a new one without a gap")
{
    Process a(linkOptions(takeFreeAddress()));
    const std::string relayed = takeFreeAddress();
    PeerLinkOptions options = linkOptions(takeFreeAddress());
    options.self.address = relayed;
    Process b(options);
    Relay relay(relayed, options.listenAddress);
    a.links->connect(relayed);
    REQUIRE(a.events.waitForUps(1));
    REQUIRE(b.events.waitForUps(1));
    relay.dropOpenConnections();
    REQUIRE(a.links->sendTo(relayed, ConfigNotice {1}).ok());
    // The second call has no effect.
    a.links->renew(relayed);
    a.links->renew(relayed);
    REQUIRE(a.events.waitForUps(2));
    CHECK(a.links->sendTo(relayed, ConfigNotice {2}).ok());
    REQUIRE(b.events.waitForMessages(1));
    CHECK(std::get<ConfigNotice>(b.events.messages[0].message).version == 2);
    REQUIRE(a.events.waitForDowns(1));
    CHECK(a.events.downs[0].link == a.events.ups[0].link);
    CHECK(a.links->sendTo(relayed, ConfigNotice {3}).ok());
    CHECK(b.events.waitForMessages(2));
    CHECK(a.events.ups.size() == 2);
}

namespace {

// Returns the time until a link opens whose peer drops everything for the first 300 ms.
std::chrono::steady_clock::duration timeToOpen(bool renewed)
{
    Process a(linkOptions(takeFreeAddress()));
    const std::string relayed = takeFreeAddress();
    PeerLinkOptions options = linkOptions(takeFreeAddress());
    options.self.address = relayed;
    Process b(options);
    Relay relay(relayed, options.listenAddress);
    relay.setDropping(true);
    const auto dialledAt = std::chrono::steady_clock::now();
    a.links->connect(relayed);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    relay.setDropping(false);
    if (renewed)
        a.links->renew(relayed);
    REQUIRE(a.events.waitForUps(1));
    return std::chrono::steady_clock::now() - dialledAt;
}

} // namespace

TEST_CASE("Renewing a link that hangs while it opens is faster than its timeout")
{
    const auto withoutRenewal = timeToOpen(false);
    const auto withRenewal = timeToOpen(true);
    CHECK(2 * withRenewal < withoutRenewal);
}

// The link may only have been slow, and carries answers that a replacement would lose.
TEST_CASE("A cancelled renewal leaves the link as it is")
{
    Process a(linkOptions(takeFreeAddress()));
    const std::string relayed = takeFreeAddress();
    PeerLinkOptions options = linkOptions(takeFreeAddress());
    options.self.address = relayed;
    Process b(options);
    Relay relay(relayed, options.listenAddress);
    a.links->connect(relayed);
    REQUIRE(a.events.waitForUps(1));
    REQUIRE(b.events.waitForUps(1));
    // The renewal can't open before it is cancelled.
    relay.setDropping(true);
    a.links->renew(relayed);
    a.links->cancelRenewal(relayed);
    relay.setDropping(false);
    REQUIRE(a.links->sendTo(relayed, ConfigNotice {1}).ok());
    REQUIRE(b.events.waitForMessages(1));
    CHECK(b.events.messages[0].link == b.events.ups[0].link);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK(a.events.ups.size() == 1);
    CHECK(a.events.downs.empty());
    // A later renewal works.
    a.links->renew(relayed);
    CHECK(a.events.waitForUps(2));
}

TEST_CASE("A renewal without an answer has no effect")
{
    Process a(linkOptions(takeFreeAddress()));
    {
        Process b(linkOptions(takeFreeAddress()));
        a.links->renew(b.options.self.address);
        a.links->connect(b.options.self.address);
        REQUIRE(a.events.waitForUps(1));
    }
    REQUIRE(a.events.waitForDowns(1));
    a.links->renew(a.events.downs[0].address);
    CHECK(a.events.ups.size() == 1);
}

TEST_CASE("A link with two users stays open until both have dropped it")
{
    Process a(linkOptions(takeFreeAddress()));
    Process b(linkOptions(takeFreeAddress()));
    const std::string address = b.options.self.address;
    a.links->connect(address);
    a.links->connect(address);
    REQUIRE(a.events.waitForUps(1));
    a.links->drop(address);
    REQUIRE(a.links->sendTo(address, ConfigNotice {1}).ok());
    REQUIRE(b.events.waitForMessages(1));
    CHECK(a.events.downs.empty());
    a.links->drop(address);
    CHECK(a.events.waitForDowns(1));
    CHECK(a.events.ups.size() == 1);
}

TEST_CASE("Messages sent before a shutdown arrive")
{
    Process b(linkOptions(takeFreeAddress()));
    constexpr std::size_t count = 500;
    {
        Process a(linkOptions(takeFreeAddress()));
        a.links->connect(b.options.self.address);
        REQUIRE(a.events.waitForUps(1));
        for (std::size_t i = 0; i < count; ++i)
            REQUIRE(a.links->sendTo(b.options.self.address, sampleResult()).ok());
    }
    CHECK(b.events.waitForMessages(count));
    CHECK(b.events.waitForDowns(1));
}

// A link that could not be closed within the flush time was never freed: its peer waited for the
// silence timeout.
TEST_CASE("Destroying the links closes all of them, whatever their peers do")
{
    const std::size_t before = countDescriptors();
    {
        // A peer that accepts and never answers the upgrade.
        boost::asio::io_context context;
        const std::string muteAddress = takeFreeAddress();
        tcp::acceptor mute(context, endpointOf(muteAddress));
        // A peer that stops answering once the link is up.
        DutyThread stoppedThread("stopped");
        PeerLinkOptions options = linkOptions(takeFreeAddress());
        options.thread = &stoppedThread;
        Process stopped(options);
        stoppedThread.start();

        Process process(linkOptions(takeFreeAddress()));
        process.links->connect(muteAddress);
        process.links->connect(options.listenAddress);
        REQUIRE(process.events.waitForUps(1));
        tcp::socket opening = mute.accept();
        stoppedThread.stop();

        process.links.reset();
        expectEnd(std::move(opening));
    }
    CHECK(countDescriptors() == before);
}

TEST_CASE("A wrong key, version or process is refused and counted")
{
    Metrics metrics;
    PeerLinkOptions acceptor = linkOptions(takeFreeAddress());
    acceptor.metrics = &metrics;
    PeerLinkOptions connector = linkOptions(takeFreeAddress());
    Metrics connectorMetrics;
    connector.metrics = &connectorMetrics;

    SECTION("key")
    {
        connector.peerKey = "another";
        Process a(connector);
        Process b(acceptor);
        a.links->connect(acceptor.self.address);
        CHECK(refused(connectorMetrics, "key"));
        CHECK(a.events.ups.empty());
        CHECK(b.events.ups.empty());
    }
    SECTION("version")
    {
        connector.newestVersion = protocolVersion + 2;
        connector.oldestVersion = protocolVersion + 1;
        Process a(connector);
        Process b(acceptor);
        a.links->connect(acceptor.self.address);
        CHECK(refused(metrics, "version"));
        CHECK(a.events.ups.empty());
        CHECK(b.events.ups.empty());
    }
    SECTION("process")
    {
        acceptor.self.address = "127.0.0.1:1";
        Process a(connector);
        Process b(acceptor);
        a.links->connect(acceptor.listenAddress);
        CHECK(refused(connectorMetrics, "address"));
        CHECK(a.events.ups.empty());
    }
}

TEST_CASE("An unauthenticated end can't send messages or large frames, or stay connected")
{
    Metrics metrics;
    PeerLinkOptions options = linkOptions(takeFreeAddress());
    options.metrics = &metrics;
    options.handshakeTimeout = std::chrono::milliseconds(300);
    Process process(options);
    REQUIRE(process.links);
    RawClient client(options.listenAddress);

    SECTION("a message before Hello")
    {
        client.upgrade();
        const std::string bytes = encode(ConfigNotice {1}).value();
        client.send(frameHead(bytes.size()) + bytes);
        CHECK(client.readAll().find("a message before Hello") != std::string::npos);
        CHECK(refused(metrics, "malformed"));
    }
    SECTION("an invalid proof")
    {
        client.upgrade();
        Hello hello;
        hello.nonce = std::string(32, '0');
        std::string bytes = encode(hello).value();
        client.send(frameHead(bytes.size()) + bytes);
        hello.proof = std::string(64, '0');
        bytes = encode(hello).value();
        client.send(frameHead(bytes.size()) + bytes);
        CHECK(client.readAll().find("another peer key") != std::string::npos);
        CHECK(refused(metrics, "key"));
    }
    SECTION("a frame that claims to be large")
    {
        client.upgrade();
        client.send(frameHead(std::uint64_t(1) << 40));
        // Close code 1009, too big.
        CHECK(client.readAll().find("\x03\xf1") != std::string::npos);
    }
    SECTION("silence")
    {
        client.upgrade();
        client.readAll();
        CHECK(refused(metrics, "timeout"));
    }
    SECTION("something that is not HTTP")
    {
        client.send("\x16\x03\x01 what is this\r\n\r\n");
        client.readAll();
    }
    CHECK(process.events.ups.empty());
    CHECK(process.events.messages.empty());
}

TEST_CASE("A message over the limit is refused by its sender, and the link stays open")
{
    Process a(linkOptions(takeFreeAddress()));
    Process b(linkOptions(takeFreeAddress()));
    a.links->connect(b.options.self.address);
    REQUIRE(a.events.waitForUps(1));
    ConfigAnswer large {1, 1, std::string(maxFrameBytes, 'x')};
    CHECK(a.links->sendTo(b.options.self.address, large).code() == absl::StatusCode::kOutOfRange);
    large.document.resize(maxFrameBytes - 64);
    CHECK(a.links->sendTo(b.options.self.address, large).ok());
    REQUIRE(b.events.waitForMessages(1));
    CHECK(std::get<ConfigAnswer>(b.events.messages[0].message).document == large.document);
}

TEST_CASE("A full send buffer refuses messages until it has drained")
{
    PeerLinkOptions small = linkOptions(takeFreeAddress());
    small.sendBufferBytes = 100;
    Process a(small);
    Process b(linkOptions(takeFreeAddress()));
    a.links->connect(b.options.self.address);
    REQUIRE(a.events.waitForUps(1));
    const Locate large {1, std::string(120, 'g')};
    CHECK(a.links->sendTo(b.options.self.address, large).code()
          == absl::StatusCode::kResourceExhausted);
    CHECK(becomesTrue([&] {
        return a.links->sendTo(b.options.self.address, Locate {1, "g"}).ok();
    }));
    CHECK(b.events.waitForMessages(1));
}

TEST_CASE("Links need a key and a free address")
{
    RecordedEvents events;
    PeerLinkOptions options = linkOptions(takeFreeAddress());
    options.peerKey.clear();
    CHECK(makePeerLinks(options, events).status().code() == absl::StatusCode::kInvalidArgument);
    options = linkOptions("not an address");
    CHECK(makePeerLinks(options, events).status().code() == absl::StatusCode::kInvalidArgument);
    Process first(linkOptions(takeFreeAddress()));
    REQUIRE(first.links);
    CHECK_FALSE(makePeerLinks(first.options, events).ok());
}

// A failed accept was repeated at once, so that the links' thread took a whole processor.
TEST_CASE("A process without free descriptors waits before it accepts a link again")
{
    Process a(linkOptions(takeFreeAddress()));
    const std::string &address = a.options.self.address;
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    const auto ip = boost::asio::ip::make_address(address.substr(0, address.find(':')));
    boost::asio::io_context context;
    tcp::socket socket(context, tcp::v4());
    rlimit before {};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
    const int firstFree = ::dup(socket.native_handle());
    REQUIRE(::close(firstFree) == 0);
    rlimit none = before;
    none.rlim_cur = static_cast<rlim_t>(firstFree);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
    boost::system::error_code error;
    socket.connect({ip, port}, error);
    const std::clock_t cpuBefore = std::clock();
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const double cpuSeconds = double(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &before) == 0);
    REQUIRE(!error);
    CHECK(cpuSeconds < 0.1);
    // Links are accepted again.
    Process b(linkOptions(takeFreeAddress()));
    b.links->connect(address);
    CHECK(b.events.waitForUps(1));
}
