#include "core/manualtimerservice.h"
#include "services/httpclient.h"
#include "services/storecircuitbreaker.h"

#include <catch2/catch.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace kelptally;
using namespace kelptally::services;
using namespace std::chrono_literals;

namespace {

// A service behind a slow link, over which large answers arrive in pieces.
struct SlowLinkStore : public TableService, public TableFeed
{
    static constexpr std::size_t pieceBytes = 16u << 10;
    static constexpr std::size_t bytesPerSecond = 1'250'000;

    explicit SlowLinkStore(TimerService &theTimers) : timers(theTimers) { }

    // What arrives while the service is unreachable is lost, with the rest of the answer.
    template <typename Result>
    void answer(Result result, std::size_t bytes, const AnswerCallback<Result> &callback)
    {
        ++calls;
        const int id = ++lastCall;
        open[id] = [callback] { callback(absl::DeadlineExceededError("aborted")); };
        if (!reachable)
            return;
        timers.subscribeAfter(
            4ms, [this, id, result, bytes, callback] { receive(id, result, 0, bytes, callback); });
    }
    template <typename Result>
    void receive(int id, Result result, std::size_t received, std::size_t bytes,
                 const AnswerCallback<Result> &callback)
    {
        if (!reachable || open.count(id) == 0)
            return;
        if (received >= bytes) {
            open.erase(id);
            return callback(std::move(result));
        }
        if (received != 0 && !callback.reportProgress({received, bytes})) {
            open.erase(id);
            return callback(absl::CancelledError("the rest of the answer was refused"));
        }
        const std::size_t next = std::min(pieceBytes, bytes - received);
        timers.subscribeAfter(std::chrono::nanoseconds(1'000'000'000 * next / bytesPerSecond),
                              [this, id, result, received = received + next, bytes, callback] {
                                  receive(id, result, received, bytes, callback);
                              });
    }
    void abortOpenCalls()
    {
        std::map<int, std::function<void()>> ended;
        ended.swap(open);
        for (const auto &[id, end] : ended)
            end();
    }

    void read(const std::string &, const std::string &key, RowCallback callback) override
    {
        answer<std::optional<TableRow>>(TableRow {key, "v", "1"}, 100, callback);
    }
    void list(const std::string &, const std::string &, RowsCallback) override { }
    void write(std::vector<ConditionalWrite>, WriteCallback) override { }
    void snapshot(const std::string &, SnapshotCallback) override { }
    void changes(const std::string &, std::uint64_t after, Duration,
                 ChangesCallback callback) override
    {
        TableChanges changes;
        changes.next = after + 1;
        answer<TableChanges>(changes, changesBytes, callback);
    }

    TimerService &timers;
    bool reachable = true;
    std::size_t changesBytes = 1'600'000;
    int calls = 0;
    int lastCall = 0;
    std::map<int, std::function<void()>> open;
};

struct Fixture
{
    ManualTimerService timers;
    EventLog log {[] {
        EventLogOptions options;
        options.level = LogLevel::Error;
        return options;
    }()};
    Metrics metrics;
    SlowLinkStore store {timers};
    StoreCircuitBreaker breaker {{timers, store, store, log, metrics, 2s,
                                  [this](std::function<void(bool)> callback) {
                                      timers.subscribeAfter(
                                          store.reachable ? 2ms : 150ms,
                                          [this, callback] { callback(store.reachable); });
                                  },
                                  [this] { store.abortOpenCalls(); }, [] { return 0.5; }}};

