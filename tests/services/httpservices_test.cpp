#include "platformfixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace kelptally;
using namespace kelptally::services;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

// A server that answers the first request of each connection with fixed bytes and closes it.
class FixedServer
{
public:
    explicit FixedServer(std::string answer)
        : acceptor_(context_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          answer_(std::move(answer)), thread_([this] { run(); })
    { }

    ~FixedServer()
    {
        stopping_ = true;
        Tcp::socket wake(context_);
        wake.connect(acceptor_.local_endpoint());
        wake.close();
        thread_.join();
    }

    std::string address() const
    {
        return PlatformFixture::addressOf(acceptor_.local_endpoint().port());
    }

private:
    void run()
    {
        while (!stopping_) {
            Tcp::socket socket = acceptor_.accept();
            boost::system::error_code ignored;
            boost::asio::streambuf buffer;
            boost::asio::read_until(socket, buffer, "\r\n\r\n", ignored);
            boost::asio::write(socket, boost::asio::buffer(answer_), ignored);
        }
    }

    boost::asio::io_context context_;
    Tcp::acceptor acceptor_;
    const std::string answer_;
    std::atomic<bool> stopping_ {false};
    std::thread thread_;
};

// A server whose connections are silent after their first answer, while new ones work.
class SilentServer
{
public:
    explicit SilentServer(std::string answer)
        : acceptor_(context_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          answer_(std::move(answer)), thread_([this] { run(); })
    { }

    ~SilentServer()
    {
        stopping_ = true;
        Tcp::socket wake(context_);
        wake.connect(acceptor_.local_endpoint());
        wake.close();
        thread_.join();
    }

    std::string address() const
    {
        return PlatformFixture::addressOf(acceptor_.local_endpoint().port());
    }

    // The first line of the first request of each connection.
    std::vector<std::string> requests()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return requests_;
    }

private:
    void run()
    {
        while (!stopping_) {
            Tcp::socket socket = acceptor_.accept();
            boost::system::error_code ignored;
            boost::asio::streambuf buffer;
            boost::asio::read_until(socket, buffer, "\r\n\r\n", ignored);
            addRequest(buffer);
            boost::asio::write(socket, boost::asio::buffer(answer_), ignored);
            silent_.push_back(std::move(socket));
        }
    }

    void addRequest(boost::asio::streambuf &buffer)
    {
        std::istream stream(&buffer);
        std::string line;
        std::getline(stream, line);
        const std::lock_guard<std::mutex> lock(mutex_);
        requests_.push_back(line);
    }

