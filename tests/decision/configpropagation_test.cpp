#include "decision/configpropagation.h"

#include "core/manualtimerservice.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <memory>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

const Instant begin {1h};

template <typename T>
const T *onlyAction(const ConfigActions &actions)
{
    return actions.size() == 1 ? std::get_if<T>(&actions[0]) : nullptr;
}

template <typename T>
bool contains(const ConfigActions &actions)
{
    for (const ConfigAction &action : actions)
        if (std::holds_alternative<T>(action))
            return true;
    return false;
}

// Returns a process that has version 3 in force.
ConfigPropagation atVersionThree()
{
    ConfigPropagation propagation(1);
    propagation.start(begin);
    REQUIRE(onlyAction<ReadConfigDocument>(propagation.onNewestVersion(begin, 3)));
    REQUIRE(contains<InstallConfig>(propagation.onDocument(begin, 3, "three")));
    return propagation;
}

std::string documentOf(ConfigVersion version)
{
    return "document " + std::to_string(version);
}

// Simulates many linked processes and one store on a manual clock.
class Installation
{
public:
    struct Options
    {
        std::size_t processes = 16;
        std::size_t linksPerProcess = 4;
        // Probability that a notice is lost.
        double noticeLoss = 0;
    };

    explicit Installation(Options options) : options_(options), random_(7)
    {
        for (std::size_t i = 0; i < options.processes; ++i) {
            processes_.push_back(std::make_unique<Process>(i));
            processes_[i]->propagation.setProcessCount(options.processes);
        }
        for (std::size_t i = 0; i < options.processes; ++i)
            for (std::size_t n = 0; n < options.linksPerProcess / 2; ++n)
                link(i, random_() % options.processes);
        for (std::size_t i = 0; i < options.processes; ++i)
            start(i);
    }

    void accept(ConfigVersion version)
    {
        newest_ = version;
        acceptedAt_ = timers_.now();
        installTimes_.clear();
    }

    // Applies the newest version through this process.
    void applyAt(std::size_t i)
    {
        execute(i,
                processes_[i]->propagation.onDocument(timers_.now(), newest_, documentOf(newest_)));
    }

    void run(Duration time) { timers_.advance(time); }

    std::size_t installedCount() const { return installTimes_.size(); }
    Duration slowest() const { return installTimes_.empty() ? Duration(0) : installTimes_.back(); }
    Duration median() const { return installTimes_[installTimes_.size() / 2]; }
    std::size_t storeReads = 0;
    std::size_t documentReads = 0;
    std::size_t notices = 0;
    std::size_t snapshotUpdates = 0;

private:
    struct Process
    {
        explicit Process(std::size_t i) : propagation(i) { }
        ConfigPropagation propagation;
        std::vector<std::size_t> peers;
    };

    void link(std::size_t a, std::size_t b)
    {
        processes_[a]->peers.push_back(b);
        processes_[b]->peers.push_back(a);
    }

    void start(std::size_t i)
    {
        const Duration offset = 1ms * (random_() % 2000);
        timers_.subscribeAfter(offset, [this, i] {
            execute(i, processes_[i]->propagation.start(timers_.now()));
            timers_.subscribeEvery(ConfigPropagation::tickPeriod, [this, i] {
                execute(i, processes_[i]->propagation.onTick(timers_.now()));
            });
        });
    }

    void schedule(Duration delay, std::size_t i,
                  std::function<ConfigActions(ConfigPropagation &)> event)
    {
        timers_.subscribeAfter(delay, [this, i, event = std::move(event)] {
            execute(i, event(processes_[i]->propagation));
        });
    }

    void execute(std::size_t i, const ConfigActions &actions)
    {
        for (const ConfigAction &action : actions)
            std::visit([this, i](const auto &one) { execute(i, one); }, action);
    }

    void execute(std::size_t i, const ReadNewestConfigVersion &)
    {
        ++storeReads;
        schedule(storeLatency, i, [this](ConfigPropagation &propagation) {
            return propagation.onNewestVersion(timers_.now(), newest_);
        });
    }

    void execute(std::size_t i, const ReadConfigDocument &action)
    {
        ++documentReads;
        schedule(storeLatency, i, [this, version = action.version](ConfigPropagation &propagation) {
            return propagation.onDocument(timers_.now(), version, documentOf(version));
        });
    }

    void execute(std::size_t, const ReadConfigSnapshot &) { }

    void execute(std::size_t i, const FetchConfigFromPeer &action)
    {
        const ConfigVersion version = processes_[std::stoul(action.address)]->propagation.version();
        schedule(2 * linkLatency, i, [this, version](ConfigPropagation &propagation) {
            return propagation.onDocument(timers_.now(), version, documentOf(version));
        });
    }

