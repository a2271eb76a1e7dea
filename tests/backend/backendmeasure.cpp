#include "backend/connectionpool.h"
#include "backend/sqltraits.h"
#include "backend/writeflow.h"
#include "core/manualtimerservice.h"
#include "databasefixture.h"
#include "fakeserver.h"

#include <algorithm>
#include <cstdio>
#include <random>

// Prints the figures of docs/design/pools.md and docs/design/atmostonce.md. Not a test; run by
// hand.

using namespace kelptally;
using namespace kelptally::backend;
using namespace std::chrono_literals;

namespace {

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

void print(const char *what, const std::vector<double> &milliseconds)
{
    std::printf("%-52s median %8.3f ms  p99 %8.3f ms  n %zu\n", what, quantile(milliseconds, 0.5),
                quantile(milliseconds, 0.99), milliseconds.size());
}

// A server whose connects take 12 ms of the manual clock.
class SlowServer : public BackendServer
{
public:
    explicit SlowServer(TimerService &timers) : timers_(timers) { }

    void connect(Duration, ConnectCallback callback) override
    {
        timers_.subscribeAfter(12ms, [callback = std::move(callback)] {
            auto connection = std::make_shared<FakeConnection>();
            connection->answersImmediately = true;
            callback(absl::OkStatus(), std::move(connection));
        });
    }

private:
    TimerService &timers_;
};

// Random load: 40 statements a second holding a connection for 5 ms on average, at most three at a
// time, and two transactions a second of 200 ms. In one second of each minute ten times as much
// arrives.
void measureSpare(int spare)
{
    ManualTimerService timers;
    PoolOptions options;
    options.limit = 23;
    options.spare = spare;
    auto pool =
        std::make_shared<ConnectionPool>(timers, std::make_shared<SlowServer>(timers), options);
    std::mt19937 random(11);
    std::vector<double> waits;
    double counted = 0;
    int running = 0;
    const auto startRequest = [&](Duration hold, int slot) {
        const Instant requestedAt = timers.now();
        running += slot;
        pool->acquire(requestedAt + 5s,
                      [&, requestedAt, hold, slot](const absl::Status &status, auto connection) {
                          if (!status.ok())
                              return;
                          waits.push_back(toMilliseconds(timers.now() - requestedAt));
                          timers.subscribeAfter(hold, [&, connection, slot] {
                              running -= slot;
                              pool->release(connection, true);
                          });
                      });
    };
    for (int i = 0; i < 600000; ++i) {
        timers.advance(1ms);
        const bool burst = (i / 1000) % 60 == 59;
        std::exponential_distribution<double> hold(1.0 / 5000);
        if (random() % 1000 < (burst ? 400u : 40u) && running < 3)
            startRequest(std::chrono::microseconds(static_cast<int>(hold(random))), 1);
        if (random() % 1000 < (burst ? 20u : 2u))
            startRequest(200ms, 0);
        counted += pool->counted();
    }
    const auto waited = std::count_if(waits.begin(), waits.end(), [](double w) { return w > 0; });
    std::printf("spare %d: %5.2f%% of %zu requests waited, p99 %6.3f ms, longest %6.3f ms, "
                "%llu connects in 600 s, %.1f connections on average\n",
                spare, 100.0 * static_cast<double>(waited) / static_cast<double>(waits.size()),
                waits.size(), quantile(waits, 0.99), quantile(waits, 1.0),
                static_cast<unsigned long long>(pool->connects()), counted / 600000);
}

standin::ServerLimits remoteZoneLimits()
{
    standin::ServerLimits limits;
    limits.clientDelay = 1500us;
    return limits;
}

template <typename Function>
double measureMilliseconds(Function function)
{
    const Instant start = BootClock::now();
    function();
    return toMilliseconds(BootClock::now() - start);
}

void measureConnects()
{
    DatabaseFixture fixture(1, remoteZoneLimits());
    std::vector<double> opened;
    std::vector<double> reset;
    for (int i = 0; i < 20; ++i)
        opened.push_back(measureMilliseconds([&] { fixture.connect(); }));
    const auto connection = fixture.connect();
    for (int i = 0; i < 200; ++i)
        reset.push_back(measureMilliseconds([&] {
            fixture.client.run(*connection, {{"DISCARD ALL", {}}});
        }));
    print("open a connection (12 ms, 1.5 ms one way)", opened);
    print("reset a session", reset);
}

void measureWrites(const char *what, const std::string &sql, bool keyed)
{
    DatabaseFixture fixture(1, remoteZoneLimits());
    const auto connection = fixture.connect();
    std::vector<double> times;
    for (int i = 0; i < 300; ++i) {
        WriteRequest request;
        request.statement = {sql, {}};
        if (keyed)
            request.key = "1800000000-" + std::to_string(i);
        request.epoch = 1;
        request.attempt = makeAttemptNumber(1, static_cast<std::uint64_t>(i));
        request.now = WallTime(1800000000s);
        times.push_back(measureMilliseconds([&] {
            auto done = std::make_shared<std::promise<WriteOutcome>>();
            auto future = done->get_future();
            fixture.client.call([&] {
                runWrite({connection, {}, {}}, request,
                         [done](WriteOutcome outcome) { done->set_value(std::move(outcome)); });
            });
            if (BlockingClient::wait(future).state != WriteState::Done)
                std::printf("a write failed\n");
        }));
    }
    print(what, times);
}

void measureInspect()
{
    const std::string sql = "SELECT h.id, h.name, t.rate FROM household h JOIN tariff t ON t.id = "
                            "h.tariff WHERE h.municipality = $1 AND t.valid_to > $2 ORDER BY h.id";
    constexpr int count = 200000;
    std::size_t problems = 0;
    const double time = measureMilliseconds([&] {
        for (int i = 0; i < count; ++i)
            problems += findSqlProblem(inspectSql(sql), true).empty() ? 0 : 1;
    });
    std::printf("inspect a statement of %zu bytes: %.0f ns (%zu problems)\n", sql.size(),
                time * 1e6 / count, problems);
}

} // namespace

// The fixtures' checks need a Catch2 test case.
TEST_CASE("figures")
{
    for (int spare : {0, 1, 2, 4})
        measureSpare(spare);
    measureConnects();
    measureWrites("write without a key", "INSERT INTO decision (amount) VALUES (1)", false);
    measureWrites("write with a key, one batch", "INSERT INTO decision (amount) VALUES (1)", true);
    measureWrites("write with a key, two batches",
                  "INSERT INTO decision (amount) VALUES (1) RETURNING id", true);
    measureInspect();
}
