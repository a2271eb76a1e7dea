#include "freeport.h"
#include "inner/websocketlinks.h"
#include "ownercluster.h"

#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <dirent.h>
#include <fstream>
#include <iostream>
#include <thread>
#include <unistd.h>

// Measures owners in this process against simulated servers: owner_measure WHAT [COUNT], WHAT being
// failover, hung, crash, handover or load. docs/design/owner.md records the figures.

using namespace kelptally;
using namespace kelptally::owner;
using namespace std::chrono_literals;

namespace {

standin::ServerLimits remoteZoneLimits()
{
    standin::ServerLimits limits;
    limits.connectionCost = 12ms;
    limits.clientDelay = 1500us;
    limits.replicationDelay = 1500us;
    return limits;
}

struct Acknowledged
{
    Instant at;
    Duration elapsed {0};
    ServerName server;
};

// Writes rows one by one, each with a key, and records when each was acknowledged.
class Writer
{
public:
    explicit Writer(OwnerCluster &cluster) : cluster_(cluster), thread_([this] { run(); }) { }

    ~Writer()
    {
        stop_ = true;
        thread_.join();
    }

    // Waits for the first acknowledgement after this instant.
    Acknowledged firstAfter(Instant instant)
    {
        for (;;) {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                for (const Acknowledged &one : acknowledged_)
                    if (one.at > instant && one.server != ignoredServer_)
                        return one;
            }
            std::this_thread::sleep_for(1ms);
        }
    }

    // Ignores acknowledgements of this server from now on.
    void ignoreServer(const ServerName &server)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ignoredServer_ = server;
        acknowledged_.clear();
    }

    // Returns the maximum time between two acknowledgements since ignoreServer().
    Duration maxGap()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        Duration gap {0};
        for (std::size_t i = 1; i < acknowledged_.size(); ++i)
            gap = std::max(gap, acknowledged_[i].at - acknowledged_[i - 1].at);
        return gap;
    }

    std::uint64_t failed() const { return failed_; }

private:
    void run()
    {
        for (std::uint64_t i = 0; !stop_; ++i) {
            const std::string id = std::to_string(i);
            inner::Execute write =
                OwnerCluster::write("INSERT INTO offer(id, amount) VALUES ($1, 1)", {id});
            write.key = "key" + id;
            write.keyDigest = id;
            const Instant began = BootClock::now();
            const auto answer = cluster_.entry().execute(write);
            const Instant now = BootClock::now();
            if (answer.reason != Reason::None)
                ++failed_;
            const std::lock_guard<std::mutex> lock(mutex_);
            acknowledged_.push_back({now, now - began, answer.server});
        }
    }

    OwnerCluster &cluster_;
    std::atomic<bool> stop_ {false};
    std::atomic<std::uint64_t> failed_ {0};
    std::mutex mutex_;
    std::vector<Acknowledged> acknowledged_;
    ServerName ignoredServer_;
    std::thread thread_;
};

void print(const std::string &what, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const auto at = [&](double q) {
        return values[std::min(values.size() - 1, static_cast<std::size_t>(q * values.size()))];
    };
    std::cout << what << ": n=" << values.size() << " median=" << at(0.5) << "ms p90=" << at(0.9)
              << "ms p99=" << at(0.99) << "ms max=" << values.back() << "ms" << std::endl;
}

void measureFailover(int count, bool hang)
{
    OwnerCluster cluster(3, remoteZoneLimits());
    Writer writer(cluster);
    writer.firstAfter(BootClock::now());
    std::vector<double> gaps;
    for (int i = 0; i < count; ++i) {
        std::this_thread::sleep_for(300ms);
        const ServerName primary = cluster.primary();
        writer.ignoreServer(primary);
        const Instant began = BootClock::now();
        if (hang)
            cluster.pauseServer(primary, true);
        else
            cluster.kill(primary);
        gaps.push_back(toMilliseconds(writer.firstAfter(began).at - began));
        if (hang)
            cluster.pauseServer(primary, false);
        else
            cluster.restartServer(primary);
    }
    print(hang ? "write gap after a hung primary" : "write gap after a killed primary", gaps);
    std::cout << "writes failed: " << writer.failed() << std::endl;
}

void measureCrash(int count)
{
    OwnerCluster cluster(3, remoteZoneLimits());
    Writer writer(cluster);
    writer.firstAfter(BootClock::now());
    std::vector<double> gaps;
    for (int i = 0; i < count; ++i) {
        const std::string owner = cluster.waitForServingOwner();
        std::this_thread::sleep_for(1s);
        const Instant began = BootClock::now();
        cluster.crash(owner);
        writer.ignoreServer("");
        gaps.push_back(toMilliseconds(writer.firstAfter(began).at - began));
        cluster.restart(owner);
    }
    print("takeover after an owner's crash", gaps);
}

void measureHandOver(int count)
{
    OwnerCluster cluster(3, remoteZoneLimits());
    Writer writer(cluster);
    writer.firstAfter(BootClock::now());
    std::vector<double> handOverGaps;
    std::vector<double> baselineGaps;
    for (int i = 0; i < count; ++i) {
        const std::string owner = cluster.waitForServingOwner();
        // Lets successors be listed and open their connections.
        std::this_thread::sleep_for(4s);
        cluster.entry().takeRefusals();
        writer.ignoreServer("");
        std::this_thread::sleep_for(200ms);
        baselineGaps.push_back(toMilliseconds(writer.maxGap()));
        writer.ignoreServer("");
        inner::OperatorRequest drain;
        drain.command = inner::OperatorCommand::Drain;
        drain.group = testGroup;
        cluster.entry().operate(owner, drain);
        std::this_thread::sleep_for(500ms);
        handOverGaps.push_back(toMilliseconds(writer.maxGap()));
        for (const Reason reason : cluster.entry().takeRefusals())
            if (reason != Reason::NotOwner)
                std::cout << "refused: " << reasonInfo(reason).name << std::endl;
    }
    print("maximum time between acknowledgements, without a hand-over", baselineGaps);
    print("maximum time between acknowledgements, with a hand-over", handOverGaps);
    std::cout << "writes failed: " << writer.failed() << std::endl;
}

