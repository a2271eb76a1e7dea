#include "core/manualtimerservice.h"
#include "host/tablerelay.h"
#include "services/tablefollower.h"
#include "services/textdifference.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::host;
using namespace std::chrono_literals;

namespace {

// Records polls; the test answers them.
struct FakeFeed : public services::TableFeed
{
    void snapshot(const std::string &, services::SnapshotCallback callback) override
    {
        ++snapshots;
        services::TableSnapshot snapshot;
        snapshot.rows = rows;
        snapshot.next = next;
        snapshot.serviceTime = serviceTime;
        callback(snapshot);
    }
    void changes(const std::string &, std::uint64_t after, Duration wait,
                 services::ChangesCallback callback) override
    {
        polls.push_back({after, wait});
        answer = std::move(callback);
    }

    int snapshots = 0;
    // Content of a snapshot.
    std::vector<services::TableRow> rows;
    std::uint64_t next = 100;
    std::optional<Duration> serviceTime;
    std::vector<std::pair<std::uint64_t, Duration>> polls;
    services::ChangesCallback answer;
};

struct FakeLinks : public TableRelay::Links
{
    void connect(const std::string &address) override { ++connected[address]; }
    void drop(const std::string &address) override { --connected[address]; }
    absl::Status sendTo(const std::string &address, inner::Message message) override
    {
        sent.emplace_back(address, std::move(message));
        return absl::OkStatus();
    }
    absl::Status sendOn(inner::LinkId link, inner::Message message) override
    {
        updates.emplace_back(link, std::get<inner::TableUpdate>(std::move(message)));
        return absl::OkStatus();
    }
    bool isSameZone(inner::LinkId link) const override { return link < 10; }

    std::map<std::string, int> connected;
    std::vector<std::pair<std::string, inner::Message>> sent;
    std::vector<std::pair<inner::LinkId, inner::TableUpdate>> updates;
};

constexpr Duration wait = 5s;

struct Fixture
{
    Fixture()
    {
        store.serviceTime = clock();
        relay.snapshot("t", [](const auto &) {});
        requestChanges(100);
    }

    // The service's clock, which is 1,000 s behind.
    Duration clock() const { return timers.now().time_since_epoch() - 1000s; }

    // Requests changes again after each answer, like a follower.
    void requestChanges(std::uint64_t after)
    {
        relay.changes("t", after, wait, [this](const absl::StatusOr<services::TableChanges> &got) {
            REQUIRE(got.ok());
            ++answers;
            for (const auto &change : got->changes)
                rows.push_back(change.row.key + "=" + change.row.value);
            requestChanges(got->next);
        });
    }
    void setCandidates(const std::vector<decision::RelayCandidate> &relayCandidates)
    {
        for (const decision::RelayCandidate &candidate : relayCandidates)
            candidates.add(candidate);
        relay.setCandidates(candidates);
    }
    void subscribe()
    {
        setCandidates({{"first", "zone"}, {"second", "other"}});
        relay.onLinkUp("first");
        relay.onLinkUp("second");
    }
    inner::TableUpdate update(std::uint64_t after, std::uint64_t upTo, Duration serviceTime,
                              std::vector<inner::TableUpdateRow> changed = {}) const
    {
        return {"t", after, upTo, serviceTime, std::move(changed), false};
    }

    ManualTimerService timers;
    EventLog log {[] {
        EventLogOptions options;
        options.level = LogLevel::Error;
        return options;
    }()};
    Metrics metrics;
    FakeFeed store;
    FakeLinks links;
    decision::RelayOrder candidates;
    TableRelay relay {
        {timers, store, links, log, metrics, "self", "zone", "owners", true, [] { return 0.5; }}};
    int answers = 0;
    std::vector<std::string> rows;
};

} // namespace

