#include "core/manualtimerservice.h"
#include "host/hostprocess.h"

#include <catch2/catch.hpp>
#include <prometheus/counter.h>

// What one host does for one event must not grow with the deployment. A host with 3,000 servers and
// 1,000 groups before it walked over all groups for each server that it read, and over all that it
// owned for each of these: nine tenths of its processor time at a start, and it served nobody for
// as long. The entries that are walked over are counted, so that the verdict is the same
// everywhere.

using namespace kelptally;
using namespace std::chrono_literals;

namespace {

constexpr char zoneHere[] = "zone-0";
constexpr int zones = 3;

// The rows of a deployment with so many groups. Each has a primary and two replicas in three zones,
// and an owner on another host.
struct Rows : public services::TableService, public services::TableFeed
{
    explicit Rows(ManualTimerService &theTimers) : timers(theTimers) { }

    void read(const std::string &, const std::string &key, services::RowCallback callback) override
    {
        ++calls;
        timers.subscribeAfter(4ms, [this, key, callback = std::move(callback)] {
            const auto row = owners.find(key);
            callback(row == owners.end() ? std::nullopt : std::optional(row->second));
        });
    }
    void list(const std::string &, const std::string &, services::RowsCallback) override { }
    void write(std::vector<services::ConditionalWrite> writes,
               services::WriteCallback callback) override
    {
        ++calls;
        if (beforeWrite)
            std::exchange(beforeWrite, nullptr)();
        const auto status = apply(writes);
        const std::vector<std::string> tags(writes.size(), std::to_string(version));
        const bool lost = std::exchange(loseAnswer, false);
        timers.subscribeAfter(lost ? 2s : 4ms, [=, callback = std::move(callback)] {
            if (lost)
                return callback(absl::DeadlineExceededError("no answer"));
            if (!status.ok())
                return callback(status);
            callback(tags);
        });
    }
    absl::Status apply(const std::vector<services::ConditionalWrite> &writes)
    {
        for (const auto &write : writes) {
            const auto row = owners.find(write.key);
            const std::string tag = row == owners.end() ? std::string() : row->second.etag;
            if (tag != write.expectedEtag.value_or(""))
                return absl::FailedPreconditionError("changed");
        }
        ++version;
        for (const auto &write : writes)
            owners[write.key] = {write.key, write.value, std::to_string(version)};
        return absl::OkStatus();
    }
    void snapshot(const std::string &, services::SnapshotCallback callback) override
    {
        ++calls;
        timers.subscribeAfter(4ms, [this, callback = std::move(callback)] {
            services::TableSnapshot snapshot;
            for (const auto &[key, row] : owners)
                snapshot.rows.push_back(row);
            snapshot.next = version;
            snapshot.serviceTime = timers.now().time_since_epoch();
            callback(std::move(snapshot));
        });
    }
    // One that may stay open is answered by change(), or after its time.
    void changes(const std::string &, std::uint64_t after, Duration wait,
                 services::ChangesCallback callback) override
    {
        ++calls;
        if (historyGone && wait == Duration(0)) {
            timers.subscribeAfter(4ms, [callback = std::move(callback)] {
                callback(absl::OutOfRangeError("the history is gone"));
            });
            return;
        }
        if (wait == Duration(0)) {
            timers.subscribeAfter(4ms, [this, after, callback = std::move(callback)] {
                callback(changesAfter(after));
            });
            return;
        }
        open = std::move(callback);
        const int asked = ++questions;
        timers.subscribeAfter(wait, [this, after, asked] {
            if (open && asked == questions)
                std::exchange(open, nullptr)(changesAfter(after));
        });
    }
    services::TableChanges changesAfter(std::uint64_t after) const
    {
        services::TableChanges changes;
        for (const auto &[key, row] : owners)
            if (std::stoull(row.etag) > after)
                changes.changes.push_back({row, false});
        changes.next = version;
        changes.serviceTime = timers.now().time_since_epoch();
        return changes;
    }

    void own(const GroupName &group, const std::string &address, OwnerEpoch epoch)
    {
        group::OwnershipRecord record;
        record.epoch = epoch;
        record.owner = {address, 1};
        record.zone = "zone-1";
        owners[group] = {group, group::encodeOwnership(record), std::to_string(++version)};
    }
    void change(const GroupName &group)
    {
        REQUIRE(open);
        services::TableChanges changes;
        changes.changes.push_back({owners.at(group), false});
        changes.next = version;
        changes.serviceTime = timers.now().time_since_epoch();
        std::exchange(open, nullptr)(std::move(changes));
    }

