#include "bench/relaymodel.h"

#include "core/hosttimers.h"
#include "decision/pollpacer.h"
#include "host/tablerelay.h"
#include "inner/codec.h"
#include "services/storecircuitbreaker.h"
#include "services/tablefollower.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace kelptally::bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration storeDelay = 4ms;
constexpr Duration storeTimeout = 2s;
constexpr Duration linkDelay = 1ms;
constexpr Duration settleTime = 14s;
constexpr char owners[] = "owners";
constexpr char servers[] = "servers";
constexpr char configuration[] = "configuration";

// Simulated table service with long polls for changes.
class ModelTables
{
public:
    explicit ModelTables(ManualTimerService &timers) : timers_(timers) { }

    void put(const std::string &table, const std::string &key, std::string value)
    {
        rows_[table][key] = {key, std::move(value), std::to_string(++version_)};
        std::vector<std::function<void()>> woken;
        woken.swap(waiting_[table]);
        for (const auto &wake : woken)
            timers_.subscribeAfter(storeDelay / 2, wake);
    }

    services::TableSnapshot snapshot(const std::string &table)
    {
        services::TableSnapshot snapshot;
        for (const auto &[key, row] : rows_[table])
            snapshot.rows.push_back(row);
        snapshot.next = version_;
        snapshot.serviceTime = timers_.now().time_since_epoch();
        return snapshot;
    }

    services::TableChanges changes(const std::string &table, std::uint64_t after)
    {
        services::TableChanges changes;
        for (const auto &[key, row] : rows_[table])
            if (std::strtoull(row.etag.c_str(), nullptr, 10) > after)
                changes.changes.push_back({row, false});
        std::sort(changes.changes.begin(), changes.changes.end(), [](const auto &a, const auto &b) {
            return std::strtoull(a.row.etag.c_str(), nullptr, 10)
                < std::strtoull(b.row.etag.c_str(), nullptr, 10);
        });
        changes.next = version_;
        changes.serviceTime = timers_.now().time_since_epoch();
        return changes;
    }

    void awaitChange(const std::string &table, std::function<void()> wake)
    {
        waiting_[table].push_back(std::move(wake));
    }

private:
    ManualTimerService &timers_;
    std::uint64_t version_ = 0;
    std::map<std::string, std::map<std::string, services::TableRow>> rows_;
    std::map<std::string, std::vector<std::function<void()>>> waiting_;
};

class Model;

// One host: the real followers, TableRelay and StoreCircuitBreaker on its own timers.
struct Host : public services::TableService,
              public services::TableFeed,
              public host::TableRelay::Links
{
    Host(Model &theModel, int index, std::uint64_t seed);
    ~Host() override { *timers.alive = false; }

    void start();

    // TableService and TableFeed; only changes() and snapshot() are implemented.
    template <typename Result>
    void call(std::function<Result()> work, std::function<void(absl::StatusOr<Result>)> callback);
    void read(const std::string &, const std::string &, services::RowCallback callback) override
    {
        callback(absl::UnimplementedError("not in this model"));
    }
    void list(const std::string &, const std::string &, services::RowsCallback callback) override
    {
        callback(absl::UnimplementedError("not in this model"));
    }
    void write(std::vector<services::ConditionalWrite>, services::WriteCallback callback) override
    {
        callback(absl::UnimplementedError("not in this model"));
    }
    void snapshot(const std::string &table, services::SnapshotCallback callback) override;
    void changes(const std::string &table, std::uint64_t after, Duration wait,
                 services::ChangesCallback callback) override;

    // TableRelay::Links
    void connect(const std::string &to) override;
    void drop(const std::string &to) override;
    absl::Status sendTo(const std::string &to, inner::Message message) override;
    absl::Status sendOn(inner::LinkId link, inner::Message message) override;
    bool isSameZone(inner::LinkId link) const override;
    void onMessage(inner::LinkId link, const inner::Message &message);
    void dial(const std::string &to);

    void onOwner(const services::TableRow &row);
    void onVersion(std::map<std::string, int> &seen, const services::TableRow &row);
    // Whether the host is up and has had no fault since this instant.
    bool isUnaffected(Instant since) const { return up && faultedUntil < since; }

    Model &model;
    HostTimers timers;
    const std::string address;
    const std::string zone;
    std::minstd_rand random;
    bool up = true;
    bool cutFromStore = false;
    Instant faultedUntil {};
    Metrics metrics;
    std::unique_ptr<services::StoreCircuitBreaker> breaker;
    std::unique_ptr<host::TableRelay> tableRelay;
    std::vector<std::unique_ptr<services::TableFollower>> followers;
    decision::RelayOrder relayOrder;
    std::map<std::string, int> configurations;
    std::map<std::string, int> serverStates;
    // Links by the peer's address, and addresses by link.
    std::map<std::string, int> wantedLinks;
    std::map<std::string, inner::LinkId> links;
    std::map<inner::LinkId, std::string> peersByLink;
    // Calls to the store in flight.
    std::map<std::uint64_t, std::function<void()>> openCalls;
    std::uint64_t lastCall = 0;
    Instant lastCallAt {};
};