TEST_CASE_METHOD(Fixture, "A subscriber applies each row once, in the order of versions")
{
    subscribe();
    CHECK(links.connected["first"] == 1);
    timers.advance(1s);
    relay.onUpdate("first", update(100, 102, clock(), {{"a", "1", 101}, {"b", "1", 102}}));
    relay.onUpdate("second", update(100, 102, clock(), {{"a", "1", 101}, {"b", "1", 102}}));
    relay.onUpdate("first", update(102, 103, clock(), {{"a", "2", 103}}));
    // A reordered update.
    relay.onUpdate("second", update(100, 101, clock() - 10ms, {{"a", "1", 101}}));
    CHECK(rows == std::vector<std::string> {"a=1", "b=1", "a=2"});
    CHECK(store.polls.empty());
}

TEST_CASE_METHOD(Fixture, "Only updates with a newer service time confirm the state")
{
    subscribe();
    for (int i = 0; i < 10; ++i) {
        timers.advance(2s);
        relay.onUpdate("first", update(100, 100, clock()));
    }
    CHECK(store.polls.empty());
    // The relay sends updates but gets no answers from the service.
    const Duration last = clock();
    for (int i = 0; i < 5; ++i) {
        timers.advance(1s);
        relay.onUpdate("first", update(100, 100, last));
    }
    CHECK(store.polls.size() == 1);
    CHECK(store.polls[0].first == 100);
}

TEST_CASE_METHOD(Fixture, "Updates from a host that is not a chosen relay are ignored")
{
    subscribe();
    timers.advance(1s);
    relay.onUpdate("third", update(100, 101, clock(), {{"a", "1", 101}}));
    CHECK(rows.empty());
}

TEST_CASE_METHOD(Fixture, "Omitted rows and gaps are read from the service after a delay")
{
    subscribe();
    timers.advance(1s);
    inner::TableUpdate large = update(100, 105, clock());
    large.rowsOmitted = true;
    relay.onUpdate("second", large);
    CHECK(store.polls.empty());
    // The other relay sends the rows meanwhile.
    timers.advance(100ms);
    relay.onUpdate("first", update(100, 105, clock(), {{"a", "1", 105}}));
    timers.advance(2s);
    CHECK(store.polls.empty());
    // A gap: versions 106 and 107 are missing.
    relay.onUpdate("first", update(107, 109, clock(), {{"a", "3", 109}}));
    timers.advance(2s);
    REQUIRE(store.polls.size() == 1);
    CHECK(store.polls[0] == std::make_pair(std::uint64_t(105), Duration(0)));
    CHECK(rows == std::vector<std::string> {"a=1"});
}

TEST_CASE_METHOD(Fixture, "Omitted rows are read as soon as the known state is too old")
{
    const Duration maxAge = decision::maxConfirmationAge(wait, 0.5);
    subscribe();
    timers.advance(1s);
    relay.onUpdate("first", update(100, 100, clock()));
    // Both relays stand still and announce a change shortly before the state is too old.
    timers.advance(maxAge - 100ms);
    inner::TableUpdate large = update(100, 105, clock());
    large.rowsOmitted = true;
    relay.onUpdate("second", large);
    CHECK(store.polls.empty());
    timers.advance(100ms);
    REQUIRE(store.polls.size() == 1);
    CHECK(store.polls[0] == std::make_pair(std::uint64_t(100), Duration(0)));
}

TEST_CASE_METHOD(Fixture, "A poll in flight is not repeated at once when a relay announces rows")
{
    setCandidates({{"first", "zone"}, {"second", "other"}, {"third", "zone"}});
    timers.advance(decision::maxConfirmationAge(wait, 0.5) + 100ms);
    REQUIRE(store.polls.size() == 1);
    // The silent relays have been replaced by the third.
    std::string newRelay;
    for (const auto &[address, count] : links.connected)
        if (count > 0)
            newRelay = address;
    REQUIRE(!newRelay.empty());
    inner::TableUpdate large = update(100, 105, clock());
    large.rowsOmitted = true;
    relay.onUpdate(newRelay, large);
    timers.advance(500ms);
    CHECK(store.polls.size() == 1);
    // An answer that does not come in time is not awaited further.
    timers.advance(1s);
    CHECK(store.polls.size() == 2);
}