    ManualTimerService &timers;
    std::map<std::string, services::TableRow> owners;
    std::uint64_t version = 0;
    services::ChangesCallback open;
    int questions = 0;
    int calls = 0;
    // Runs before the next write takes effect.
    std::function<void()> beforeWrite;
    // Of the next write.
    bool loseAnswer = false;
    bool historyGone = false;
};

// One host with everything around it silent.
struct LoneHost : public group::ServerConnector,
                  public group::PromotionService,
                  public host::CallerConnections
{
    struct Links : public inner::PeerLinks
    {
        void connect(const std::string &) override { }
        void drop(const std::string &) override { }
        void renew(const std::string &) override { }
        inner::LinkId linkTo(const std::string &) override { return 0; }
        absl::Status sendTo(const std::string &, inner::Message) override
        {
            return absl::UnavailableError("no link");
        }
        absl::Status sendOn(inner::LinkId link, inner::Message) override
        {
            ++sent[link];
            return absl::OkStatus();
        }
        std::map<inner::LinkId, int> sent;
    };

    explicit LoneHost(int theGroups, bool owned = true, double theProcessors = 0.12)
        : groups(theGroups), processors(theProcessors)
    {
        for (int i = 0; owned && i < groups; ++i)
            rows.own(nameOf(i), "10.0.1." + std::to_string(i % 200) + ":1", 1);
        start();
        timers.advance(1s);
    }

    // A new run of the process.
    void start()
    {
        settings::HostSettings settings;
        settings.host = "host";
        settings.zone = zoneHere;
        settings.address = "10.0.0.1";
        settings.peerPort = 1;
        settings.processors = processors;
        rows.calls = 0;
        process = std::make_unique<host::HostProcess>(
            settings,
            host::HostProcess::Ports {
                ++runs, timers,
                [this](const ProcessId &, const std::function<ConfigVersion()> &,
                       inner::PeerEvents &) -> absl::StatusOr<std::unique_ptr<inner::PeerLinks>> {
                    auto made = std::make_unique<Links>();
                    links = made.get();
                    return std::unique_ptr<inner::PeerLinks>(std::move(made));
                },
                [this](const std::string &endpoint, Duration,
                       std::function<void(ProbeOutcome)> done) {
                    // The store is there, and nobody else answers.
                    if (endpoint.empty())
                        timers.subscribeAfter(1ms, [done] { done(ProbeOutcome::Accepted); });
                },
                rows, rows, [] {}, *this, *this, log, metrics});
        REQUIRE(process->start(*this).ok());
    }

    static GroupName nameOf(int index) { return "group-" + std::to_string(index); }

    void connect(const group::ServerAddress &, const OrganisationName &, Duration,
                 group::ServerConnectCallback) override
    { }
    void promote(const GroupName &, const ServerName &, OwnerEpoch, Duration,
                 std::function<void(group::PromotionOutcome)>) override
    { }
    void stopAccepting() override { }
    void closeIdle(std::size_t) override { }
    std::size_t count() const override { return 0; }

    void configure(ConfigVersion version)
    {
        auto catalogue = std::make_shared<session::Catalogue>();
        catalogue->version = version;
        for (int i = 0; i < groups; ++i) {
            catalogue->groups[nameOf(i)].maxConnections = 30;
            catalogue->routes[nameOf(i)].group = nameOf(i);
        }
        process->onCatalogue(std::move(catalogue));
    }

    // The primary of each group is its first server, and each third one is near.
    void list(int groupIndex, int index, std::uint64_t sequence, bool leaving = false)
    {
        group::ListedServer server;
        server.run = {nameOf(groupIndex) + "-" + std::to_string(index), group::ServerStart(1000ms)};
        server.sequence = sequence;
        server.group = nameOf(groupIndex);
        server.endpoint = "10.1.0.1:" + std::to_string(1000 + groupIndex * 3 + index);
        server.zone = "zone-" + std::to_string((groupIndex + index) % zones);
        server.primary = index == 0;
        server.leaving = leaving;
        process->servers().onListed(server);
    }
    void listAll()
    {
        for (int i = 0; i < groups; ++i)
            for (int index = 0; index < 3; ++index)
                list(i, index, 1);
    }

    double scannedEntries()
    {
        double sum = 0;
        for (const char *part : {"servers", "owners", "retold_groups"})
            sum += metrics.scannedEntries(part).Value();
        return sum;
    }
    // Of what is done now and in the second after.
    double visitsOf(const std::function<void()> &what)
    {
        const double before = scannedEntries();
        what();
        timers.advance(1s);
        return scannedEntries() - before;
    }

    const int groups;
    const double processors;
    Incarnation runs = 0;
    ManualTimerService timers;
    Rows rows {timers};
    EventLog log {[] {
        EventLogOptions options;
        options.level = LogLevel::Error;
        return options;
    }()};
    Metrics metrics;
    std::unique_ptr<host::HostProcess> process;
    Links *links = nullptr;
};

// A host that owns all the groups, as it has started again.
struct OwnerHost : public LoneHost
{
    explicit OwnerHost(int theGroups) : LoneHost(theGroups, false, 1)
    {
        for (int i = 0; i < groups; ++i)
            rows.own(nameOf(i), "10.0.0.1:1", 5);
    }