class Model
{
public:
    Model(const RelayPlan &plan, std::uint64_t seed);

    RelayResult simulate();

    Host *find(const std::string &address)
    {
        const auto found = byAddress.find(address);
        return found == byAddress.end() ? nullptr : found->second;
    }
    void countCall()
    {
        ++callsBySecond[int((timers.now() - startedAt) / 1s)];
        ++(timers.now() - startedAt < settleTime ? result.callsAtStart : result.callsAfterStart);
    }

    const RelayPlan &plan;
    ManualTimerService timers;
    EventLog log;
    ModelTables tables {timers};
    std::mt19937_64 random;
    Instant startedAt;
    RelayResult result;
    std::map<int, int> callsBySecond;
    std::vector<std::unique_ptr<Host>> hosts;
    std::map<std::string, Host *> byAddress;
    inner::LinkId lastLink = 0;

private:
    void injectFault(const RelayFault &fault);
    void applyFault(Host &host, const RelayFault &fault);
    void writeVersion(const std::string &table, int version);
    void measurePropagation(const std::string &table, int version, Instant changed);
};

EventLogOptions errorsOnly()
{
    EventLogOptions options;
    options.level = LogLevel::Error;
    return options;
}

Host::Host(Model &theModel, int index, std::uint64_t seed)
    : model(theModel), timers(theModel.timers), address("host-" + std::to_string(index)),
      zone("zone-" + std::to_string(index % theModel.plan.zones)),
      random(static_cast<std::minstd_rand::result_type>(seed * 7919 + std::uint64_t(index) + 1))
{ }

void Host::start()
{
    const auto draw = [this] { return std::uniform_real_distribution<double>(0, 1)(random); };
    breaker = std::make_unique<services::StoreCircuitBreaker>(services::StoreCircuitBreaker::Parts {
        timers, *this, *this, model.log, metrics, storeTimeout,
        [this](std::function<void(bool)> callback) {
            timers.subscribeAfter(cutFromStore ? 150ms : 2ms,
                                  [this, callback] { callback(!cutFromStore); });
        },
        [this] {
            std::map<std::uint64_t, std::function<void()>> ended;
            ended.swap(openCalls);
            for (const auto &[id, end] : ended)
                end();
        },
        draw});
    tableRelay = std::make_unique<host::TableRelay>(host::TableRelay::Parts {
        timers, *breaker, *this, model.log, metrics, address, zone, owners, true, draw});
    const auto follow = [this](const char *table, Duration wait, auto onRow) {
        followers.push_back(std::make_unique<services::TableFollower>(
            services::TableFollower::Parts {timers, *tableRelay, model.log}, table, wait,
            services::TableFollower::Handlers {onRow, [](const std::string &) {}, [] {}}));
        followers.back()->start();
    };
    follow(owners, 20s, [this](const services::TableRow &row) { onOwner(row); });
    follow(servers, decision::pollWaitForLeaving(model.plan.leaveTime),
           [this](const services::TableRow &row) { onVersion(serverStates, row); });
    follow(configuration, decision::pollWaitWithin(model.plan.configurationTime),
           [this](const services::TableRow &row) { onVersion(configurations, row); });
}

// The row's value is the owner's address and zone.
void Host::onOwner(const services::TableRow &row)
{
    const std::size_t blank = row.value.find(' ');
    relayOrder.add({row.value.substr(0, blank), row.value.substr(blank + 1)});
    timers.post([this] { tableRelay->setCandidates(relayOrder); });
}

// The row's value is a version and padding.
void Host::onVersion(std::map<std::string, int> &seen, const services::TableRow &row)
{
    const int version = std::atoi(row.value.c_str());
    int &known = seen[row.key];
    if (version < known)
        model.result.violations.push_back(address + ": " + row.key + " went back from "
                                          + std::to_string(known) + " to "
                                          + std::to_string(version));
    known = version;
}

template <typename Result>
void Host::call(std::function<Result()> work, std::function<void(absl::StatusOr<Result>)> callback)
{
    const std::uint64_t id = ++lastCall;
    lastCallAt = model.timers.now();
    openCalls[id] = [callback] { callback(absl::DeadlineExceededError("no answer")); };
    if (!cutFromStore)
        model.countCall();
    model.timers.subscribeAfter(storeDelay / 2, [this, alive = timers.alive, id, work, callback] {
        if (!*alive || cutFromStore)
            return;
        const Result result = work();
        timers.subscribeAfter(storeDelay / 2, [this, id, result, callback] {
            if (!cutFromStore && openCalls.erase(id) != 0)
                callback(result);
        });
    });
}