// Returns the CPU time of this process's threads of one name.
double threadSeconds(const std::string &name)
{
    double total = 0;
    DIR *tasks = opendir("/proc/self/task");
    while (const dirent *entry = tasks ? readdir(tasks) : nullptr) {
        std::ifstream stat(std::string("/proc/self/task/") + entry->d_name + "/stat");
        std::string text;
        std::getline(stat, text);
        const auto open = text.find('(');
        const auto close = text.rfind(')');
        if (open == std::string::npos || text.substr(open + 1, close - open - 1) != name)
            continue;
        std::istringstream rest(text.substr(close + 2));
        std::vector<std::string> fields;
        for (std::string field; rest >> field;)
            fields.push_back(field);
        total += (std::stod(fields[11]) + std::stod(fields[12])) / double(sysconf(_SC_CLK_TCK));
    }
    closedir(tasks);
    return total;
}

// Keeps a fixed number of requests in flight at one owner.
class Load : public inner::PeerEvents
{
public:
    Load(std::string owner, inner::Execute execute) : owner_(std::move(owner)), execute_(execute)
    {
        inner::PeerLinkOptions options = entryLinkOptions();
        options.host = "load";
        links_ = std::move(*inner::makePeerLinks(options, *this));
        links_->connect(owner_);
        while (!connected_)
            std::this_thread::sleep_for(1ms);
    }

    void start(int inFlight)
    {
        for (int i = 0; i < inFlight; ++i)
            send();
    }

    void end() { ended_ = true; }
    void close() { links_.reset(); }
    std::uint64_t done() const { return done_; }
    std::uint64_t refused() const { return refused_; }

    void onPeerUp(inner::LinkId, const inner::Hello &) override { connected_ = true; }
    void onPeerMessage(inner::LinkId, inner::Message message) override
    {
        const auto *result = std::get_if<inner::ExecuteResult>(&message);
        if (!result)
            return;
        ++(result->reason == Reason::None ? done_ : refused_);
        if (!ended_)
            send();
    }
    void onPeerDown(inner::LinkId, const std::string &, const absl::Status &) override { }

private:
    void send()
    {
        inner::Execute execute = execute_;
        execute.requestId = ++lastId_;
        if (!execute.readOnly)
            execute.parameters = {std::to_string(execute.requestId)};
        links_->sendTo(owner_, std::move(execute)).IgnoreError();
    }

    const std::string owner_;
    const inner::Execute execute_;
    std::unique_ptr<inner::PeerLinks> links_;
    std::atomic<bool> connected_ {false};
    std::atomic<bool> ended_ {false};
    std::atomic<std::uint64_t> lastId_ {0};
    std::atomic<std::uint64_t> done_ {0};
    std::atomic<std::uint64_t> refused_ {0};
};

void measureLoad(const std::string &what, const inner::Execute &execute, int inFlight)
{
    standin::ServerLimits limits = OwnerCluster::zeroConnectionCost();
    limits.slots = 16;
    OwnerCluster cluster(1, limits);
    settings::Inventory inventory = cluster.inventory();
    for (auto &server : inventory.groups.front().servers)
        server.slots = 8;
    cluster.install(2, inventory);
    const std::string owner = cluster.waitForServingOwner();
    Load load(owner, execute);
    load.start(inFlight);
    std::this_thread::sleep_for(1s);
    const std::uint64_t before = load.done();
    const double groups = threadSeconds("groups");
    const Instant began = BootClock::now();
    std::this_thread::sleep_for(3s);
    const double seconds = std::chrono::duration<double>(BootClock::now() - began).count();
    const double done = double(load.done() - before);
    const double groupsUsed = threadSeconds("groups") - groups;
    load.end();
    std::cout << what << ": " << done / seconds << " statements/s, groups thread "
              << groupsUsed / seconds << " cores, " << 1e6 * groupsUsed / done
              << " us a statement, refused " << load.refused() << std::endl;
    load.close();
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = getenv("OWNER_MEASURE_LOG") ? 0 : 2;
    google::InitGoogleLogging(argv[0]);
    const std::string what = argc > 1 ? argv[1] : "";
    const int count = argc > 2 ? std::stoi(argv[2]) : 100;
    if (what == "failover" || what == "hung")
        measureFailover(count, what == "hung");
    else if (what == "crash")
        measureCrash(count);
    else if (what == "handover")
        measureHandOver(count);
    else if (what == "load") {
        inner::Execute browse = OwnerCluster::read("SELECT 1");
        browse.statedAge = 10s;
        measureLoad("reads with a stated age", browse, count);
        measureLoad("writes", OwnerCluster::write("INSERT INTO offer(id, amount) VALUES ($1, 1)"),
                    count);
    } else {
        std::cerr << "usage: owner_measure failover|hung|crash|handover|load [COUNT]\n";
        return 2;
    }
    return 0;
}
