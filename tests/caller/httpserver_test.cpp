#include "caller/httpserver.h"

#include "caller/httpclient.h"
#include "caller/problem.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <map>
#include <mutex>

using namespace kelptally;
using namespace kelptally::caller;

namespace {

// Echoes path, query, idempotency key and body; "/hold" waits until release(), "/drop" drops its
// reply, "/break" returns a header value with a line break.
class EchoHandler : public HttpHandler
{
public:
    void onRequest(HttpRequest request, HttpReplyPtr reply) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (request.path == "/hold")
            held_.push_back(reply);
        else if (request.path != "/drop")
            reply->send(echo(request));
        ++requests_;
        changed_.notify_all();
    }

    void onCallerDisconnected(ConnectionId) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++gone_;
        changed_.notify_all();
    }

    bool waitForRequests(int count) { return waitFor(requests_, count); }
    bool waitForGone(int count) { return waitFor(gone_, count); }

    void release()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const HttpReplyPtr &reply : held_) {
            reply->send({200, "text/plain", {}, "held"});
            reply->send({200, "text/plain", {}, "second answer"});
        }
        held_.clear();
    }

private:
    static HttpResponse echo(const HttpRequest &request)
    {
        HttpResponse response;
        response.contentType = "text/plain";
        const bool breaks = request.path == "/break";
        response.headers.push_back(
            {"Kelptally-Session", breaks ? "a\r\nInjected: 1" : request.sessionToken});
        response.body =
            request.path + " " + request.query + " " + request.idempotencyKey + " " + request.body;
        return response;
    }

    bool waitFor(const int &value, int count)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(60), [&] { return value >= count; });
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<HttpReplyPtr> held_;
    int requests_ = 0;
    int gone_ = 0;
};

struct Fixture
{
    explicit Fixture(HttpLimits limits = {}, const HttpTls &tls = {})
        : server(thread, handler, limits, [this](Reason reason) {
              const std::lock_guard<std::mutex> lock(mutex);
              ++refused[reason];
          })
    {
        REQUIRE(server.listen("127.0.0.1", 0, tls).ok());
        thread.start();
    }

    ~Fixture() { thread.stop(); }

    int count(Reason reason)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return refused[reason];
    }

    // Checks the response of a refusal, the close and the count.
    void requireRefused(RawClient &client, Reason reason)
    {
        const RawAnswer answer = client.receive();
        CHECK(answer.status == reasonInfo(reason).httpStatus);
        CHECK(answer.body.find("\"reason\":\"" + std::string(reasonInfo(reason).name) + "\"")
              != std::string::npos);
        CHECK(answer.body.find("\"executed\":\"no\"") != std::string::npos);
        CHECK(client.atEnd());
        CHECK(count(reason) == 1);
    }

    std::mutex mutex;
    std::map<Reason, int> refused;
    EchoHandler handler;
    DutyThread thread {"http-test"};
    HttpServer server;
};

HttpLimits shortReads()
{
    HttpLimits limits;
    limits.readTimeout = std::chrono::milliseconds(200);
    return limits;
}

} // namespace

TEST_CASE("Requests of a persistent connection are answered in order, also pipelined ones")
{
    Fixture fixture;
    RawClient client(fixture.server.port());
    client.post("/a?x=1", "one", "Idempotency-Key: k1\r\nKelptally-Session: t\r\n");
    client.post("/b", "two");
    client.send("GET http://test/c HTTP/1.1\r\nHost: test\r\n\r\n");
    const RawAnswer first = client.receive();
    CHECK(first.body == "/a x=1 k1 one");
    CHECK(first.head.find("Kelptally-Session: t\r\n") != std::string::npos);
    CHECK(client.receive().body == "/b   two");
    CHECK(client.receive().body == "/c   ");
}

TEST_CASE("A chunked request that arrives byte by byte is read")
{
    Fixture fixture;
    RawClient client(fixture.server.port());
    const std::string request = "POST /x HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    for (const char c : request)
        client.send({&c, 1});
    CHECK(client.receive().body == "/x   abcdefg");
}

TEST_CASE("Connection: close and HTTP/1.0 end the connection after the answer")
{
    Fixture fixture;
    for (const char *request :
         {"GET /x HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n", "GET /x HTTP/1.0\r\n\r\n"}) {
        RawClient client(fixture.server.port());
        client.send(request);
        CHECK(client.receive().status == 200);
        CHECK(client.atEnd());
    }
}

