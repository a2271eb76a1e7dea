#include "core/manualtimerservice.h"
#include "services/storecircuitbreaker.h"
#include "services/tablefollower.h"

#include <catch2/catch.hpp>

#include <utility>

using namespace kelptally;
using namespace kelptally::services;
using namespace std::chrono_literals;

namespace {

// A service that answers, hangs, refuses or resets calls, and counts them.
struct FakeStore : public TableService, public TableFeed
{
    enum class Mode {
        Answers,
        // Calls made in this mode are never answered, unless by lateAnswers.
        Silent,
        Refuses,
        Resets,
    };

    explicit FakeStore(TimerService &theTimers) : timers(theTimers) { }

    template <typename Result>
    void answer(Result result, Duration longPollTime,
                std::function<void(absl::StatusOr<Result>)> callback)
    {
        ++calls;
        const int id = ++lastCallId;
        open[id] = [callback] { callback(absl::DeadlineExceededError("no answer")); };
        timers.subscribeAfter(longPollTime + 2s, [this, id] { end(id); });
        if (mode == Mode::Silent) {
            lateAnswers.push_back([this, callback, result, id] {
                if (open.erase(id) != 0)
                    callback(result);
            });
            return;
        }
        const absl::Status status = mode == Mode::Refuses ? absl::UnavailableError("503")
            : mode == Mode::Resets                        ? absl::UnknownError("reset")
                                                          : absl::OkStatus();
        timers.subscribeAfter(status.ok() ? latency + longPollTime : latency,
                              [this, callback, status, result, id] {
                                  // An outage also ends a long poll without an answer.
                                  if (mode == Mode::Silent || open.erase(id) == 0)
                                      return;
                                  if (status.ok())
                                      callback(result);
                                  else
                                      callback(status);
                              });
    }
    void end(int id)
    {
        const auto found = open.find(id);
        if (found == open.end())
            return;
        const auto callback = found->second;
        open.erase(found);
        callback();
    }
    void abortOpenCalls()
    {
        ++abortCount;
        while (!open.empty())
            end(open.begin()->first);
    }

    void read(const std::string &, const std::string &key, RowCallback callback) override
    {
        answer<std::optional<TableRow>>(TableRow {key, "v", "1"}, Duration(0), std::move(callback));
    }
    void list(const std::string &, const std::string &, RowsCallback callback) override
    {
        answer<std::vector<TableRow>>({}, Duration(0), std::move(callback));
    }
    void write(std::vector<ConditionalWrite>, WriteCallback callback) override
    {
        ++writes;
        answer<std::vector<std::string>>({"2"}, Duration(0), std::move(callback));
    }
    void snapshot(const std::string &, SnapshotCallback callback) override
    {
        answer<TableSnapshot>({}, Duration(0), std::move(callback));
    }
    void changes(const std::string &, std::uint64_t after, Duration wait,
                 ChangesCallback callback) override
    {
        TableChanges none;
        none.next = after;
        answer<TableChanges>(none, wait, std::move(callback));
    }

    TimerService &timers;
    Mode mode = Mode::Answers;
    // Whether connections can be opened also while it is silent.
    bool acceptsConnections = false;
    Duration latency {4ms};
    int calls = 0;
    int writes = 0;
    int abortCount = 0;
    std::map<int, std::function<void()>> open;
    // Answer the calls made in Silent mode, unless these were aborted.
    std::vector<std::function<void()>> lateAnswers;
    int lastCallId = 0;
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
    FakeStore store {timers};
    int probes = 0;
    StoreCircuitBreaker breaker {
        {timers, store, store, log, metrics, 2s,
         [this](std::function<void(bool)> callback) {
             ++probes;
             const bool reached = store.acceptsConnections || store.mode != FakeStore::Mode::Silent;
             timers.subscribeAfter(reached ? 2ms : 150ms,
                                   [callback, reached] { callback(reached); });
         },
         [this] { store.abortOpenCalls(); }, [] { return 0.5; }}};

    // Returns the status code of the answer; -1 while there is none.
    std::shared_ptr<int> read()
    {
        const auto outcome = std::make_shared<int>(-1);
        breaker.read("t", "k", [outcome](auto row) { *outcome = int(row.status().code()); });
        return outcome;
    }
    std::shared_ptr<int> write()
    {
        const auto outcome = std::make_shared<int>(-1);
        breaker.write({{"t", "k", "v", "1"}},
                      [outcome](auto tags) { *outcome = int(tags.status().code()); });
        return outcome;
    }
    void loseService(FakeStore::Mode mode)
    {
        store.mode = mode;
        read();
        timers.advance(1s);
        REQUIRE(!breaker.isAnswering());
    }
};

constexpr int ok = int(absl::StatusCode::kOk);

} // namespace

TEST_CASE_METHOD(Fixture, "Calls pass through while the service answers")
{
    const auto outcome = read();
    timers.advance(10ms);
    CHECK(*outcome == ok);
    CHECK(store.calls == 1);
    CHECK(probes == 0);
}

