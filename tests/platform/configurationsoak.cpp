#include "configurationsoak.h"

#include "core/json.h"
#include "fakeplatform.h"
#include "storepath.h"
#include "testhost.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace kelptally::platform {

namespace {

using namespace std::chrono_literals;

constexpr Duration readyLimit = 60s;
constexpr Duration probePeriod = 50ms;
constexpr Duration driverPeriod = 20ms;
// How many versions a route that was added stays in force.
constexpr int routeLifetime = 12;

std::string databaseOf(int change)
{
    return "added" + std::to_string(change);
}

void addRoute(JsonWriter &json, const std::string &database, int timeoutMs)
{
    json.beginObject().member("name", "r-" + database).member("database", database);
    json.member("prefix", "/").member("type", "primary").member("timeoutMs", timeoutMs);
    json.member("targetLatencyMs", 150).member("priority", 1).member("service", "cases");
    json.member("maxAttempts", 2).endObject();
}

// Each change adds a route, drops one and alters the time limits of all others.
std::string configurationText(int change, int routes)
{
    constexpr int versionStep = 3;
    JsonWriter json;
    json.beginObject().member("version", 1 + change * versionStep).key("routes").beginArray();
    addRoute(json, "main", 800);
    for (int i = 0; i < routes; ++i)
        addRoute(json, "permanent" + std::to_string(i), 700 + change);
    for (int i = std::max(0, change - routeLifetime + 1); i <= change; ++i)
        addRoute(json, databaseOf(i), 700);
    json.endArray().key("services").beginArray().beginObject();
    json.member("name", "cases").member("maxConns", 56).member("syncReplicas", 0).endObject();
    json.endArray().key("limits").beginObject().endObject().endObject();
    return json.take();
}

Duration milliseconds(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

// The changes of the configuration and the hosts' disturbances, shared by the driver and probes.
class Record
{
public:
    explicit Record(int hosts) : disturbedUntil_(std::size_t(hosts)) { }

    int sendChange()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        acknowledgedAt_.push_back(Instant::max());
        return int(acknowledgedAt_.size()) - 1;
    }
    void acknowledge(int change)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        acknowledgedAt_[std::size_t(change)] = BootClock::now();
    }
    int sentChanges() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return int(acknowledgedAt_.size());
    }
    // Instant::max() until the change is acknowledged.
    Instant acknowledgedAt(int change) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return change < int(acknowledgedAt_.size()) ? acknowledgedAt_[std::size_t(change)]
                                                    : Instant::max();
    }

    // Instant::max() while the disturbance lasts.
    void setDisturbed(int host, Instant until)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        disturbedUntil_[std::size_t(host)] = until;
    }
    Instant disturbedUntil(int host) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return disturbedUntil_[std::size_t(host)];
    }

    void addLate(LateAnswer answer)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        late_.push_back(std::move(answer));
    }
    std::vector<LateAnswer> takeLate()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return std::move(late_);
    }

private:
    mutable std::mutex mutex_;
    std::vector<Instant> acknowledgedAt_;
    std::vector<Instant> disturbedUntil_;
    std::vector<LateAnswer> late_;
};

// Asks one host for the databases that changes add and drop.
class Probe
{
public:
    Probe(Record &record, const TestHost &host, int index, const std::atomic<bool> &isOver)
        : record_(record), host_(host), index_(index), isOver_(isOver)
    { }

    void run()
    {
        for (int change = 0; !isOver_; ++change) {
            while (!isOver_ && record_.acknowledgedAt(change) == Instant::max())
                std::this_thread::sleep_for(probePeriod);
            // By turns, as a host that answers one by the new version answers the other, too.
            if (change % 2 == 0) {
                awaitAdded(change);
                awaitDropped(change);
            } else {
                awaitDropped(change);
                awaitAdded(change);
            }
        }
    }

