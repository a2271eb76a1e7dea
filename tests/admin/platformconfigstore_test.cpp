#include "admin/platformconfigstore.h"

#include "platformfixture.h"

using namespace kelptally;
using namespace kelptally::admin;
using namespace kelptally::services;
using namespace std::chrono_literals;

namespace {

// A config store connected to the platform stand-in.
class StoreFixture : public PlatformFixture
{
public:
    explicit StoreFixture(Duration timeout = 30s)
        : store(std::make_unique<PlatformConfigStore>(thread.timers(),
                                                      makeTableService(thread, address, timeout),
                                                      makeObjectStore(thread, address, timeout)))
    { }

    ~StoreFixture() { thread.stop(); }

    absl::StatusOr<ConfigApplied> apply(ConfigVersion expected, const std::string &changeId,
                                        const std::string &document)
    {
        return wait<absl::StatusOr<ConfigApplied>>([&](ConfigApplyCallback done) {
            store->apply(expected, {0, "ann", changeId, "2026-12-02T16:00:00Z", document},
                         std::move(done));
        });
    }

    absl::StatusOr<std::optional<ConfigRecord>> readNewest()
    {
        return wait<absl::StatusOr<std::optional<ConfigRecord>>>(
            [&](ConfigRecordCallback done) { store->readNewest(std::move(done)); });
    }

    absl::StatusOr<std::vector<ConfigRecord>> readHistory(std::size_t limit)
    {
        return wait<absl::StatusOr<std::vector<ConfigRecord>>>(
            [&](ConfigHistoryCallback done) { store->readHistory(limit, std::move(done)); });
    }

    // Waits until the snapshot, which is written after the apply is answered, has this version.
    ConfigRecord awaitSnapshot(ConfigVersion version)
    {
        absl::StatusOr<std::optional<ConfigRecord>> record;
        do {
            record = wait<absl::StatusOr<std::optional<ConfigRecord>>>(
                [&](ConfigRecordCallback done) { store->readSnapshot(std::move(done)); });
        } while (!record.ok() || !*record || (*record)->version < version);
        return **record;
    }

    std::unique_ptr<PlatformConfigStore> store;
};

} // namespace

TEST_CASE("accepted versions are numbered, stored and copied to the snapshot")
{
    StoreFixture fixture;
    CHECK(fixture.readNewest()->has_value() == false);
    CHECK(fixture.readHistory(10)->empty());
    for (ConfigVersion expected = 0; expected < 3; ++expected) {
        const std::string number = std::to_string(expected + 1);
        const auto applied = fixture.apply(expected, "id" + number, "document " + number);
        REQUIRE(applied.ok());
        CHECK(applied->accepted);
        CHECK(applied->version == expected + 1);
    }
    const auto newest = fixture.readNewest();
    REQUIRE(newest.ok());
    REQUIRE(newest->has_value());
    CHECK((*newest)->version == 3);
    CHECK((*newest)->document == "document 3");
    CHECK((*newest)->author == "ann");
    const auto history = fixture.readHistory(2);
    REQUIRE(history.ok());
    REQUIRE(history->size() == 2);
    CHECK((*history)[0].version == 3);
    CHECK((*history)[1].changeId == "id2");
    CHECK((*history)[1].document.empty());
    CHECK(fixture.awaitSnapshot(3).document == "document 3");
}

TEST_CASE("an apply on an older version is a conflict that reports the newest version")
{
    StoreFixture fixture;
    REQUIRE(fixture.apply(0, "a", "one").ok());
    REQUIRE(fixture.apply(1, "b", "two").ok());
    const auto late = fixture.apply(0, "c", "other");
    REQUIRE(late.ok());
    CHECK_FALSE(late->accepted);
    CHECK(late->version == 2);
    CHECK((*fixture.readNewest())->document == "two");
    // A retry with the change id of an apply that was accepted.
    const auto repeated = fixture.apply(0, "a", "one");
    REQUIRE(repeated.ok());
    CHECK(repeated->accepted);
    CHECK(repeated->version == 1);
}