    void execute(std::size_t i, const AnnounceConfig &action)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (const std::size_t peer : processes_[i]->peers) {
            ++notices;
            if (chance(random_) < options_.noticeLoss)
                continue;
            schedule(linkLatency, peer,
                     [this, i, version = action.version](ConfigPropagation &propagation) {
                         return propagation.onNotice(timers_.now(), std::to_string(i), version);
                     });
        }
    }

    void execute(std::size_t, const InstallConfig &action)
    {
        if (action.version == newest_)
            installTimes_.push_back(timers_.now() - acceptedAt_);
    }

    void execute(std::size_t, const ReportConfigMismatch &) { FAIL("mismatch"); }

    void execute(std::size_t, const UpdateConfigSnapshot &) { ++snapshotUpdates; }

    static constexpr Duration linkLatency = 1500us;
    static constexpr Duration storeLatency = 5ms;

    const Options options_;
    std::mt19937_64 random_;
    ManualTimerService timers_;
    std::vector<std::unique_ptr<Process>> processes_;
    ConfigVersion newest_ = 0;
    Instant acceptedAt_;
    // Time from acceptance to installation on each process, ascending.
    std::vector<Duration> installTimes_;
};

} // namespace

TEST_CASE("a starting process reads the newest version and its document")
{
    ConfigPropagation propagation(1);
    CHECK(onlyAction<ReadNewestConfigVersion>(propagation.start(begin)));
    const auto actions = propagation.onNewestVersion(begin + 1ms, 3);
    const auto *read = onlyAction<ReadConfigDocument>(actions);
    REQUIRE(read);
    CHECK(read->version == 3);
    const auto installed = propagation.onDocument(begin + 2ms, 3, "three");
    REQUIRE(installed.size() == 2);
    CHECK(std::get<InstallConfig>(installed[0]).document == "three");
    CHECK(std::get<AnnounceConfig>(installed[1]).version == 3);
    CHECK(propagation.version() == 3);
}

TEST_CASE("an empty store is polled again")
{
    ConfigPropagation propagation(1);
    propagation.start(begin);
    CHECK(propagation.onNewestVersion(begin, 0).empty());
    CHECK(propagation.onTick(begin + 1s).empty());
    CHECK(onlyAction<ReadNewestConfigVersion>(propagation.onTick(begin + 3s)));
    CHECK(propagation.version() == 0);
}

TEST_CASE("a process that starts without the store uses the snapshot and newer versions of peers")
{
    ConfigPropagation propagation(1);
    propagation.start(begin);
    CHECK(propagation.onTick(begin + 200ms).empty());
    CHECK(onlyAction<ReadConfigSnapshot>(propagation.onTick(begin + 600ms)));
    CHECK(contains<InstallConfig>(propagation.onDocument(begin + 601ms, 4, "four")));
    // A peer announces a newer version.
    const auto fetchActions = propagation.onNotice(begin + 700ms, "p", 6);
    REQUIRE(onlyAction<FetchConfigFromPeer>(fetchActions));
    CHECK(onlyAction<FetchConfigFromPeer>(fetchActions)->address == "p");
    CHECK(onlyAction<FetchConfigFromPeer>(fetchActions)->minVersion == 6);
    CHECK(contains<InstallConfig>(propagation.onDocument(begin + 701ms, 6, "six")));
    // A late snapshot is ignored.
    CHECK(propagation.onDocument(begin + 800ms, 4, "four").empty());
    CHECK(propagation.version() == 6);
}

TEST_CASE("the snapshot is read at once when the store fails, and again until a version is found")
{
    ConfigPropagation propagation(1);
    propagation.start(begin);
    CHECK(propagation.onStoreFailed(begin + 1ms).empty());
    CHECK(onlyAction<ReadConfigSnapshot>(propagation.onTick(begin + 2ms)));
    CHECK(propagation.onTick(begin + 500ms).empty());
    CHECK(onlyAction<ReadConfigSnapshot>(propagation.onTick(begin + 1100ms)));
}

TEST_CASE("a version is never replaced by a lower one from any source")
{
    ConfigPropagation propagation = atVersionThree();
    CHECK(propagation.onNotice(begin, "p", 2).empty());
    CHECK(propagation.onNewestVersion(begin, 2).empty());
    CHECK(propagation.onDocument(begin, 2, "two").empty());
    CHECK(propagation.onDocument(begin, 0, "").empty());
    CHECK(propagation.version() == 3);
}

TEST_CASE("a different document for the version in force is reported and not installed")
{
    ConfigPropagation propagation = atVersionThree();
    CHECK(propagation.onDocument(begin, 3, "three").empty());
    const auto actions = propagation.onDocument(begin, 3, "THREE");
    REQUIRE(onlyAction<ReportConfigMismatch>(actions));
    CHECK(onlyAction<ReportConfigMismatch>(actions)->version == 3);
}