// The service would hold a long poll without changes, and its lost answer would be noticed only
// after the bound.
TEST_CASE_METHOD(Fixture, "A state that is too old is read without a long poll")
{
    subscribe();
    timers.advance(decision::maxConfirmationAge(wait, 0.5) + 10ms);
    REQUIRE(store.polls.size() == 1);
    CHECK(store.polls[0] == std::make_pair(std::uint64_t(100), Duration(0)));
    // The answer confirms the state for as long as an update of a relay does.
    services::TableChanges unchanged;
    unchanged.next = 100;
    unchanged.serviceTime = clock();
    store.answer(unchanged);
    timers.advance(decision::maxConfirmationAge(wait, 0.5) - 20ms);
    CHECK(store.polls.size() == 1);
    timers.advance(30ms);
    CHECK(store.polls.size() == 2);
}

TEST_CASE_METHOD(Fixture, "A host without relays notices a lost answer as early as a relay")
{
    timers.advance(30s);
    REQUIRE(!store.polls.empty());
    for (const auto &[after, longPollTime] : store.polls)
        CHECK(longPollTime <= decision::relayPollWait(wait));
}

TEST_CASE_METHOD(Fixture, "An answer that arrives is awaited although a relay announces rows")
{
    setCandidates({{"first", "zone"}, {"second", "other"}, {"third", "zone"}});
    timers.advance(decision::maxConfirmationAge(wait, 0.5) + 100ms);
    REQUIRE(store.polls.size() == 1);
    CHECK(store.answer.reportProgress({1000, 400'000}));
    inner::TableUpdate large = update(100, 105, clock());
    large.rowsOmitted = true;
    for (const auto &[address, count] : links.connected)
        if (count > 0)
            relay.onUpdate(address, large);
    timers.advance(2s);
    CHECK(store.polls.size() == 1);
}

TEST_CASE_METHOD(Fixture, "Announced rows that are being read are not read twice at once")
{
    subscribe();
    timers.advance(1s);
    inner::TableUpdate large = update(100, 105, clock());
    large.rowsOmitted = true;
    relay.onUpdate("first", large);
    timers.advance(1500ms);
    REQUIRE(store.polls.size() == 1);
    CHECK(store.polls[0].second == Duration(0));
    // The service answers slowly, and the next change is announced.
    inner::TableUpdate next = update(105, 106, clock());
    next.rowsOmitted = true;
    relay.onUpdate("first", next);
    timers.advance(3s);
    CHECK(store.polls.size() == 1);
}

TEST_CASE_METHOD(Fixture, "Silent relays are replaced")
{
    setCandidates({{"first", "zone"}, {"second", "other"}, {"third", "zone"}});
    std::string silentRelay;
    for (const auto &[address, count] : links.connected)
        if (count > 0 && address != "second")
            silentRelay = address;
    REQUIRE(!silentRelay.empty());
    const std::string other = silentRelay == "first" ? "third" : "first";
    timers.advance(10s);
    CHECK(links.connected[silentRelay] == 0);
    CHECK(links.connected[other] == 1);
}

TEST_CASE_METHOD(Fixture, "A relay uses short polls and sends each subscriber the rows it lacks")
{
    relay.onSubscribe(1, {{{"t", 100}}, true});
    REQUIRE(store.polls.size() == 1);
    CHECK(store.polls[0].second == 1500ms);
    CHECK(links.updates.size() == 1);
    CHECK(links.updates[0].second.rows.empty());
    timers.advance(1s);
    services::TableChanges changes;
    changes.changes.push_back({{"a", "1", "101"}, false});
    changes.next = 101;
    changes.serviceTime = clock();
    store.answer(changes);
    REQUIRE(links.updates.size() == 2);
    CHECK(links.updates[1].second.rows.size() == 1);
    CHECK(links.updates[1].second.after == 100);
    CHECK(links.updates[1].second.upTo == 101);
    CHECK(links.updates[1].second.serviceTime == *changes.serviceTime);
    // A later subscriber is sent what it lacks, also from before the relay's snapshot, which has
    // all rows.
    relay.onSubscribe(2, {{{"t", 100}}, true});
    CHECK(links.updates.back().second.rows.size() == 1);
    relay.onSubscribe(3, {{{"t", 50}}, true});
    CHECK(!links.updates.back().second.rowsOmitted);
    CHECK(links.updates.back().second.rows.size() == 1);
    // A subscriber without rows is only told the version.
    relay.onSubscribe(4, {{{"t", 100}}, false});
    CHECK(links.updates.back().second.rowsOmitted);
    CHECK(links.updates.back().second.rows.empty());
    // Without subscribers it is no relay any more.
    for (const inner::LinkId link : {1, 2, 3})
        relay.onLinkDown(link);
    relay.onSubscribe(4, {});
    CHECK(!relay.isRelay());
}

TEST_CASE_METHOD(Fixture, "Large rows are sent within the zone and omitted across zones")
{
    relay.onSubscribe(1, {{{"t", 100}}, true});
    relay.onSubscribe(11, {{{"t", 100}}, true});
    links.updates.clear();
    services::TableChanges changes;
    changes.changes.push_back({{"a", std::string(20'000, 'x'), "101"}, false});
    changes.next = 101;
    changes.serviceTime = clock();
    store.answer(changes);
    timers.advance(1s);
    REQUIRE(links.updates.size() == 2);
    for (const auto &[link, update] : links.updates)
        CHECK(update.rowsOmitted == (link == 11));
}

namespace {

// A document too large to be sent whole, with one value.
std::string document(int value)
{
    std::string text;
    for (int i = 0; i < 4000; ++i)
        text += "\"name" + std::to_string(i) + "\",";
    return text + std::to_string(value);
}

} // namespace

// A small change of a large row must not make each subscriber read the row from the service.
TEST_CASE_METHOD(Fixture, "A small change of a large row is sent as a difference")
{
    const auto answer = [&](int value, std::uint64_t version) {
        services::TableChanges changes;
        changes.changes.push_back({{"a", document(value), std::to_string(version)}, false});
        changes.next = version;
        changes.serviceTime = clock();
        store.answer(changes);
        timers.advance(1s);
    };
    relay.onSubscribe(1, {{{"t", 100}}, true, true});
    answer(1, 101);
    links.updates.clear();

    // 1 and 11 (in another zone) know the row; 2 accepts no differences; 3 doesn't know the row.
    relay.onSubscribe(11, {{{"t", 101}}, true, true});
    relay.onSubscribe(2, {{{"t", 101}}, true, false});
    links.updates.clear();
    answer(2, 105);
    answer(3, 107);
    relay.onSubscribe(3, {{{"t", 100}}, true, true});
    std::map<inner::LinkId, std::string> known = {{1, document(1)}, {11, document(1)}};
    for (const auto &[link, update] : links.updates) {
        CAPTURE(link);
        if (link == 2 || link == 3) {
            CHECK(update.rowsOmitted);
            continue;
        }
        REQUIRE(update.rows.size() == 1);
        CHECK(update.rows[0].baseVersion == (update.upTo == 105 ? 101 : 105));
        CHECK(update.rows[0].value.size() < 200);
        known[link] = *services::applyDifference(known[link], update.rows[0].value);
    }
    CHECK(known[1] == document(3));
    CHECK(known[11] == document(3));
}

// Guards against reading each version of a large row after an outage.
TEST_CASE_METHOD(Fixture, "Changes larger than the table are refused, and the table is read")
{
    const std::string value = document(1);
    services::TableSnapshot table;
    table.next = 100;
    table.rows.push_back({"a", value, "100"});
    store.rows = table.rows;
    std::vector<std::string> versions;
    services::TableFollower follower(
        {timers, relay, log}, "u", wait,
        {[&](const services::TableRow &row) { versions.push_back(row.etag); },
         [](const std::string &) {}, [] {}});
    follower.start();
    relay.onSubscribe(1, {{{"u", 100}}, true, true});
    timers.advance(100ms);
    REQUIRE(versions == std::vector<std::string> {"100"});
    const int snapshots = store.snapshots;
    const services::ChangesCallback poll = store.answer;
    // A single new version, and the same with most of the answer received.
    const std::size_t encoded = value.size() * 4 / 3;
    CHECK(poll.reportProgress({1000, encoded}));
    CHECK(poll.reportProgress({6 * encoded, 7 * encoded}));
    CHECK(!poll.reportProgress({1000, 20 * encoded}));
    store.rows = {{"a", document(2), "110"}};
    store.next = 110;
    links.updates.clear();
    poll(absl::CancelledError("refused"));
    timers.advance(100ms);
    CHECK(store.snapshots == snapshots + 1);
    CHECK(versions == std::vector<std::string> {"100", "110"});
    CHECK(store.polls.back().first == 110);
    // Subscribers get the difference from the version before.
    REQUIRE(links.updates.size() == 1);
    REQUIRE(links.updates[0].second.rows.size() == 1);
    CHECK(links.updates[0].second.rows[0].baseVersion == 100);
}

// Guards against subscribers that keep a row which was removed before their relay read the table.
TEST_CASE_METHOD(Fixture, "Rows that are gone when a relay reads a table again are sent as removed")
{
    store.rows = {{"a", "1", "98"}, {"b", "1", "99"}, {"c", "1", "100"}};
    relay.snapshot("u", [](const auto &) {});
    relay.onSubscribe(1, {{{"u", 100}}, true, true});
    relay.onSubscribe(2, {{{"u", 97}}, true, true});
    links.updates.clear();
    store.rows = {{"a", "1", "98"}, {"c", "2", "104"}};
    store.next = 105;
    relay.snapshot("u", [](const auto &) {});
    timers.advance(10ms);
    REQUIRE(!links.updates.empty());
    std::map<std::string, bool> removed;
    for (const auto &[link, update] : links.updates) {
        if (link != 1)
            continue;
        CHECK(update.upTo == 105);
        for (const inner::TableUpdateRow &row : update.rows)
            removed[row.key] = row.removed;
    }
    CHECK(removed == std::map<std::string, bool> {{"b", true}, {"c", false}});
    // A subscriber further behind may have rows that were removed before.
    relay.onSubscribe(3, {{{"u", 90}}, true, true});
    CHECK(links.updates.back().second.rowsOmitted);
    // A new one gets the rows that there are.
    relay.onSubscribe(4, {{{"u", 0}}, true, true});
    CHECK(!links.updates.back().second.rowsOmitted);
}

TEST_CASE_METHOD(Fixture, "Several versions of a large row are sent as one difference")
{
    relay.onSubscribe(1, {{{"t", 100}}, true, true});
    const auto answer = [&](const std::vector<std::uint64_t> &versions) {
        services::TableChanges changes;
        for (const std::uint64_t version : versions)
            changes.changes.push_back(
                {{"a", document(int(version)), std::to_string(version)}, false});
        changes.next = versions.back();
        changes.serviceTime = clock();
        store.answer(changes);
        timers.advance(1s);
    };
    answer({101});
    relay.onSubscribe(2, {{{"t", 101}}, true, true});
    links.updates.clear();
    answer({103, 105, 107});
    REQUIRE(links.updates.size() == 2);
    for (const auto &[link, update] : links.updates) {
        if (link != 2)
            continue;
        REQUIRE(update.rows.size() == 1);
        CHECK(update.rows[0].baseVersion == 101);
        CHECK(update.rows[0].version == 107);
        CHECK(*services::applyDifference(document(101), update.rows[0].value) == document(107));
    }
}

TEST_CASE_METHOD(Fixture,
                 "A subscriber without the base of a difference reads the row from the service")
{
    subscribe();
    timers.advance(1s);
    const auto differing = [&](int from, int to, std::uint64_t before, std::uint64_t version) {
        inner::TableUpdateRow row {"a", services::differenceOf(document(from), document(to)),
                                   version};
        row.baseVersion = before;
        return row;
    };
    relay.onUpdate("first", update(100, 101, clock(), {{"a", document(1), 101}}));
    relay.onUpdate(
        "first", update(101, 105, clock(), {differing(1, 2, 101, 103), differing(2, 3, 103, 105)}));
    REQUIRE(rows.size() == 2);
    CHECK(rows.back() == "a=" + document(3));
    CHECK(store.polls.empty());
    // The base version 107 is unknown.
    relay.onUpdate("first", update(105, 109, clock(), {differing(4, 5, 107, 109)}));
    timers.advance(2s);
    CHECK(rows.size() == 2);
    REQUIRE(store.polls.size() == 1);
    CHECK(store.polls[0] == std::make_pair(std::uint64_t(105), Duration(0)));
}

namespace {

services::TableChanges changesOf(int rows, std::uint64_t first, Duration serviceTime,
                                 std::size_t bytes = 300, bool removed = false)
{
    services::TableChanges changes;
    for (int i = 0; i < rows; ++i)
        changes.changes.push_back({{"row" + std::to_string(i), std::string(bytes, 'x'),
                                    std::to_string(first + std::uint64_t(i) / 10)},
                                   removed});
    changes.next = first + std::uint64_t(rows) / 10;
    changes.serviceTime = serviceTime;
    return changes;
}

} // namespace

// Subscribers that lag must not fall back to reading the table from the service.
TEST_CASE_METHOD(Fixture, "A lagging subscriber is sent all changes in parts")
{
    relay.onSubscribe(1, {{{"t", 100}}, true, true});
    store.answer(changesOf(1000, 101, clock()));
    timers.advance(1s);
    links.updates.clear();
    relay.onSubscribe(2, {{{"t", 100}}, true, true});
    std::set<std::string> rows;
    std::uint64_t upTo = 100;
    for (int part = 0; part < 100; ++part) {
        REQUIRE(links.updates.size() == std::size_t(part) + 1);
        const inner::TableUpdate update = links.updates.back().second;
        REQUIRE(!update.rowsOmitted);
        CHECK(update.after == upTo);
        std::size_t bytes = 0;
        for (const inner::TableUpdateRow &row : update.rows) {
            CHECK(rows.insert(row.key).second);
            CHECK(row.version > update.after);
            CHECK(row.version <= update.upTo);
            bytes += row.value.size();
        }
        CHECK(bytes <= 32u << 10);
        upTo = update.upTo;
        if (!update.isPartial)
            break;
        inner::SubscribeTables next {{{"t", upTo}}, true, true};
        next.isContinuation = true;
        relay.onSubscribe(2, next);
    }
    CHECK(upTo == 201);
    CHECK(rows.size() == 1000);
    // A subscriber of an earlier version accepts no parts and reads from the service.
    relay.onSubscribe(3, {{{"t", 100}}, true});
    CHECK(links.updates.back().second.rowsOmitted);
}

TEST_CASE_METHOD(Fixture, "A partial update confirms nothing, and the next part is requested")
{
    subscribe();
    timers.advance(1s);
    links.sent.clear();
    inner::TableUpdate part = update(100, 105, clock(), {{"a", "1", 103}, {"b", "1", 105}});
    part.isPartial = true;
    relay.onUpdate("first", part);
    CHECK(rows == std::vector<std::string> {"a=1", "b=1"});
    REQUIRE(links.sent.size() == 1);
    const auto next = std::get<inner::SubscribeTables>(links.sent[0].second);
    CHECK(next.isContinuation);
    REQUIRE(next.tables.size() == 1);
    CHECK(next.tables[0].after == 105);
    // The next part is lost: the confirmation stays old.
    timers.advance(4s);
    REQUIRE(!store.polls.empty());
    CHECK(store.polls[0].first == 105);
}

TEST_CASE_METHOD(Fixture, "The history is bounded by the size of the table")
{
    relay.onSubscribe(1, {{{"t", 100}}, true, true});
    std::uint64_t version = 101;
    for (int round = 0; round < 200; ++round, version += 12) {
        store.answer(changesOf(100, version, clock(), 20));
        timers.advance(100ms);
    }
    links.updates.clear();
    relay.onSubscribe(2, {{{"t", 100}}, true, true});
    REQUIRE(links.updates.size() == 1);
    // The newest state of each row, and superseded ones since the last compaction.
    CHECK(links.updates[0].second.rows.size() >= 100);
    CHECK(links.updates[0].second.rows.size() <= 600);
    // Removed rows are kept up to a limit; a subscriber that may lack one reads the table.
    for (int i = 0; i < 10; ++i, version += 72) {
        services::TableChanges gone = changesOf(700, version, clock(), 0, true);
        for (auto &change : gone.changes)
            change.row.key += "-" + std::to_string(i);
        store.answer(gone);
        timers.advance(100ms);
    }
    relay.onSubscribe(3, {{{"t", 100}}, true, true});
    CHECK(links.updates.back().second.rowsOmitted);
}

namespace {

// A starting host without capacity, and its relay.
struct StartFixture
{
    StartFixture()
    {
        store.serviceTime = timers.now().time_since_epoch() - 1000s;
        relayStore.serviceTime = store.serviceTime;
    }
    void start()
    {
        subscriber.snapshot("t", [this](auto snapshot) {
            REQUIRE(snapshot.ok());
            read = *std::move(snapshot);
        });
    }
    void findRelays()
    {
        candidates.add({"first", "zone"});
        candidates.add({"second", "other"});
        subscriber.setCandidates(candidates);
        subscriber.onLinkUp("first");
        subscriber.onLinkUp("second");
    }
    // Delivers messages between the two until none is left.
    void carry()
    {
        for (std::size_t i = 0; i < links.sent.size(); ++i) {
            if (links.sent[i].first != "first")
                continue;
            relay.onSubscribe(1, std::get<inner::SubscribeTables>(links.sent[i].second));
            const auto updates = std::move(relayLinks.updates);
            relayLinks.updates.clear();
            for (const auto &[link, message] : updates)
                subscriber.onUpdate("first", message);
        }
        links.sent.clear();
    }

    ManualTimerService timers;
    EventLog log {[] {
        EventLogOptions options;
        options.level = LogLevel::Error;
        return options;
    }()};
    Metrics metrics;
    FakeFeed store;
    FakeFeed relayStore;
    FakeLinks links;
    FakeLinks relayLinks;
    decision::RelayOrder candidates;
    TableRelay subscriber {
        {timers, store, links, log, metrics, "self", "zone", "owners", false, [] { return 0.5; }}};
    TableRelay relay {{timers, relayStore, relayLinks, log, metrics, "first", "zone", "owners",
                       true, [] { return 0.5; }}};
    std::optional<services::TableSnapshot> read;
};

} // namespace

// Hosts that start together must not all read whole tables from the service.
TEST_CASE_METHOD(StartFixture, "A host without capacity reads a table from its relay")
{
    relay.snapshot("t", [](const auto &) {});
    relay.changes("t", 100, wait, [](const auto &) {});
    relay.onSubscribe(9, {{{"t", 100}}, true, true});
    relayStore.answer(changesOf(1000, 101, *relayStore.serviceTime));
    timers.advance(1s);
    relayLinks.updates.clear();

    start();
    CHECK(store.snapshots == 0);
    findRelays();
    carry();
    REQUIRE(read);
    CHECK(read->rows.size() == 1000);
    CHECK(read->next == 201);
    CHECK(read->serviceTime == relayStore.serviceTime);
    CHECK(store.snapshots == 0);
    // It continues from there and can serve subscribers itself.
    subscriber.changes("t", read->next, wait, [](const auto &) {});
    subscriber.onSubscribe(7, {{{"t", 0}}, true, true});
    REQUIRE(!links.updates.empty());
    CHECK(!links.updates.back().second.rowsOmitted);
    CHECK(links.updates.back().second.rows.size() > 10);
}

TEST_CASE_METHOD(StartFixture, "A host reads from the service when its relay can't send the table")
{
    SECTION("The relay has not read it")
    {
        start();
        findRelays();
        carry();
    }
    SECTION("The relay doesn't answer")
    {
        start();
        findRelays();
        timers.advance(1500ms);
    }
    SECTION("The relay falls silent between two parts")
    {
        relay.snapshot("t", [](const auto &) {});
        relay.changes("t", 100, wait, [](const auto &) {});
        relay.onSubscribe(9, {{{"t", 100}}, true, true});
        relayStore.answer(changesOf(1000, 101, *relayStore.serviceTime));
        timers.advance(1s);
        relayLinks.updates.clear();
        start();
        findRelays();
        relay.onSubscribe(1, std::get<inner::SubscribeTables>(links.sent.front().second));
        REQUIRE(relayLinks.updates.back().second.isPartial);
        subscriber.onUpdate("first", relayLinks.updates.back().second);
        CHECK(!read);
        timers.advance(1500ms);
    }
    SECTION("There is no relay")
    {
        start();
        timers.advance(8s);
    }
    CHECK(store.snapshots == 1);
    CHECK(read);
}

TEST_CASE_METHOD(StartFixture,
                 "A host without relays reads a table at once when its history has expired")
{
    start();
    timers.advance(8s);
    REQUIRE(store.snapshots == 1);
    subscriber.changes("t", 100, wait, [this](const auto &got) {
        REQUIRE(absl::IsOutOfRange(got.status()));
        start();
    });
    timers.advance(wait);
    REQUIRE(!store.polls.empty());
    store.answer(absl::OutOfRangeError("history expired"));
    timers.advance(10ms);
    CHECK(store.snapshots == 2);
}

// A service whose clock stands still confirms nothing.
TEST_CASE_METHOD(Fixture, "A state that no answer confirms is read at the pace of a relay")
{
    // Enough that the host always finds one that has not been silent.
    std::vector<decision::RelayCandidate> all;
    for (int i = 0; i < 60; ++i)
        all.push_back({"relay-" + std::to_string(i), "zone"});
    setCandidates(all);
    services::TableChanges unchanged;
    unchanged.next = 100;
    unchanged.serviceTime = store.serviceTime;
    const Instant end = timers.now() + 60s;
    while (timers.now() < end) {
        timers.advance(10ms);
        if (store.answer)
            std::exchange(store.answer, nullptr)(unchanged);
    }
    CHECK(store.polls.size() > 2);
    CHECK(store.polls.size() <= std::size_t(60s / decision::relayPollWait(wait)));
}

TEST_CASE_METHOD(StartFixture, "Rows that change while a table is being sent are sent again")
{
    relay.snapshot("t", [](const auto &) {});
    relay.changes("t", 100, wait, [](const auto &) {});
    relay.onSubscribe(9, {{{"t", 100}}, true, true});
    relayStore.answer(changesOf(1000, 101, *relayStore.serviceTime));
    timers.advance(1s);
    relayLinks.updates.clear();
    start();
    findRelays();
    relay.onSubscribe(1, std::get<inner::SubscribeTables>(links.sent.front().second));
    subscriber.onUpdate("first", relayLinks.updates.back().second);
    links.sent.erase(links.sent.begin());
    relayLinks.updates.clear();
    services::TableChanges changes = changesOf(1, 300, *relayStore.serviceTime, 5);
    changes.changes.push_back({{"row1", "", "301"}, true});
    changes.next = 301;
    relay.changes("t", 201, wait, [](const auto &) {});
    relayStore.answer(changes);
    relayLinks.updates.clear();
    carry();
    REQUIRE(read);
    CHECK(read->next == 301);
    CHECK(read->rows.size() == 999);
    for (const services::TableRow &row : read->rows) {
        CHECK(row.key != "row1");
        if (row.key == "row0")
            CHECK(row.value == "xxxxx");
    }
}