void Host::snapshot(const std::string &table, services::SnapshotCallback callback)
{
    call<services::TableSnapshot>([this, table] { return model.tables.snapshot(table); },
                                  std::move(callback));
}

void Host::changes(const std::string &table, std::uint64_t after, Duration wait,
                   services::ChangesCallback callback)
{
    const std::uint64_t id = ++lastCall;
    lastCallAt = model.timers.now();
    openCalls[id] = [callback] { callback(absl::DeadlineExceededError("no answer")); };
    if (!cutFromStore)
        model.countCall();
    const auto answer = [this, alive = timers.alive, id, table, after, callback] {
        if (!*alive || cutFromStore)
            return;
        const services::TableChanges changes = model.tables.changes(table, after);
        timers.subscribeAfter(storeDelay / 2, [this, id, changes, callback] {
            if (!cutFromStore && openCalls.erase(id) != 0)
                callback(changes);
        });
    };
    model.timers.subscribeAfter(
        storeDelay / 2, [this, alive = timers.alive, table, after, wait, answer] {
            if (!*alive || cutFromStore)
                return;
            if (!model.tables.changes(table, after).changes.empty() || wait <= Duration(0))
                return answer();
            const auto answered = std::make_shared<bool>(false);
            const auto once = [answered, answer] {
                if (!*answered)
                    answer();
                *answered = true;
            };
            model.tables.awaitChange(table, once);
            model.timers.subscribeAfter(wait, once);
        });
}

void Host::connect(const std::string &to)
{
    if (++wantedLinks[to] == 1)
        dial(to);
}

void Host::drop(const std::string &to)
{
    if (--wantedLinks[to] == 0)
        wantedLinks.erase(to);
}

void Host::dial(const std::string &to)
{
    if (wantedLinks.count(to) == 0 || links.count(to) != 0)
        return;
    Host *other = model.find(to);
    if (other == nullptr || !other->up) {
        timers.subscribeAfter(100ms, [this, to] { dial(to); });
        return;
    }
    const inner::LinkId link = ++model.lastLink;
    links[to] = link;
    peersByLink[link] = to;
    other->peersByLink[link] = address;
    timers.subscribeAfter(2 * linkDelay, [this, to] { tableRelay->onLinkUp(to); });
}

absl::Status Host::sendTo(const std::string &to, inner::Message message)
{
    const auto link = links.find(to);
    if (link == links.end())
        return absl::UnavailableError("no link");
    return sendOn(link->second, std::move(message));
}

absl::Status Host::sendOn(inner::LinkId link, inner::Message message)
{
    const auto peer = peersByLink.find(link);
    if (peer == peersByLink.end())
        return absl::UnavailableError("no link");
    Host *other = model.find(peer->second);
    const auto bytes = inner::encode(message);
    // Frame and TCP/IP headers.
    constexpr std::uint64_t headers = 58;
    (other->zone == zone ? model.result.bytesWithinZones : model.result.bytesAcrossZones) +=
        headers + (bytes.ok() ? bytes->size() : 0);
    model.timers.subscribeAfter(linkDelay, [other, alive = other->timers.alive, link, message] {
        if (*alive && other->up)
            other->timers.post([other, link, message] { other->onMessage(link, message); });
    });
    return absl::OkStatus();
}

bool Host::isSameZone(inner::LinkId link) const
{
    const auto peer = peersByLink.find(link);
    return peer != peersByLink.end() && model.find(peer->second)->zone == zone;
}

void Host::onMessage(inner::LinkId link, const inner::Message &message)
{
    const auto peer = peersByLink.find(link);
    if (peer == peersByLink.end())
        return;
    if (const auto *request = std::get_if<inner::SubscribeTables>(&message))
        tableRelay->onSubscribe(link, *request);
    if (const auto *update = std::get_if<inner::TableUpdate>(&message))
        tableRelay->onUpdate(peer->second, *update);
}

Model::Model(const RelayPlan &thePlan, std::uint64_t seed)
    : plan(thePlan), log(errorsOnly()), random(seed), startedAt(timers.now())
{
    for (int i = 0; i < plan.hosts; ++i) {
        hosts.push_back(std::make_unique<Host>(*this, i, seed));
        byAddress[hosts.back()->address] = hosts.back().get();
    }
}

