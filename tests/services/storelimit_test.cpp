#include "core/manualtimerservice.h"
#include "services/storecircuitbreaker.h"

#include <catch2/catch.hpp>

#include <random>

using namespace kelptally;
using namespace kelptally::services;
using namespace std::chrono_literals;

namespace {

// A service with a rate limit for all hosts together, which refuses calls above it.
struct LimitedStore : public TableService, public TableFeed
{
    explicit LimitedStore(TimerService &timers) : timers(timers), filledAt(timers.now()) { }

    bool takeToken()
    {
        const Instant now = timers.now();
        const double since = toMilliseconds(now - filledAt) / 1000;
        tokens = std::min(double(limit) / 10, tokens + since * limit);
        filledAt = now;
        if (tokens < 1)
            return false;
        tokens -= 1;
        return true;
    }

    void read(const std::string &, const std::string &key, RowCallback callback) override
    {
        const bool isAdmitted = takeToken();
        ++(isAdmitted ? answered : refused);
        timers.subscribeAfter(latency, [key, callback, isAdmitted] {
            if (isAdmitted)
                callback(TableRow {key, "v", "1"});
            else
                callback(absl::UnavailableError("429"));
        });
    }
    void list(const std::string &, const std::string &, RowsCallback) override { }
    void write(std::vector<ConditionalWrite>, WriteCallback) override { }
    void snapshot(const std::string &, SnapshotCallback) override { }
    void changes(const std::string &, std::uint64_t, Duration, ChangesCallback) override { }

    TimerService &timers;
    const int limit = 2000;
    const Duration latency {5ms};
    double tokens = 0;
    Instant filledAt;
    int answered = 0;
    int refused = 0;
};

// Hosts that each read some rows, and retry failed reads after a delay.
struct Hosts
{
    Hosts(int count, int rows)
    {
        missing = count * rows;
        for (int host = 0; host < count; ++host) {
            breakers.push_back(std::make_unique<StoreCircuitBreaker>(StoreCircuitBreaker::Parts {
                timers, store, store, log, metrics, 2s,
                [](const std::function<void(bool)> &callback) { callback(true); }, [] {},
                [this] { return draw(random); }}));
            for (int row = 0; row < rows; ++row)
                readUntilFound(*breakers.back(), std::to_string(row));
        }
    }

    void readUntilFound(StoreCircuitBreaker &breaker, const std::string &key)
    {
        breaker.read("t", key, [this, &breaker, key](const auto &row) {
            if (row.ok())
                --missing;
            else
                timers.subscribeAfter(250ms,
                                      [this, &breaker, key] { readUntilFound(breaker, key); });
        });
    }

    ManualTimerService timers;
    std::mt19937_64 random {1};
    std::uniform_real_distribution<double> draw {0, 1};
    EventLog log {[] {
        EventLogOptions options;
        options.level = LogLevel::Error;
        return options;
    }()};
    Metrics metrics;
    LimitedStore store {timers};
    std::vector<std::unique_ptr<StoreCircuitBreaker>> breakers;
    int missing = 0;
};

} // namespace

// Guards against hosts that send their whole queue after one successful trial, which keeps the
// service overloaded when many hosts start together.
TEST_CASE("Hosts refused by the rate limit share it without overloading the service")
{
    constexpr int hosts = 300;
    constexpr int rows = 50;
    Hosts all(hosts, rows);
    const Duration minTime = 1s * (hosts * rows / all.store.limit);
    all.timers.advance(2 * minTime);
    // At least half of the limit is used, and no more calls are refused than answered.
    CHECK(all.missing == 0);
    CHECK(all.store.refused <= all.store.answered);
}