    group::OwnershipTable &ownership() { return process->groups().ownership(); }
};

// What is still done for one event, whatever the size: the servers of one group, and a few steps.
constexpr double fewVisits = 30;

} // namespace

TEST_CASE("A start takes work in proportion to what there is")
{
    for (const bool owned : {true, false}) {
        for (const int groups : {10, 100, 1000}) {
            CAPTURE(owned, groups);
            LoneHost host(groups, owned);
            const double scannedEntries = host.visitsOf([&] {
                host.configure(1);
                host.listAll();
            });
            CHECK(scannedEntries <= fewVisits * groups);
        }
    }
}

TEST_CASE("The servers may be known before the configuration")
{
    for (const int groups : {10, 1000}) {
        CAPTURE(groups);
        LoneHost host(groups);
        CHECK(host.visitsOf([&] {
            host.listAll();
            host.configure(1);
        }) <= fewVisits * groups);
    }
}

TEST_CASE("What one change costs does not grow with the deployment")
{
    const int groups = GENERATE(10, 100, 1000);
    CAPTURE(groups);
    LoneHost host(groups);
    host.configure(1);
    host.listAll();
    // The host asks for changes by itself, as it hears no other.
    host.timers.advance(25s);

    SECTION("A server that leaves")
    {
        CHECK(host.visitsOf([&] { host.list(3, 1, 2, true); }) <= fewVisits);
    }
    SECTION("A configuration that names the same groups")
    {
        CHECK(host.visitsOf([&] { host.configure(2); }) <= fewVisits);
    }
    SECTION("An owner that takes a group from another one")
    {
        host.rows.own(host.nameOf(3), "10.0.1.7:1", 2);
        CHECK(host.visitsOf([&] { host.rows.change(host.nameOf(3)); }) <= fewVisits);
    }
    SECTION("A link to another host")
    {
        inner::Hello hello;
        hello.process = {"10.0.1.9:1", 1};
        CHECK(host.visitsOf([&] { host.process->onPeerUp(1, hello); }) <= fewVisits);
    }
    SECTION("Nothing")
    {
        CHECK(host.visitsOf([&] { host.timers.advance(10s); }) <= fewVisits);
    }
}

// The store takes some thousand calls a second from all hosts together, one write to the table
// after the other, and each is paid for. With a read and a write for each group that is claimed,
// and a read each 2.5 s for each that is owned, 1,000 groups came back seconds after their hosts.
TEST_CASE("Calls to the store do not grow with the groups that a host owns")
{
    const int groups = GENERATE(10, 100, 1000);
    CAPTURE(groups);
    LoneHost host(groups, false, 1);
    host.configure(1);
    host.listAll();
    const int atStart = host.rows.calls;
    host.timers.advance(10s);
    // Groups whose primary is near.
    CHECK(int(host.process->groups().ownership().owned().size()) >= groups / zones);
    INFO(host.rows.calls - atStart);
    CHECK(host.rows.calls - atStart <= 20 + groups / 50);

    // In calm times a question each 2.5 s, and what the news of the table take.
    host.timers.advance(20s);
    const int before = host.rows.calls;
    host.timers.advance(10s);
    CHECK(host.rows.calls - before <= 8);
    for (const GroupName &group : host.process->groups().ownership().owned())
        CHECK(toMilliseconds(host.process->groups().ownership().leaseLeft(group)) > 8000);
}

TEST_CASE("All groups of a host that starts again are claimed with few calls")
{
    const int groups = GENERATE(10, 100, 1000);
    CAPTURE(groups);
    OwnerHost host(groups);
    host.start();
    host.timers.advance(500ms);
    CHECK(int(host.ownership().owned().size()) == groups);
    CHECK(host.rows.calls <= 6 + 2 * groups / 100);
}

TEST_CASE("A group that another host claims first keeps no other from being claimed with it")
{
    OwnerHost host(50);
    host.rows.beforeWrite = [&] { host.rows.own(host.nameOf(7), "10.0.1.7:1", 6); };
    host.start();
    host.timers.advance(500ms);
    CHECK(host.ownership().owned().size() == 49);
    CHECK(!host.ownership().owns(host.nameOf(7)));
    CHECK(host.ownership().record(host.nameOf(7))->epoch == 6);
    CHECK(host.rows.calls <= 10);
}