TEST_CASE("one document is fetched at a time, and the next source is used when one fails")
{
    ConfigPropagation propagation = atVersionThree();
    CHECK(onlyAction<FetchConfigFromPeer>(propagation.onNotice(begin, "p", 4)));
    CHECK(propagation.onNotice(begin, "q", 4).empty());
    CHECK(propagation.onNewestVersion(begin, 4).empty());
    const auto second = propagation.onPeerFailed(begin, "p");
    REQUIRE(onlyAction<FetchConfigFromPeer>(second));
    CHECK(onlyAction<FetchConfigFromPeer>(second)->address == "q");
    CHECK(onlyAction<ReadConfigDocument>(propagation.onPeerFailed(begin, "q")));
    CHECK(propagation.onStoreFailed(begin).empty());
    // The next poll finds it again. By then the check of the snapshot of version 3 is due, too.
    const auto due = propagation.onTick(begin + 6s);
    CHECK(due.size() == 2);
    CHECK(contains<ReadNewestConfigVersion>(due));
    CHECK(contains<UpdateConfigSnapshot>(due));
    CHECK(onlyAction<ReadConfigDocument>(propagation.onNewestVersion(begin + 6s, 4)));
}

TEST_CASE("a peer that returns an older version than announced is not asked again")
{
    ConfigPropagation propagation = atVersionThree();
    REQUIRE(onlyAction<FetchConfigFromPeer>(propagation.onNotice(begin, "p", 9)));
    CHECK(propagation.onDocument(begin, 3, "three").empty());
    REQUIRE(onlyAction<FetchConfigFromPeer>(propagation.onNotice(begin, "p", 9)));
    const auto actions = propagation.onDocument(begin, 5, "five");
    CHECK(contains<InstallConfig>(actions));
    CHECK_FALSE(contains<FetchConfigFromPeer>(actions));
}

TEST_CASE("a newer version announced during a fetch is fetched next")
{
    ConfigPropagation propagation = atVersionThree();
    REQUIRE(onlyAction<FetchConfigFromPeer>(propagation.onNotice(begin, "p", 4)));
    CHECK(propagation.onNotice(begin, "q", 5).empty());
    const auto actions = propagation.onDocument(begin, 4, "four");
    CHECK(contains<InstallConfig>(actions));
    CHECK(contains<FetchConfigFromPeer>(actions));
}

TEST_CASE("the poll period grows with the number of processes to keep to the poll budget")
{
    ConfigPropagation propagation(1);
    propagation.setProcessCount(16);
    CHECK(propagation.pollPeriod() == 2s);
    propagation.setProcessCount(2600);
    CHECK(propagation.pollPeriod() == 13s);
}

TEST_CASE("no poll is sent while another is in flight")
{
    ConfigPropagation propagation(1);
    propagation.start(begin);
    for (Duration time = 1s; time < 20s; time += 1s)
        CHECK_FALSE(contains<ReadNewestConfigVersion>(propagation.onTick(begin + time)));
}

TEST_CASE("a few processes update the snapshot, whatever the number of processes")
{
    Installation small({2, 2, 0});
    Installation large({300, 6, 0});
    for (Installation *one : {&small, &large}) {
        one->run(10s);
        one->accept(1);
        one->applyAt(0);
        one->run(20s);
    }
    CHECK(small.snapshotUpdates == 2);
    CHECK(large.snapshotUpdates >= 1);
    CHECK(large.snapshotUpdates <= 10);
}

TEST_CASE("polling alone puts a version in force everywhere within three seconds")
{
    Installation installation({16, 4, 1.0});
    installation.run(5s);
    for (ConfigVersion version = 1; version <= 20; ++version) {
        installation.accept(version);
        installation.run(3s);
        CHECK(installation.installedCount() == 16);
    }
}

TEST_CASE("notices put a version in force on 300 processes within three seconds")
{
    Installation installation({300, 6, 0.1});
    installation.run(10s);
    installation.accept(1);
    installation.applyAt(0);
    installation.run(3s);
    CHECK(installation.installedCount() == 300);
    CHECK(installation.documentReads < 30);
}

// Prints the figures of docs/design/configuration.md.
TEST_CASE("time until a version is in force, by number of processes and notice loss", "[.measure]")
{
    std::cout
        << "processes links loss polls/s in-force median-ms slowest-ms documents-from-store\n";
    for (const auto &options : {Installation::Options {16, 4, 0},
                                {16, 4, 0.1},
                                {16, 4, 1},
                                {2600, 6, 0},
                                {2600, 6, 0.1},
                                {2600, 6, 0.5},
                                {2600, 6, 1}}) {
        Installation installation(options);
        installation.run(20s);
        installation.storeReads = 0;
        installation.run(20s);
        const std::size_t polls = installation.storeReads / 20;
        installation.accept(1);
        installation.applyAt(0);
        installation.run(20s);
        std::cout << options.processes << " " << options.linksPerProcess << " "
                  << options.noticeLoss << " " << polls << " " << installation.installedCount()
                  << " " << toMilliseconds(installation.median()) << " "
                  << toMilliseconds(installation.slowest()) << " " << installation.documentReads
                  << "\n";
    }
}