    boost::asio::io_context context_;
    Tcp::acceptor acceptor_;
    const std::string answer_;
    std::atomic<bool> stopping_ {false};
    std::vector<Tcp::socket> silent_;
    std::mutex mutex_;
    std::vector<std::string> requests_;
    std::thread thread_;
};

// A server that never answers its first connections. The later ones work.
class RecoveringServer
{
public:
    RecoveringServer(std::size_t silentConnections, std::string answer)
        : acceptor_(context_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          silentConnections_(silentConnections), answer_(std::move(answer)),
          thread_([this] { run(); })
    { }

    ~RecoveringServer()
    {
        stopping_ = true;
        Tcp::socket wake(context_);
        wake.connect(acceptor_.local_endpoint());
        wake.close();
        thread_.join();
    }

    std::string address() const
    {
        return PlatformFixture::addressOf(acceptor_.local_endpoint().port());
    }

private:
    void run()
    {
        while (!stopping_) {
            Tcp::socket socket = acceptor_.accept();
            if (silent_.size() < silentConnections_) {
                silent_.push_back(std::move(socket));
                continue;
            }
            boost::system::error_code ignored;
            boost::asio::streambuf buffer;
            boost::asio::read_until(socket, buffer, "\r\n\r\n", ignored);
            boost::asio::write(socket, boost::asio::buffer(answer_), ignored);
        }
    }

    boost::asio::io_context context_;
    Tcp::acceptor acceptor_;
    const std::size_t silentConnections_;
    const std::string answer_;
    std::atomic<bool> stopping_ {false};
    std::vector<Tcp::socket> silent_;
    std::thread thread_;
};

std::string httpAnswer(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status
        + "\r\nETag: \"x\"\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Points the fixture's table service at another server.
void redirect(PlatformFixture &fixture, const std::string &address, Duration timeout = 30s)
{
    fixture.wait<bool>([&](const std::function<void(bool)> &done) {
        fixture.tables = makeTableService(fixture.thread, address, timeout);
        done(true);
    });
}

} // namespace

TEST_CASE("conditional writes of several rows are atomic")
{
    PlatformFixture fixture;
    CHECK(fixture.read("ownership", "g")->has_value() == false);
    const auto tags = fixture.write({{"ownership", "g", "one", {}}, {"config", "n/ ä%", "x", {}}});
    REQUIRE(tags.ok());
    REQUIRE(tags->size() == 2);
    const auto row = fixture.read("ownership", "g");
    REQUIRE(row.ok());
    CHECK((*row)->key == "g");
    CHECK((*row)->value == "one");
    CHECK((*row)->etag == (*tags)[0]);
    CHECK((*fixture.read("config", "n/ ä%"))->value == "x");

    const auto repeated =
        fixture.write({{"ownership", "h", "new", {}}, {"ownership", "g", "", {}}});
    CHECK(absl::IsFailedPrecondition(repeated.status()));
    CHECK(fixture.read("ownership", "h")->has_value() == false);
    CHECK(absl::IsFailedPrecondition(fixture.write({{"ownership", "g", "", "old"}}).status()));
    CHECK(fixture.write({{"ownership", "g", "two", (*tags)[0]}}).ok());
    CHECK(absl::IsFailedPrecondition(fixture.write({{"ownership", "g", "", (*tags)[0]}}).status()));
    CHECK((*fixture.read("ownership", "g"))->value == "two");
}

TEST_CASE("rows are listed by prefix")
{
    PlatformFixture fixture;
    REQUIRE(fixture.write({{"t", "a1", "1", {}}, {"t", "a2", "2", {}}, {"t", "b", "3", {}}}).ok());
    const auto rows = fixture.wait<absl::StatusOr<std::vector<TableRow>>>(
        [&](RowsCallback done) { fixture.tables->list("t", "a", std::move(done)); });
    REQUIRE(rows.ok());
    REQUIRE(rows->size() == 2);
    CHECK((*rows)[1].key == "a2");
    CHECK((*rows)[1].value == "2");
    CHECK((*rows)[1].etag == (*fixture.read("t", "a2"))->etag);
}

TEST_CASE("a lost answer to a write is Unknown, and reading back shows the row")
{
    PlatformFixture fixture;
    fixture.setFaults(R"({"service":"tables","loseAnswers":1})");
    CHECK(absl::IsUnknown(fixture.write({{"t", "k", "v", {}}}).status()));
    CHECK((*fixture.read("t", "k"))->value == "v");
    CHECK(fixture.write({{"t", "k2", "v", {}}}).ok());
}

TEST_CASE("a write on a reset connection is Unknown and not retried, unlike a read")
{
    PlatformFixture fixture;
    REQUIRE(fixture.write({{"t", "warm", "v", {}}}).ok());
    fixture.setFaults(R"({"service":"tables","outage":"reset"})");
    CHECK(absl::IsUnknown(fixture.write({{"t", "k", "v", {}}}).status()));
    CHECK_FALSE(fixture.read("t", "k").ok());
    fixture.setFaults(R"({"service":"tables","outage":"none"})");
    CHECK(fixture.read("t", "k")->has_value() == false);
    // The first write and the one that was reset, each sent once.
    CHECK_THAT(fixture.request(HttpMethod::Get, "/counters").body,
               Catch::Contains(R"("tables":{"reads":2,"writes":2})"));
}

TEST_CASE("a read on a connection that the server has closed is retried once")
{
    PlatformFixture fixture;
    REQUIRE(fixture.read("t", "k").ok());
    fixture.setFaults(R"({"service":"tables","outage":"reset"})");
    CHECK_FALSE(fixture.read("t", "k").ok());
    CHECK_THAT(fixture.request(HttpMethod::Get, "/counters").body,
               Catch::Contains(R"("tables":{"reads":3,"writes":0})"));
}

TEST_CASE("a refused write is Unknown and a refused read Unavailable")
{
    PlatformFixture fixture;
    fixture.setFaults(R"({"outage":"refuse"})");
    CHECK(absl::IsUnknown(fixture.write({{"t", "k", "v", {}}}).status()));
    CHECK(absl::IsUnavailable(fixture.read("t", "k").status()));
    CHECK(absl::IsUnavailable(fixture.getObject("o").status()));
    CHECK(absl::IsUnknown(fixture.putObject({"", "o", "v", {}}).status()));
    CHECK(absl::IsUnavailable(fixture.listHosts().status()));
}

TEST_CASE("a slow write exceeds the deadline and may still take effect")
{
    PlatformFixture fixture(1s);
    fixture.setFaults(R"({"service":"tables","slowMs":3000})");
    CHECK(absl::IsDeadlineExceeded(fixture.write({{"t", "k", "v", {}}}).status()));
    fixture.setFaults(R"({"service":"tables","slowMs":0})");
    // The row is absent until the slow write is done. Reads may time out on a busy machine.
    absl::StatusOr<std::optional<TableRow>> row;
    do {
        row = fixture.read("t", "k");
    } while (!row.ok() || !row->has_value());
    CHECK((*row)->value == "v");
}

TEST_CASE("a write that was not sent is Unavailable")
{
    PlatformFixture fixture;
    std::string closedAddress;
    {
        boost::asio::io_context context;
        const Tcp::acceptor closed(context,
                                   Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        closedAddress = PlatformFixture::addressOf(closed.local_endpoint().port());
    }
    redirect(fixture, closedAddress);
    CHECK(absl::IsUnavailable(fixture.write({{"t", "k", "v", {}}}).status()));
    redirect(fixture, "nonsense");
    CHECK(absl::IsUnavailable(fixture.write({{"t", "k", "v", {}}}).status()));
}

TEST_CASE("text that is not UTF-8 is refused before it is sent")
{
    PlatformFixture fixture;
    CHECK(absl::IsInvalidArgument(fixture.write({{"t", "k", "\xff", {}}}).status()));
    CHECK_THAT(fixture.request(HttpMethod::Get, "/counters").body,
               Catch::Contains(R"("tables":{"reads":0,"writes":0})"));
}

TEST_CASE("calls beyond the limit of the queue fail at once")
{
    PlatformFixture fixture;
    fixture.setFaults(R"({"service":"tables","slowMs":600000})");
    // As text: absl::Status counts references in code without thread sanitizer instrumentation.
    std::promise<std::string> refused;
    std::atomic<bool> isPromiseSet {false};
    boost::asio::post(fixture.thread.context(), [&] {
        for (int i = 0; i < 300; ++i)
            fixture.tables->read("t", "k", [&](absl::StatusOr<std::optional<TableRow>> row) {
                if (!isPromiseSet.exchange(true))
                    refused.set_value(row.status().ToString());
            });
    });
    const std::string status = refused.get_future().get();
    CHECK_THAT(status, Catch::StartsWith("UNAVAILABLE: "));
    CHECK_THAT(status, Catch::Contains("too many calls"));
}

TEST_CASE("a malformed answer is an error, and leaves a write Unknown")
{
    const std::string answers[] = {
        httpAnswer("200 OK", ""),
        httpAnswer("200 OK", "[]"),
        httpAnswer("200 OK", R"({"key":"k","value":5,"etags":[5]})"),
        httpAnswer("200 OK", R"({"key":"k","etags":["a","b"]})"),
        httpAnswer("302 Found", "{}"),
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"key\":",
        "garbage\r\n\r\n",
        "",
    };
    PlatformFixture fixture;
    for (const std::string &answer : answers) {
        INFO(answer);
        FixedServer server(answer);
        redirect(fixture, server.address());
        CHECK_FALSE(fixture.read("t", "k").ok());
        CHECK(absl::IsUnknown(fixture.write({{"t", "k", "v", {}}}).status()));
    }
}

TEST_CASE("a write refused as invalid is InvalidArgument")
{
    PlatformFixture fixture;
    FixedServer server(httpAnswer("413 Payload Too Large", "{}"));
    redirect(fixture, server.address());
    CHECK(absl::IsInvalidArgument(fixture.write({{"t", "k", "v", {}}}).status()));
}

TEST_CASE("objects are written under their conditions")
{
    PlatformFixture fixture;
    CHECK(fixture.getObject("snapshot")->has_value() == false);
    const std::string bytes("any\0bytes\xff", 10);
    const auto tag = fixture.putObject({"", "snapshot", bytes, {}});
    REQUIRE(tag.ok());
    CHECK((*fixture.getObject("snapshot"))->value == bytes);
    CHECK((*fixture.getObject("snapshot"))->etag == (*tag)[0]);
    CHECK(absl::IsFailedPrecondition(fixture.putObject({"", "snapshot", "x", {}}).status()));
    CHECK(absl::IsFailedPrecondition(fixture.putObject({"", "snapshot", "x", "old"}).status()));
    CHECK(fixture.putObject({"", "snapshot", "x", (*tag)[0]}).ok());
    CHECK((*fixture.getObject("snapshot"))->value == "x");
}

TEST_CASE("the list of hosts shows a change after its delay")
{
    PlatformFixture fixture;
    const std::string one =
        R"({"hosts":[{"name":"h1","address":"127.0.0.1","zone":"a","state":"live"}]})";
    CHECK(fixture.listHosts()->empty());
    CHECK(fixture.request(HttpMethod::Put, "/hosts", one).status == 200);
    auto hosts = fixture.listHosts();
    REQUIRE(hosts.ok());
    REQUIRE(hosts->size() == 1);
    CHECK((*hosts)[0].name == "h1");
    CHECK((*hosts)[0].state == HostState::Live);

    fixture.setFaults(R"({"hostLagMs":3600000})");
    CHECK(fixture.request(HttpMethod::Put, "/hosts", R"({"hosts":[]})").status == 200);
    CHECK(fixture.listHosts()->size() == 1);
    CHECK(fixture.request(HttpMethod::Put, "/hosts", R"({"hosts":5})").status == 400);
}

TEST_CASE("a read on a silent connection is retried on a new one")
{
    SilentServer server(httpAnswer("404 Not Found", "{}"));
    PlatformFixture fixture;
    redirect(fixture, server.address(), 3s);
    REQUIRE(fixture.read("t", "k").ok());
    CHECK(fixture.read("t", "k").ok());
}

TEST_CASE("a write uses a connection that answered recently, or a new one")
{
    SilentServer server(httpAnswer("200 OK", R"({"etags":["1"]})"));
    PlatformFixture fixture;
    redirect(fixture, server.address(), 3s);
    REQUIRE(fixture.write({{"t", "k", "v", {}}}).ok());
    std::this_thread::sleep_for(1100ms);
    CHECK(fixture.write({{"t", "k", "v", {}}}).ok());
}

// The timeout is below the time after which a read on a silent connection is sent again.
TEST_CASE("A read uses a connection that answered recently, or a new one")
{
    SilentServer server(httpAnswer("404 Not Found", "{}"));
    PlatformFixture fixture;
    redirect(fixture, server.address(), 400ms);
    REQUIRE(fixture.read("t", "k").ok());
    std::this_thread::sleep_for(1100ms);
    CHECK(fixture.read("t", "k").ok());
    CHECK(server.requests().size() == 2);
}

TEST_CASE("A long poll on a silent connection is sent again without a wait")
{
    SilentServer server(httpAnswer("200 OK", "{}"));
    PlatformFixture fixture;
    HttpClient client(fixture.thread, server.address(), 3s);
    const auto send = [&](const HttpRequest &request) {
        return fixture.wait<absl::StatusOr<HttpResponse>>(
            [&](HttpCallback done) { client.send(request, std::move(done)); });
    };
    HttpRequest poll;
    poll.target = "/feed?wait=200";
    poll.repeatTarget = "/feed?wait=0";
    poll.longPollTime = 200ms;
    REQUIRE(send(poll).ok());
    CHECK(send(poll).ok());
    CHECK(server.requests()
          == std::vector<std::string> {"GET /feed?wait=200 HTTP/1.1\r",
                                       "GET /feed?wait=0 HTTP/1.1\r"});
    fixture.thread.stop();
}

// Trial calls to a silent service are given up after 250 ms, but kept their connections for the
// client's whole timeout. Once all were taken, a trial after the recovery was not even sent.
TEST_CASE("A read is sent although earlier ones hold all connections without an answer")
{
    constexpr std::size_t silentCalls = 4;
    constexpr Duration timeout = 4s;
    constexpr Duration bound = 1s;
    RecoveringServer server(silentCalls, httpAnswer("404 Not Found", "{}"));
    PlatformFixture fixture;
    redirect(fixture, server.address(), timeout);
    std::atomic<std::size_t> ended {0};
    fixture.wait<bool>([&](const std::function<void(bool)> &done) {
        for (std::size_t i = 0; i < silentCalls; ++i)
            fixture.tables->read("t", "k", [&ended](const auto &) { ++ended; });
        done(true);
    });
    const Instant sent = BootClock::now();
    CHECK(fixture.read("t", "k").ok());
    CHECK(BootClock::now() - sent < bound);
    CHECK(ended == 0);
    fixture.thread.stop();
}
