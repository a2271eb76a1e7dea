#include "core/manualtimerservice.h"
#include "services/tablefollower.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::services;
using namespace std::chrono_literals;

namespace {

// A feed that is answered by the test.
struct FakeFeed : public TableFeed
{
    void snapshot(const std::string &, SnapshotCallback callback) override
    {
        ++snapshots;
        onSnapshot = std::move(callback);
    }
    void changes(const std::string &, std::uint64_t version, Duration longPollTime,
                 ChangesCallback callback) override
    {
        after = version;
        wait = longPollTime;
        onChanges = std::move(callback);
    }

    int snapshots = 0;
    std::uint64_t after = 0;
    Duration wait {0};
    SnapshotCallback onSnapshot;
    ChangesCallback onChanges;
};

struct Fixture
{
    void start()
    {
        follower = std::make_unique<TableFollower>(
            TableFollower::Parts {timers, feed, log}, "t", 5s,
            TableFollower::Handlers {[this](const TableRow &row) {
                                         rows.push_back(row.key + "=" + row.value);
                                         changedAfter = row.changedAfter;
                                     },
                                     [this](const std::string &key) { rows.push_back("-" + key); },
                                     [] {}});
        follower->start();
    }

    ManualTimerService timers;
    EventLog log {[] {
        EventLogOptions options;
        options.level = LogLevel::Error;
        return options;
    }()};
    FakeFeed feed;
    std::vector<std::string> rows;
    std::optional<Instant> changedAfter;
    std::unique_ptr<TableFollower> follower;
};

} // namespace

TEST_CASE_METHOD(Fixture,
                 "A snapshot and then its changes are applied once each, without older versions")
{
    start();
    feed.onSnapshot(TableSnapshot {{{"a", "1", "9"}, {"b", "1", "10"}}, 12});
    CHECK(feed.after == 12);
    feed.onChanges(TableChanges {{{{"a", "2", "13"}, false}, {{"b", "", "14"}, true}}, 14});
    CHECK(feed.after == 14);
    feed.onChanges(TableChanges {{{{"a", "old", "9"}, false}}, 15});
    CHECK(rows == std::vector<std::string> {"a=1", "b=1", "a=2", "-b"});
}

TEST_CASE_METHOD(Fixture, "After lost history a snapshot is read, with retries")
{
    start();
    feed.onSnapshot(TableSnapshot {{{"a", "1", "9"}, {"b", "1", "10"}}, 12});
    feed.onChanges(absl::OutOfRangeError("gone"));
    CHECK(feed.snapshots == 2);
    feed.onSnapshot(absl::UnavailableError("down"));
    timers.advance(1s);
    CHECK(feed.snapshots == 3);
    feed.onSnapshot(TableSnapshot {{{"b", "3", "20"}}, 20});
    CHECK(rows == std::vector<std::string> {"a=1", "b=1", "b=3", "-a"});
    CHECK(feed.after == 20);
}

TEST_CASE_METHOD(Fixture, "A request without changes is repeated from the same position")
{
    start();
    feed.onSnapshot(TableSnapshot {{{"a", "1", "9"}}, 12});
    CHECK(feed.wait == 5s);
    feed.onChanges(TableChanges {{}, 15});
    CHECK(feed.after == 15);
    feed.onChanges(absl::DeadlineExceededError("no answer"));
    timers.advance(1s);
    CHECK(feed.after == 15);
    CHECK(feed.snapshots == 1);
    CHECK(rows.size() == 1);
}

TEST_CASE_METHOD(Fixture, "Changes carry the earliest time at which they may have been made")
{
    // The service's clock is 100 s behind, and each way takes 2 ms.
    const auto serviceTime = [&](Duration back) {
        return (timers.now() - back).time_since_epoch() - 100s;
    };
    const auto change = [](const std::string &etag) {
        return std::vector<RowChange> {{{"k", "v", etag}, false}};
    };
    Fixture::start();
    timers.advance(4ms);
    feed.onSnapshot(TableSnapshot {{{"k", "v", "1"}}, 1, serviceTime(2ms)});
    CHECK(!changedAfter);
    const Instant first = timers.now();
    // 1. The change was made after the previous answer.
    timers.advance(1s);
    feed.onChanges(TableChanges {change("2"), 2, serviceTime(2ms)});
    CHECK(changedAfter == first);
    // 2. An answer that was delayed by three seconds.
    const Instant second = timers.now();
    timers.advance(4s);
    feed.onChanges(TableChanges {change("3"), 3, serviceTime(3s)});
    CHECK(changedAfter == second);
    // 3. After two lost requests the change was made after the last answer.
    const Instant lastAnswer = timers.now() - 3s + 2ms;
    timers.advance(2s);
    feed.onChanges(absl::UnavailableError("lost"));
    timers.advance(250ms);
    feed.onChanges(absl::UnavailableError("lost"));
    timers.advance(250ms);
    timers.advance(4ms);
    feed.onChanges(TableChanges {change("4"), 4, serviceTime(2ms)});
    CHECK(changedAfter == lastAnswer);
    // 4. After a restart of the service, whose clock went back, the time is unknown.
    timers.advance(1s);
    feed.onChanges(TableChanges {change("5"), 5, Duration(1s)});
    CHECK(!changedAfter);
}