TEST_CASE_METHOD(Fixture, "One timeout opens the breaker, and no calls are sent while it is open")
{
    loseService(FakeStore::Mode::Silent);
    const int before = store.calls;
    const auto first = read();
    const auto second = write();
    timers.advance(1s);
    CHECK(store.calls == before);
    CHECK(probes > 4);
    // Calls queued past their deadline fail as not sent.
    timers.advance(2s);
    CHECK(*first == int(absl::StatusCode::kUnavailable));
    CHECK(*second == int(absl::StatusCode::kUnavailable));
    CHECK(store.writes == 0);
}

TEST_CASE_METHOD(Fixture, "Queued calls are sent within 300 ms of the recovery")
{
    loseService(FakeStore::Mode::Silent);
    const auto first = read();
    const auto second = write();
    timers.advance(500ms);
    store.mode = FakeStore::Mode::Answers;
    timers.advance(300ms);
    CHECK(breaker.isAnswering());
    CHECK(*first == ok);
    CHECK(*second == ok);
    CHECK(store.writes == 1);
}

TEST_CASE_METHOD(Fixture, "Requests for changes that hang since before the outage are sent again")
{
    std::vector<std::unique_ptr<TableFollower>> followers;
    for (const Duration wait : {2s, 5s, 9s}) {
        followers.push_back(std::make_unique<TableFollower>(
            TableFollower::Parts {timers, breaker, log}, "t", wait,
            TableFollower::Handlers {[](const TableRow &) {}, [](const std::string &) {}, [] {}}));
        followers.back()->start();
    }
    timers.advance(1s);
    store.mode = FakeStore::Mode::Silent;
    timers.advance(3500ms);
    REQUIRE(!breaker.isAnswering());
    const int before = store.calls;
    store.mode = FakeStore::Mode::Answers;
    timers.advance(500ms);
    // All three, including the one whose long poll had four more seconds.
    CHECK(store.calls >= before + 3);
    CHECK(store.calls <= before + 4);
    timers.advance(20s);
    CHECK(breaker.isAnswering());
}

TEST_CASE_METHOD(Fixture, "A trial that hangs during a recovery by a late answer is not a new loss")
{
    loseService(FakeStore::Mode::Silent);
    store.acceptsConnections = true;
    const auto first = read();
    const auto second = read();
    const std::size_t before = store.lateAnswers.size();
    timers.advance(1500ms);
    // At least two trials, on silent connections.
    REQUIRE(store.lateAnswers.size() >= before + 2);
    store.mode = FakeStore::Mode::Answers;
    store.lateAnswers[store.lateAnswers.size() - 2]();
    CHECK(breaker.isAnswering());
    timers.advance(3s);
    CHECK(breaker.isAnswering());
    CHECK(*first == ok);
    CHECK(*second == ok);
    CHECK(metrics.toText().find("kelptally_store_losses_total{state=\"silent\"} 1\n")
          != std::string::npos);
}

TEST_CASE_METHOD(Fixture, "A write in flight at the recovery ends as unknown and is not retried")
{
    store.mode = FakeStore::Mode::Silent;
    const auto open = write();
    timers.advance(1200ms);
    CHECK(*open == -1);
    store.mode = FakeStore::Mode::Answers;
    timers.advance(300ms);
    CHECK(*open == int(absl::StatusCode::kDeadlineExceeded));
    CHECK(store.writes == 1);
    CHECK(breaker.isAnswering());
}

TEST_CASE_METHOD(Fixture, "A refused host sends trial calls rarely, one at a time")
{
    TableFollower follower({timers, breaker, log}, "t", 5s,
                           {[](const TableRow &) {}, [](const std::string &) {}, [] {}});
    follower.start();
    for (const auto mode : {FakeStore::Mode::Refuses, FakeStore::Mode::Resets}) {
        store.mode = mode;
        std::vector<std::shared_ptr<int>> waiting;
        for (int i = 0; i < 5; ++i)
            waiting.push_back(read());
        timers.advance(10ms);
        const int before = store.calls;
        timers.advance(1900ms);
        CHECK(store.calls - before <= 5);
        // Writes fail at once, so that another host can take over.
        const auto refused = write();
        timers.advance(10ms);
        CHECK(*refused != -1);
        store.mode = FakeStore::Mode::Answers;
        timers.advance(1s);
        CHECK(breaker.isAnswering());
        // Calls queued for too long have failed.
        for (const auto &outcome : waiting)
            CHECK(*outcome != -1);
        const auto after = read();
        timers.advance(10ms);
        CHECK(*after == ok);
    }
}

TEST_CASE_METHOD(Fixture,
                 "A service that becomes slow counts as silent only until its first answer")
{
    TableFollower follower({timers, breaker, log}, "t", 5s,
                           {[](const TableRow &) {}, [](const std::string &) {}, [] {}});
    follower.start();
    timers.advance(1s);
    store.latency = 1500ms;
    read();
    timers.advance(4s);
    CHECK(breaker.isAnswering());
    const int before = probes;
    for (int i = 0; i < 5; ++i) {
        const auto again = read();
        timers.advance(1600ms);
        CHECK(*again == ok);
    }
    CHECK(probes == before);
}