TEST_CASE("of concurrent applies one is accepted and the others are conflicts")
{
    StoreFixture fixture;
    std::promise<void> all;
    std::vector<absl::StatusOr<ConfigApplied>> results;
    boost::asio::post(fixture.thread.context(), [&] {
        for (int i = 0; i < 8; ++i)
            fixture.store->apply(0, {0, "ann", std::to_string(i), "", std::to_string(i)},
                                 [&](absl::StatusOr<ConfigApplied> applied) {
                                     results.push_back(std::move(applied));
                                     if (results.size() == 8)
                                         all.set_value();
                                 });
    });
    all.get_future().get();
    int accepted = 0;
    for (const auto &result : results) {
        REQUIRE(result.ok());
        CHECK(result->version == 1);
        accepted += result->accepted ? 1 : 0;
    }
    CHECK(accepted == 1);
}

TEST_CASE("an apply whose answer is lost is accepted once")
{
    StoreFixture fixture;
    fixture.setFaults(R"({"service":"tables","loseAnswers":1})");
    const auto applied = fixture.apply(0, "a", "one");
    REQUIRE(applied.ok());
    CHECK(applied->accepted);
    CHECK(applied->version == 1);
    CHECK(fixture.readHistory(10)->size() == 1);
}

TEST_CASE("an apply succeeds once the store is back")
{
    StoreFixture fixture;
    fixture.setFaults(R"({"service":"tables","outage":"refuse"})");
    std::promise<absl::StatusOr<ConfigApplied>> promise;
    boost::asio::post(fixture.thread.context(), [&] {
        fixture.store->apply(
            0, {0, "ann", "a", "", "one"},
            [&](absl::StatusOr<ConfigApplied> applied) { promise.set_value(std::move(applied)); });
    });
    // Waits until the apply has failed to reach the store.
    while (fixture.request(HttpMethod::Get, "/counters").body.find(R"("tables":{"reads":0)")
           != std::string::npos) { }
    fixture.setFaults(R"({"service":"tables","outage":"none"})");
    const auto applied = promise.get_future().get();
    REQUIRE(applied.ok());
    CHECK(applied->accepted);
}

TEST_CASE("an outdated snapshot is updated by another process")
{
    StoreFixture fixture;
    REQUIRE(fixture.apply(0, "a", "one").ok());
    const auto old = fixture.awaitSnapshot(1);
    REQUIRE(fixture.apply(1, "b", "two").ok());
    fixture.awaitSnapshot(2);
    // Simulates that the process that applied version 2 died before it wrote the snapshot.
    const auto row = fixture.getObject(configSnapshotKey);
    REQUIRE(fixture.putObject({"", configSnapshotKey, *encodeConfigRow(old), (*row)->etag}).ok());
    boost::asio::post(fixture.thread.context(), [&] { fixture.store->updateSnapshot(2); });
    CHECK(fixture.awaitSnapshot(2).document == "two");
}

TEST_CASE(
    "the snapshot is written once the object store is back, and never replaced by an older one")
{
    StoreFixture fixture;
    fixture.setFaults(R"({"service":"objects","outage":"refuse"})");
    CHECK(fixture.apply(0, "a", "one")->accepted);
    CHECK(fixture.apply(1, "b", "two")->accepted);
    fixture.setFaults(R"({"service":"objects","outage":"none"})");
    CHECK(fixture.awaitSnapshot(2).document == "two");
    // A writer with an older version leaves the newer snapshot unchanged.
    fixture.wait<bool>([&](const std::function<void(bool)> &done) {
        SnapshotWriter *writer = new SnapshotWriter(fixture.thread.timers(), *fixture.objects);
        writer->update({1, "ann", "a", "", "one"});
        auto poll = std::make_shared<TimerId>();
        *poll = fixture.thread.timers().subscribeEvery(1ms, [&fixture, writer, poll, done] {
            if (!writer->idle())
                return;
            fixture.thread.timers().cancel(*poll);
            delete writer;
            done(true);
        });
    });
    CHECK(fixture.awaitSnapshot(1).version == 2);
}