    const LateAnswer &maxLateness() const { return maxLateness_; }

private:
    void awaitAdded(int change)
    {
        awaitSession(databaseOf(change), change, TestHost::Session::Open);
    }

    void awaitDropped(int change)
    {
        if (change >= routeLifetime)
            awaitSession(databaseOf(change - routeLifetime), change, TestHost::Session::Refused);
    }

    // Repeats until the host answers as the change demands, or a later change ends the demand.
    void awaitSession(const std::string &database, int change, TestHost::Session expected)
    {
        while (!isOver_ && record_.sentChanges() <= change + routeLifetime) {
            const Instant sent = BootClock::now();
            const TestHost::Session answer = host_.openSession(database);
            if (answer == expected)
                return;
            if (answer != TestHost::Session::Failed)
                add({host_.name(), database, answer == TestHost::Session::Refused, {}}, sent,
                    change);
            std::this_thread::sleep_for(probePeriod);
        }
    }

    void add(LateAnswer answer, Instant sent, int change)
    {
        const Instant disturbedUntil = record_.disturbedUntil(index_);
        const bool isOutdated = record_.sentChanges() > change + routeLifetime;
        if (disturbedUntil >= sent || isOutdated)
            return;
        answer.lateness = sent - std::max(record_.acknowledgedAt(change), disturbedUntil);
        if (answer.lateness > maxLateness_.lateness)
            maxLateness_ = answer;
        if (answer.lateness > configurationBound)
            record_.addLate(std::move(answer));
    }

    Record &record_;
    const TestHost &host_;
    const int index_;
    const std::atomic<bool> &isOver_;
    LateAnswer maxLateness_;
};

class Soak
{
public:
    explicit Soak(const ConfigurationSoakPlan &plan)
        : plan_(plan), random_(plan.seed), record_(plan.hosts)
    {
        for (int i = 0; i < plan.hosts; ++i) {
            paths_.push_back(std::make_unique<StorePath>(thread_, store_.port(),
                                                         i < plan.largeHosts ? 0 : plan.linkRate));
            const std::string zone(1, char('a' + i % plan.zones));
            hosts_.push_back(std::make_unique<TestHost>(
                TestHostOptions {"host-" + zone + "-" + std::to_string(i / plan.zones + 1),
                                 "zone-" + zone, i < plan.largeHosts ? "0.5" : "0.12",
                                 paths_.back()->port(), plan.folder, plan.program}));
            probes_.emplace_back(record_, *hosts_.back(), i, isOver_);
        }
    }

    ~Soak()
    {
        hosts_.clear();
        thread_.stop();
        serverThread_.stop();
    }

    ConfigurationSoakResult run()
    {
        startAll();
        std::vector<std::thread> threads;
        for (Probe &probe : probes_)
            threads.emplace_back([&probe] { probe.run(); });
        const Instant end = BootClock::now() + plan_.length;
        scheduleDisturbances();
        while (BootClock::now() < end) {
            runDueEvents();
            std::this_thread::sleep_for(driverPeriod);
        }
        // The last change and disturbance have their whole time.
        while (BootClock::now() < end + configurationBound + 2s) {
            runDueEvents(false);
            std::this_thread::sleep_for(driverPeriod);
        }
        isOver_ = true;
        for (std::thread &thread : threads)
            thread.join();
        result_.late = record_.takeLate();
        for (const Probe &probe : probes_)
            result_.maxOfHosts.push_back(probe.maxLateness());
        return result_;
    }

private:
    // Something that the driver does at a time. What ends a disturbance is done in any case.
    struct Event
    {
        std::function<void()> run;
        bool isEnd = false;
    };