TEST_CASE_METHOD(
    Fixture, "A service that accepts connections while silent is available 500 ms after recovery")
{
    // Connections can always be opened, but calls made during the outage are never answered.
    store.acceptsConnections = true;
    TableFollower follower({timers, breaker, log}, "t", 5s,
                           {[](const TableRow &) {}, [](const std::string &) {}, [] {}});
    follower.start();
    TableFollower other({timers, breaker, log}, "u", 9s,
                        {[](const TableRow &) {}, [](const std::string &) {}, [] {}});
    other.start();
    for (int i = 0; i < 10; ++i) {
        timers.advance(100ms);
        loseService(FakeStore::Mode::Silent);
        const int before = store.calls;
        timers.advance(2s + i * 37ms);
        CHECK(store.calls - before <= 9);
        store.mode = FakeStore::Mode::Answers;
        timers.advance(500ms);
        CHECK(breaker.isAnswering());
        // The timeouts of calls sent during the outage don't open the breaker again.
        for (int j = 0; j < 40; ++j) {
            timers.advance(50ms);
            CHECK(breaker.isAnswering());
        }
    }
}

TEST_CASE_METHOD(Fixture, "Calls beyond the limit of the queue fail at once")
{
    loseService(FakeStore::Mode::Silent);
    for (int i = 0; i < 1023; ++i)
        read();
    const auto last = read();
    CHECK(*last == int(absl::StatusCode::kUnavailable));
}

// Guards against a second callback, which multiplies the reads of callers that retry.
TEST_CASE_METHOD(Fixture, "A read that is refused after its deadline calls back once")
{
    store.latency = 150ms;
    loseService(FakeStore::Mode::Refuses);
    std::vector<int> callbackCounts(40, 0);
    for (int &count : callbackCounts) {
        timers.advance(37ms);
        breaker.read("t", "k", [&count](const auto &) { ++count; });
    }
    timers.advance(10s);
    CHECK(callbackCounts == std::vector<int>(callbackCounts.size(), 1));
}

namespace {

// A service whose tables have six pages.
struct PagedStore : public FakeStore
{
    using FakeStore::FakeStore;

    void page(const std::string &table, const std::string &from, PageCallback callback) override
    {
        const int number = from.empty() ? 0 : std::stoi(from);
        requestedPages.push_back(table + std::to_string(number));
        if (std::exchange(dropNextAnswer, false))
            mode = Mode::Silent;
        TablePage page;
        page.version = std::uint64_t(100 + number);
        page.isLast = number == 5;
        // The row's key is the number of the next page.
        page.rows.push_back({std::to_string(number + 1), "v", "1"});
        answer<TablePage>(page, Duration(0), std::move(callback));
        mode = Mode::Answers;
    }

    std::vector<std::string> requestedPages;
    bool dropNextAnswer = false;
};

struct PagedFixture : public Fixture
{
    PagedStore paged {timers};
    StoreCircuitBreaker pagedBreaker {{timers, paged, paged, log, metrics, 2s,
                                       [this](std::function<void(bool)> callback) {
                                           timers.subscribeAfter(2ms,
                                                                 [callback] { callback(true); });
                                       },
                                       [this] { paged.abortOpenCalls(); }, [] { return 0.5; }}};

    std::shared_ptr<std::optional<TableSnapshot>> snapshot(const std::string &table)
    {
        const auto result = std::make_shared<std::optional<TableSnapshot>>();
        pagedBreaker.snapshot(table, [result](auto snapshot) {
            REQUIRE(snapshot.ok());
            *result = *std::move(snapshot);
        });
        return result;
    }
};

} // namespace

// Guards against one timeout for a whole table, which makes a busy service look silent.
TEST_CASE_METHOD(PagedFixture, "A table with slow pages does not open the breaker")
{
    paged.latency = 300ms;
    const auto read = snapshot("t");
    timers.advance(2s);
    REQUIRE(*read);
    CHECK((*read)->rows.size() == 6);
    CHECK((*read)->next == 100);
    CHECK(paged.requestedPages.size() == 6);
    CHECK(paged.abortCount == 0);
}

TEST_CASE_METHOD(PagedFixture, "Only the page without an answer is requested again")
{
    const auto read = snapshot("t");
    timers.advance(10ms);
    paged.dropNextAnswer = true;
    timers.advance(5s);
    REQUIRE(*read);
    CHECK((*read)->rows.size() == 6);
    CHECK(paged.requestedPages.size() == 7);
}

TEST_CASE_METHOD(PagedFixture, "Tables are read one after the other, in the order of the requests")
{
    const auto first = snapshot("a");
    const auto second = snapshot("b");
    timers.advance(1s);
    REQUIRE(*first);
    REQUIRE(*second);
    REQUIRE(paged.requestedPages.size() == 12);
    for (std::size_t i = 0; i < 12; ++i)
        CHECK(paged.requestedPages[i][0] == (i < 6 ? 'a' : 'b'));
}