void Model::applyFault(Host &host, const RelayFault &fault)
{
    if (!host.up)
        return;
    const Instant until = timers.now() + fault.length;
    host.faultedUntil = until;
    switch (fault.kind) {
    case RelayFaultKind::Kill:
        host.up = false;
        *host.timers.alive = false;
        for (const auto &[link, to] : host.peersByLink) {
            Host *other = find(to);
            other->timers.subscribeAfter(linkDelay, [other, link = link, from = host.address] {
                other->peersByLink.erase(link);
                other->tableRelay->onLinkDown(link);
                if (other->links.count(from) != 0 && other->links[from] == link) {
                    other->links.erase(from);
                    other->dial(from);
                }
            });
        }
        break;
    case RelayFaultKind::Freeze:
        host.timers.frozenUntil = until;
        break;
    case RelayFaultKind::CutFromStore:
        host.cutFromStore = true;
        timers.subscribeAt(until, [&host] { host.cutFromStore = false; });
        break;
    }
}

// Applies the fault to one relay or to all.
void Model::injectFault(const RelayFault &fault)
{
    std::vector<Host *> relays;
    for (const auto &host : hosts)
        if (host->up && host->tableRelay->isRelay())
            relays.push_back(host.get());
    if (relays.empty())
        return;
    if (fault.affectsAll) {
        for (Host *relay : relays)
            applyFault(*relay, fault);
        return;
    }
    applyFault(*relays[random() % relays.size()], fault);
}

void Model::writeVersion(const std::string &table, int version)
{
    const std::size_t bytes =
        table == configuration ? std::size_t(plan.configurationBytes) : std::size_t(250);
    std::string value = std::to_string(version) + " ";
    value.resize(std::max(value.size(), bytes), 'x');
    tables.put(table, "row", value);
    const Instant changed = timers.now();
    const Duration bound = table == configuration ? plan.configurationTime : plan.leaveTime;
    // The first version is written before most hosts have found a relay.
    if (version > 1)
        measurePropagation(table, version, changed);
    timers.subscribeAfter(bound, [this, table, version, changed] {
        for (const auto &host : hosts) {
            const auto &seen = table == configuration ? host->configurations : host->serverStates;
            const auto known = seen.find("row");
            if (host->isUnaffected(changed) && (known == seen.end() || known->second < version))
                result.violations.push_back(host->address + " does not know version "
                                            + std::to_string(version) + " of " + table
                                            + " within its bound");
        }
    });
}

// Checks every 10 ms whether all unaffected hosts know the change.
void Model::measurePropagation(const std::string &table, int version, Instant changed)
{
    const bool allKnow = std::all_of(hosts.begin(), hosts.end(), [&](const auto &host) {
        const auto &seen = table == configuration ? host->configurations : host->serverStates;
        const auto known = seen.find("row");
        return !host->isUnaffected(changed) || (known != seen.end() && known->second >= version);
    });
    if (!allKnow && timers.now() - changed < plan.leaveTime) {
        timers.subscribeAfter(
            10ms, [this, table, version, changed] { measurePropagation(table, version, changed); });
        return;
    }
    Duration &maxDelay =
        table == configuration ? result.maxConfigurationDelay : result.maxServerDelay;
    maxDelay = std::max(maxDelay, timers.now() - changed);
}

RelayResult Model::simulate()
{
    std::uniform_real_distribution<double> draw(0, 1);
    for (const auto &host : hosts)
        timers.subscribeAfter(std::chrono::duration_cast<Duration>(plan.startSpread * draw(random)),
                              [&host] { host->start(); });
    // The configuration is written first, then groups get their owners one after another.
    timers.subscribeAfter(500ms, [this] { writeVersion(configuration, 1); });
    for (int i = 0; i < plan.groups; ++i)
        timers.subscribeAfter(1s + i * 2s / plan.groups, [this, i] {
            const Host &owner = *hosts[random() % hosts.size()];
            tables.put(owners, "group-" + std::to_string(i), owner.address + " " + owner.zone);
        });
    int version = 1;
    for (Duration at = settleTime - 2s; at + plan.leaveTime < plan.length;
         at += plan.changePeriod) {
        ++version;
        timers.subscribeAfter(at, [this, version] {
            writeVersion(configuration, version);
            writeVersion(servers, version);
        });
    }
    for (const RelayFault &fault : plan.faults)
        timers.subscribeAfter(fault.at, [this, fault] { injectFault(fault); });
    timers.advance(plan.length);
    const Duration after = plan.length - settleTime;
    result.callsPerSecond = result.callsAfterStart / (toMilliseconds(after) / 1000);
    for (const auto &[second, calls] : callsBySecond)
        result.maxCallsPerSecond = std::max(result.maxCallsPerSecond, calls);
    for (const auto &host : hosts)
        result.pollingHosts += host->up && timers.now() - host->lastCallAt < 10s ? 1 : 0;
    return result;
}

} // namespace

RelayResult simulateRelays(const RelayPlan &plan, std::uint64_t seed)
{
    Model model(plan, seed);
    return model.simulate();
}

} // namespace kelptally::bench