TEST_CASE("Claims that were made together without an answer are settled one by one")
{
    OwnerHost host(50);
    host.rows.loseAnswer = true;
    host.start();
    host.timers.advance(4s);
    CHECK(host.ownership().owned().size() == 50);
    for (const GroupName &group : host.ownership().owned()) {
        CHECK(host.ownership().record(group)->epoch == 6);
        CHECK(host.ownership().hasLease(group));
    }
}

TEST_CASE("One question for all leases ends those whose row names another owner, and no other")
{
    OwnerHost host(50);
    host.start();
    host.timers.advance(4s);
    REQUIRE(host.ownership().owned().size() == 50);
    // Its news tell nothing of it: the question that is open there stays open.
    host.rows.own(host.nameOf(7), "10.0.1.7:1", 7);
    host.timers.advance(2600ms);
    CHECK(!host.ownership().owns(host.nameOf(7)));
    CHECK(host.ownership().owned().size() == 49);
    for (const GroupName &group : host.ownership().owned())
        CHECK(toMilliseconds(host.ownership().leaseLeft(group)) > 9000);
}

TEST_CASE("Leases last though the history that proves them together is gone")
{
    OwnerHost host(20);
    host.start();
    host.timers.advance(1s);
    REQUIRE(host.ownership().owned().size() == 20);
    host.rows.historyGone = true;
    host.timers.advance(20s);
    CHECK(host.ownership().owned().size() == 20);
    for (const GroupName &group : host.ownership().owned())
        CHECK(host.ownership().hasLease(group));
}

// Each entry that waits for an answer of a lost owner asks other processes who owns the group now,
// and an owner that needs another host for a group offers it: once to all that it had links with.
TEST_CASE("Questions to other processes do not grow with the links")
{
    const int peers = GENERATE(3, 10, 100, 900);
    CAPTURE(peers);
    OwnerHost host(3);
    host.start();
    host.timers.advance(1s);
    REQUIRE(host.ownership().owned().size() == 3);
    for (int i = 1; i <= peers; ++i) {
        inner::Hello hello;
        hello.process = {"10.0.2." + std::to_string(i) + ":1", 1};
        host.process->onPeerUp(inner::LinkId(i), hello);
    }
    const auto messages = [&] {
        int sum = 0;
        for (const auto &[link, count] : host.links->sent)
            sum += count;
        return sum;
    };

    host.ownership().refreshOwner("group-0");
    CHECK(messages() >= std::min(peers, 5));
    CHECK(messages() <= 10);
    host.links->sent.clear();
    host.ownership().requestTakeOver("group-0", "", "test");
    CHECK(messages() >= std::min(peers, 5));
    CHECK(messages() <= 30);
    // Who asks on comes to all of them.
    for (int i = 0; i < 60; ++i) {
        host.timers.advance(500ms);
        host.ownership().requestTakeOver("group-0", "", "test");
    }
    CHECK(int(host.links->sent.size()) == peers);
}

// A third of the hosts was turned away by the store for nine seconds: their groups were claimed one
// by one, 1,833 claims in two seconds were refused, as the table takes 200 writes a second.
TEST_CASE("Groups that their owner offers at one moment are claimed together")
{
    LoneHost host(50, true, 1);
    host.timers.advance(5s);
    host.rows.calls = 0;
    auto &ownership = host.process->groups().ownership();
    for (int i = 0; i < host.groups; ++i)
        ownership.onTakeOverRequested(host.nameOf(i), 1);
    host.timers.advance(1s);
    CHECK(ownership.owned().size() == 50);
    CHECK(host.rows.calls <= 40);
    for (int i = 0; i < host.groups; ++i) {
        // The owner before may act on, and the row says so.
        CHECK(ownership.record(host.nameOf(i))->epoch == 2);
        CHECK(!ownership.isSoleOwner(host.nameOf(i)));
    }
}

// One look serves for all claims of a start, so its failure must not end them all.
TEST_CASE("A host that starts again claims its groups though the first look fails")
{
    OwnerHost host(50);
    host.rows.historyGone = true;
    host.start();
    host.timers.advance(200ms);
    REQUIRE(host.ownership().owned().empty());
    host.rows.historyGone = false;
    host.timers.advance(2s);
    CHECK(host.ownership().owned().size() == 50);
}

TEST_CASE("A row that can't be read prolongs no lease, and no other row's lease suffers")
{
    OwnerHost host(20);
    host.start();
    host.timers.advance(4s);
    REQUIRE(host.ownership().owned().size() == 20);
    host.rows.owners[host.nameOf(7)] = {host.nameOf(7), "no record",
                                        std::to_string(++host.rows.version)};
    host.timers.advance(3s);
    for (const GroupName &group : host.ownership().owned()) {
        const double left = toMilliseconds(host.ownership().leaseLeft(group));
        CHECK((left > 9000) == (group != host.nameOf(7)));
    }
}