TEST_CASE("Expect: 100-continue is answered with 100 Continue")
{
    Fixture fixture;
    RawClient client(fixture.server.port());
    client.send("POST /x HTTP/1.1\r\nHost: t\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK(client.receive().status == 100);
    client.send("ab");
    CHECK(client.receive().body == "/x   ab");
}

TEST_CASE("Line breaks in a header value can't inject a header")
{
    Fixture fixture;
    RawClient client(fixture.server.port());
    client.post("/break", "");
    const RawAnswer answer = client.receive();
    CHECK(answer.head.find("Kelptally-Session: a  Injected: 1\r\n") != std::string::npos);
}

TEST_CASE("Malformed requests are refused")
{
    const char *request = GENERATE(
        "nonsense\r\n\r\n", "GET /x\r\n\r\n", "GET /x HTTP/1.1\r\n\r\n",
        "GET x HTTP/1.1\r\nHost: t\r\n\r\n", "GET /x HTTP/1.1\r\nHost: t\r\nBad Header: 1\r\n\r\n",
        "GET /x HTTP/1.1\r\nHost: t\r\nHost: u\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: -1\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "POST /x HTTP/1.1\r\nHost: t\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n");
    CAPTURE(request);
    Fixture fixture;
    RawClient client(fixture.server.port());
    client.send(request);
    fixture.requireRefused(client, Reason::MalformedRequest);
}

TEST_CASE("A body or header over the limit is refused")
{
    HttpLimits limits;
    limits.maxBodyBytes = 1000;
    Fixture fixture(limits);
    RawClient client(fixture.server.port());
    SECTION("body with Content-Length")
    {
        client.send("POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: 1001\r\n\r\n");
        fixture.requireRefused(client, Reason::RequestTooLarge);
    }
    SECTION("chunked body")
    {
        client.send("POST /x HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n"
                    + std::string(1001, 'x'));
        fixture.requireRefused(client, Reason::RequestTooLarge);
    }
    SECTION("header without an end")
    {
        client.send("GET /x HTTP/1.1\r\nHost: t\r\nX: " + std::string(9000, 'x'));
        fixture.requireRefused(client, Reason::RequestTooLarge);
    }
}

TEST_CASE("A request that is incomplete at its timeout is refused as too slow")
{
    Fixture fixture(shortReads());
    RawClient client(fixture.server.port());
    client.send("POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: 10\r\n\r\nab");
    fixture.requireRefused(client, Reason::RequestTooSlow);
}

TEST_CASE("A request that ends early is refused as truncated")
{
    Fixture fixture;
    RawClient client(fixture.server.port());
    client.send("POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: 10\r\n\r\nab");
    client.endSending();
    fixture.requireRefused(client, Reason::RequestTruncated);
}

TEST_CASE("Connections over the limit are refused")
{
    HttpLimits limits;
    limits.maxConnections = 1;
    Fixture fixture(limits);
    RawClient first(fixture.server.port());
    first.post("/x", "");
    CHECK(first.receive().status == 200);
    RawClient second(fixture.server.port());
    fixture.requireRefused(second, Reason::ConnectionLimit);
    first.post("/x", "");
    CHECK(first.receive().status == 200);
}

TEST_CASE("A reply may be sent from another thread, and only the first one counts")
{
    Fixture fixture;
    RawClient client(fixture.server.port());
    client.post("/hold", "");
    REQUIRE(fixture.handler.waitForRequests(1));
    fixture.handler.release();
    CHECK(client.receive().body == "held");
    client.post("/x", "");
    CHECK(client.receive().body == "/x   ");
}

TEST_CASE("A reply that is destroyed without an answer sends an internal error")
{
    Fixture fixture;
    RawClient client(fixture.server.port());
    client.post("/drop", "");
    const RawAnswer answer = client.receive();
    CHECK(answer.status == 500);
    CHECK(answer.body.find("\"reason\":\"internal\"") != std::string::npos);
    CHECK(answer.body.find("\"executed\":\"unknown\"") != std::string::npos);
}

TEST_CASE("The handler is notified when a caller disconnects during its request")
{
    Fixture fixture;
    RawClient client(fixture.server.port());
    client.post("/hold", "");
    REQUIRE(fixture.handler.waitForRequests(1));
    client.close();
    CHECK(fixture.handler.waitForGone(1));
    fixture.handler.release();
}

TEST_CASE("A drain completes requests in progress and closes all connections")
{
    Fixture fixture;
    RawClient idle(fixture.server.port());
    idle.post("/x", "");
    CHECK(idle.receive().status == 200);
    RawClient busy(fixture.server.port());
    busy.post("/hold", "");
    REQUIRE(fixture.handler.waitForRequests(2));

    std::mutex mutex;
    std::condition_variable changed;
    bool done = false;
    fixture.server.drain([&] {
        const std::lock_guard<std::mutex> lock(mutex);
        done = true;
        changed.notify_all();
    });
    CHECK(idle.atEnd());
    fixture.handler.release();
    const RawAnswer answer = busy.receive();
    CHECK(answer.body == "held");
    CHECK(answer.head.find("Connection: close") != std::string::npos);
    CHECK(busy.atEnd());
    busy.close();
    std::unique_lock<std::mutex> lock(mutex);
    CHECK(changed.wait_for(lock, std::chrono::seconds(60), [&] { return done; }));
}

TEST_CASE("A draining server accepts connections during the grace period")
{
    HttpLimits limits;
    limits.drainGrace = std::chrono::minutes(5);
    Fixture fixture(limits);
    RawClient idle(fixture.server.port());
    idle.post("/x", "");
    CHECK(idle.receive().head.find("Connection: close") == std::string::npos);
    fixture.server.drain([] {});
    RawClient late(fixture.server.port());
    for (RawClient *client : {&idle, &late}) {
        client->post("/x", "");
        CHECK(client->receive().head.find("Connection: close") != std::string::npos);
        CHECK(client->atEnd());
    }
}

TEST_CASE("Listening fails with an invalid address or a missing certificate")
{
    EchoHandler handler;
    DutyThread thread("http-test");
    HttpServer server(thread, handler, {}, {});
    CHECK_FALSE(server.listen("300.0.0.1", 0).ok());
    const absl::Status status =
        server.listen("127.0.0.1", 0, {"/nowhere/cert.pem", "/nowhere/key"});
    CHECK_FALSE(status.ok());
    CHECK(std::string(status.message()).find("/nowhere/cert.pem") != std::string::npos);
}