    void startAll()
    {
        store_.put("op", "config", configurationText(0, plan_.routes));
        store_.put("servers", "i-1",
                   R"({"service":"cases","address":"127.0.0.1:)" + std::to_string(server_.port())
                       + R"(","zone":"zone-a","version":"v1","slots":3,"state":"ready",)"
                       + R"("warmupLeftMs":0,"dbRole":"primary","sequence":1,)"
                       + R"("born":1796255000123})");
        thread_.start();
        serverThread_.start();
        record_.acknowledge(record_.sendChange());
        for (const auto &host : hosts_)
            host->start();
        const Instant limit = BootClock::now() + readyLimit;
        for (const auto &host : hosts_)
            while (!host->isReady()) {
                if (BootClock::now() > limit)
                    throw std::runtime_error(host->name() + " does not become ready");
                std::this_thread::sleep_for(driverPeriod);
            }
        std::this_thread::sleep_for(3s);
        for (int i = 0; i < plan_.hosts; ++i)
            record_.setDisturbed(i, BootClock::now());
    }

    int draw(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }

    void schedule(Duration after, std::function<void()> run, bool isEnd = false)
    {
        events_.emplace(BootClock::now() + after, Event {std::move(run), isEnd});
    }

    void runDueEvents(bool withNew = true)
    {
        while (!events_.empty() && events_.begin()->first <= BootClock::now()) {
            const Event event = events_.begin()->second;
            events_.erase(events_.begin());
            if (withNew || event.isEnd)
                event.run();
        }
    }

    void scheduleDisturbances()
    {
        scheduleChange();
        if (plan_.silences)
            scheduleSilence();
        if (plan_.discardsHistory)
            scheduleDiscard();
        if (plan_.freezesOwners)
            scheduleFreezeOfOwners();
        if (plan_.cuts)
            scheduleHostDisturbance(
                3000, [this](int host) { cut(host, milliseconds(500 + draw(6000))); });
        if (plan_.freezes)
            scheduleHostDisturbance(
                3000, [this](int host) { freeze(host, milliseconds(300 + draw(3500))); });
        if (plan_.restarts)
            scheduleHostDisturbance(4000, [this](int host) { restart(host); });
    }

    void scheduleChange()
    {
        const bool isSeries = draw(3) != 0;
        schedule(milliseconds(isSeries ? 330 : draw(3000)), [this] {
            const int change = record_.sendChange();
            store_.put("op", "config", configurationText(change, plan_.routes));
            record_.acknowledge(change);
            ++result_.versions;
            scheduleChange();
        });
    }

    // A silence counts as a disturbance of all hosts.
    void scheduleSilence()
    {
        schedule(milliseconds(6500 + draw(3000)), [this] {
            const int every = 1 + draw(2);
            for (int i = 0; i < plan_.hosts; i += every)
                paths_[std::size_t(i)]->silence();
            for (int i = 0; i < plan_.hosts; ++i)
                if (!isDisturbed(i))
                    record_.setDisturbed(i, BootClock::now());
            ++result_.disturbances;
            if (plan_.cutsOwners)
                cutOwners();
            scheduleSilence();
        });
    }

    void cutOwners()
    {
        constexpr Duration length = 6s;
        for (int i = 0; i < plan_.hosts; ++i)
            if (!isDisturbed(i) && hosts_[std::size_t(i)]->ownsGroup())
                cut(i, length);
    }

    void scheduleDiscard()
    {
        schedule(milliseconds(1000 + draw(3000)), [this] {
            store_.discardHistory();
            scheduleDiscard();
        });
    }

    void scheduleFreezeOfOwners()
    {
        schedule(milliseconds(5500 + draw(2000)), [this] {
            const Duration length = milliseconds(2700 + draw(500));
            ++result_.disturbances;
            for (int i = 0; i < plan_.hosts; ++i)
                if (!isDisturbed(i) && hosts_[std::size_t(i)]->ownsGroup())
                    freeze(i, length);
            scheduleFreezeOfOwners();
        });
    }

    bool isDisturbed(int host) const { return record_.disturbedUntil(host) == Instant::max(); }

    void scheduleHostDisturbance(int maxGapMs, std::function<void(int)> begin)
    {
        schedule(milliseconds(500 + draw(maxGapMs)), [this, maxGapMs, begin] {
            const int host = draw(plan_.hosts);
            if (!isDisturbed(host)) {
                ++result_.disturbances;
                begin(host);
            }
            scheduleHostDisturbance(maxGapMs, begin);
        });
    }

    void endDisturbance(int host) { record_.setDisturbed(host, BootClock::now()); }

    void cut(int host, Duration length)
    {
        record_.setDisturbed(host, Instant::max());
        paths_[std::size_t(host)]->cut();
        schedule(
            length,
            [this, host] {
                paths_[std::size_t(host)]->heal();
                endDisturbance(host);
            },
            true);
    }

    void freeze(int host, Duration length)
    {
        record_.setDisturbed(host, Instant::max());
        hosts_[std::size_t(host)]->signal(SIGSTOP);
        schedule(
            length,
            [this, host] {
                hosts_[std::size_t(host)]->signal(SIGCONT);
                endDisturbance(host);
            },
            true);
    }

    // Kills the host or stops it gracefully, and starts it anew.
    void restart(int host)
    {
        record_.setDisturbed(host, Instant::max());
        const bool isGraceful = draw(2) == 0;
        if (isGraceful)
            hosts_[std::size_t(host)]->signal(SIGTERM);
        else
            hosts_[std::size_t(host)]->kill();
        schedule(
            milliseconds(300 + draw(2000)), [this, host] { startWhenEnded(host); }, true);
    }

    void startWhenEnded(int host)
    {
        TestHost &process = *hosts_[std::size_t(host)];
        if (process.isRunning()) {
            schedule(
                100ms, [this, host] { startWhenEnded(host); }, true);
            return;
        }
        process.start();
        endWhenReady(host);
    }

    void endWhenReady(int host)
    {
        if (hosts_[std::size_t(host)]->isReady())
            return endDisturbance(host);
        schedule(
            100ms, [this, host] { endWhenReady(host); }, true);
    }

    const ConfigurationSoakPlan plan_;
    std::mt19937_64 random_;
    Record record_;
    std::atomic<bool> isOver_ {false};
    DutyThread thread_ {"store"};
    DutyThread serverThread_ {"server"};
    FakeStore store_ {thread_};
    FakeServer server_ {serverThread_, "i-1"};
    std::vector<std::unique_ptr<StorePath>> paths_;
    std::vector<std::unique_ptr<TestHost>> hosts_;
    std::deque<Probe> probes_;
    std::multimap<Instant, Event> events_;
    ConfigurationSoakResult result_;
};

} // namespace

ConfigurationSoakResult runConfigurationSoak(const ConfigurationSoakPlan &plan)
{
    Soak soak(plan);
    return soak.run();
}

std::string describe(const ConfigurationSoakResult &result)
{
    std::vector<LateAnswer> answers = result.maxOfHosts;
    std::sort(answers.begin(), answers.end(),
              [](const LateAnswer &a, const LateAnswer &b) { return a.lateness > b.lateness; });
    const auto begun = std::count_if(result.late.begin(), result.late.end(),
                                     [](const LateAnswer &answer) { return !answer.wasRefused; });
    std::ostringstream text;
    text << result.versions << " versions, " << result.disturbances << " disturbances, "
         << result.late.size() << " answers past the bound, of them " << begun
         << " sessions begun; greatest lateness in ms:";
    constexpr std::size_t maxHosts = 6;
    for (std::size_t i = 0; i < std::min(maxHosts, answers.size()); ++i)
        text << " " << answers[i].host << " " << answers[i].lateness / 1ms << " ("
             << answers[i].database << (answers[i].wasRefused ? " refused)" : " begun)");
    if (!answers.empty())
        text << "; median " << answers[answers.size() / 2].lateness / 1ms;
    return text.str();
}

} // namespace kelptally::platform