    std::shared_ptr<bool> requestChanges()
    {
        const auto answered = std::make_shared<bool>(false);
        breaker.changes("t", 1, Duration(0),
                        [answered](const auto &changes) { *answered = changes.ok(); });
        return answered;
    }
    std::shared_ptr<bool> read()
    {
        const auto answered = std::make_shared<bool>(false);
        breaker.read("u", "k", [answered](const auto &row) { *answered = row.ok(); });
        return answered;
    }
    int losses()
    {
        const std::string text = metrics.toText();
        const std::string name = "kelptally_store_losses_total{state=\"silent\"} ";
        const std::size_t at = text.find(name);
        return at == std::string::npos ? 0 : std::atoi(text.c_str() + at + name.size());
    }
};

// Time that the link needs for a large answer, and for detecting that the service is back.
constexpr Duration transferTime = 1280ms;
constexpr Duration recoveryTime = 500ms;

} // namespace

TEST_CASE_METHOD(Fixture, "A large answer that keeps arriving is not a lost service")
{
    const auto changes = requestChanges();
    timers.advance(transferTime + 100ms);
    CHECK(*changes);
    CHECK(store.calls == 1);
    CHECK(losses() == 0);
}

// Guards against trial calls that are given up while their answers arrive, again and again.
TEST_CASE_METHOD(Fixture, "A large answer arrives when the service is back after an outage")
{
    for (const Duration outage : std::vector<Duration> {1s, 3s, 5500ms, 12s}) {
        CAPTURE(toMilliseconds(outage));
        store.reachable = false;
        const auto changes = requestChanges();
        timers.advance(outage);
        const int lossesBefore = losses();
        store.reachable = true;
        timers.advance(recoveryTime + transferTime);
        CHECK(*changes);
        CHECK(breaker.isAnswering());
        CHECK(losses() == lossesBefore);
        timers.advance(5s);
    }
}

TEST_CASE_METHOD(Fixture, "Other calls are answered while a large answer arrives after an outage")
{
    store.reachable = false;
    const auto changes = requestChanges();
    timers.advance(4s);
    store.reachable = true;
    const auto row = read();
    timers.advance(recoveryTime);
    CHECK(*row);
    CHECK(!*changes);
    timers.advance(transferTime);
    CHECK(*changes);
}

TEST_CASE_METHOD(Fixture, "An answer whose rest is refused ends the call, not the service")
{
    store.reachable = false;
    absl::Status status;
    breaker.changes("t", 1, Duration(0),
                    {[&status](const auto &changes) { status = changes.status(); },
                     [](const AnswerProgress &progress) { return progress.received == 0; }});
    timers.advance(2s);
    store.reachable = true;
    timers.advance(recoveryTime);
    CHECK(absl::IsCancelled(status));
    CHECK(breaker.isAnswering());
    CHECK(losses() == 1);
    CHECK(store.open.empty());
}

TEST_CASE_METHOD(Fixture, "An answer that stops arriving is requested again")
{
    const auto changes = requestChanges();
    timers.advance(600ms);
    store.reachable = false;
    timers.advance(1s);
    CHECK(!breaker.isAnswering());
    store.reachable = true;
    timers.advance(recoveryTime + transferTime);
    CHECK(*changes);
    CHECK(store.calls == 2);
}

namespace {

using Tcp = boost::asio::ip::tcp;

// A server that sends each answer in pieces, one every 100 ms, on one connection at a time.
class PiecewiseServer
{
public:
    explicit PiecewiseServer(std::vector<int> piecesByAnswer, std::string status = "200 OK")
        : acceptor_(context_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          piecesByAnswer_(std::move(piecesByAnswer)), status_(std::move(status)),
          thread_([this] { run(); })
    { }

    ~PiecewiseServer()
    {
        stopping_ = true;
        Tcp::socket wake(context_);
        wake.connect(acceptor_.local_endpoint());
        wake.close();
        thread_.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    int connections() const { return connections_; }

private:
    static constexpr char piece[] = "0123456789";
    static constexpr Duration pause {100ms};
    static constexpr int announcedPieces = 15;

    void run()
    {
        std::size_t answer = 0;
        while (!stopping_) {
            Tcp::socket socket = acceptor_.accept();
            ++connections_;
            boost::asio::streambuf buffer;
            boost::system::error_code error;
            // Ends when the client closes the connection.
            while (true) {
                const std::size_t length =
                    boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
                if (error)
                    break;
                buffer.consume(length);
                if (answer < piecesByAnswer_.size())
                    send(socket, piecesByAnswer_[answer++]);
            }
        }
    }

    // An answer with fewer pieces than announced stops in the middle.
    void send(Tcp::socket &socket, int pieces) const
    {
        boost::system::error_code ignored;
        const int announced = pieces == 1 ? 1 : announcedPieces;
        boost::asio::write(socket,
                           boost::asio::buffer("HTTP/1.1 " + status_ + "\r\nContent-Length: "
                                               + std::to_string(announced * 10) + "\r\n\r\n"),
                           ignored);
        boost::system::error_code error;
        for (int i = 0; i < pieces && !error; ++i) {
            boost::asio::write(socket, boost::asio::buffer(piece, 10), error);
            if (pieces > 1)
                std::this_thread::sleep_for(pause);
        }
    }

    boost::asio::io_context context_;
    Tcp::acceptor acceptor_;
    const std::vector<int> piecesByAnswer_;
    const std::string status_;
    std::atomic<int> connections_ {0};
    std::atomic<bool> stopping_ {false};
    std::thread thread_;
};

class ClientFixture
{
public:
    explicit ClientFixture(const std::string &address) : client_(thread_, address, timeout)
    {
        thread_.start();
    }
    ~ClientFixture() { thread_.stop(); }

    absl::StatusOr<HttpResponse> get(const ProgressCallback &onProgress = nullptr)
    {
        std::promise<absl::StatusOr<HttpResponse>> promise;
        boost::asio::post(thread_.context(), [this, &promise, &onProgress] {
            HttpRequest request;
            request.target = "/";
            const auto onResponse = [&promise](absl::StatusOr<HttpResponse> response) {
                promise.set_value(std::move(response));
            };
            client_.send(std::move(request), {onResponse, onProgress});
        });
        return promise.get_future().get();
    }

    // Far above the pause between two pieces, and below the time of a whole answer.
    static constexpr Duration timeout {700ms};

private:
    DutyThread thread_ {"client"};
    HttpClient client_;
};

} // namespace

TEST_CASE("An answer that takes longer than the client's timeout is received on one connection")
{
    PiecewiseServer server({1, 15});
    ClientFixture client(server.address());
    REQUIRE(client.get().ok());
    const auto response = client.get();
    REQUIRE(response.ok());
    CHECK(response->body.size() == 150);
    CHECK(server.connections() == 1);
}

TEST_CASE("An answer that stops in the middle fails after the client's timeout")
{
    PiecewiseServer server({3});
    ClientFixture client(server.address());
    const Instant before = BootClock::now();
    CHECK(absl::IsDeadlineExceeded(client.get().status()));
    CHECK(BootClock::now() - before < 2 * ClientFixture::timeout);
}

TEST_CASE("A client that refuses the rest of an answer closes its connection")
{
    PiecewiseServer server({15, 1});
    ClientFixture client(server.address());
    std::size_t bodySize = 0;
    const auto response = client.get([&bodySize](const AnswerProgress &progress) {
        bodySize = progress.bodySize;
        return bodySize == 0;
    });
    CHECK(absl::IsCancelled(response.status()));
    CHECK(bodySize == 150);
    CHECK(client.get().ok());
    CHECK(server.connections() == 2);
}

// Guards against a refusal that arrives in pieces and counts as a service that is back.
TEST_CASE("Part of a refusal is not reported as progress")
{
    PiecewiseServer server({15}, "503 Service Unavailable");
    ClientFixture client(server.address());
    bool reported = false;
    const auto response = client.get([&reported](const AnswerProgress &) {
        reported = true;
        return true;
    });
    REQUIRE(response.ok());
    CHECK(response->status == 503);
    CHECK(!reported);
}
