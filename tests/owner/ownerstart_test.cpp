#include "ownercluster.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>
#include <set>

using namespace kelptally;
using namespace kelptally::owner;
using namespace std::chrono_literals;

namespace {

constexpr Duration answerTimeout = 5s;

// Redials without backoff and sends a request on each link as soon as it is up.
class EagerEntry : public inner::PeerEvents
{
public:
    explicit EagerEntry(const std::string &owner)
    {
        inner::PeerLinkOptions options = entryLinkOptions();
        options.reconnectMin = 1ms;
        options.reconnectMax = 1ms;
        auto links = inner::makePeerLinks(options, *this);
        REQUIRE(links.ok());
        links_ = std::move(*links);
        links_->connect(owner);
    }
    ~EagerEntry() override { links_.reset(); }

    // Waits for an answer on a link that came up after the given number of links. Returns false on
    // timeout.
    bool waitForAnswer(int linksBefore)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, answerTimeout,
                                 [&] { return linkCount_ > linksBefore && waiting_.empty(); });
    }

    int linkCount()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return linkCount_;
    }

    void onPeerUp(inner::LinkId link, const inner::Hello &) override
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            ++linkCount_;
            waiting_.insert(link);
        }
        inner::Execute execute = OwnerCluster::read("SELECT count(*) FROM offer");
        execute.requestId = link;
        REQUIRE(links_->sendOn(link, std::move(execute)).ok());
    }

    void onPeerMessage(inner::LinkId link, inner::Message message) override
    {
        if (std::holds_alternative<inner::ExecuteResult>(message))
            onEnded(link);
    }

    void onPeerDown(inner::LinkId link, const std::string &, const absl::Status &) override
    {
        onEnded(link);
    }

private:
    void onEnded(inner::LinkId link)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        waiting_.erase(link);
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    int linkCount_ = 0;
    // Links whose request has no answer yet.
    std::set<inner::LinkId> waiting_;
    std::unique_ptr<inner::PeerLinks> links_;
};

} // namespace

// A starting owner dropped what it received before its groups thread ran; the callers waited until
// their own timeouts.
TEST_CASE("A request that arrives while its owner starts is answered")
{
    OwnerCluster cluster(1);
    const std::string owner = cluster.addresses().front();
    std::vector<std::unique_ptr<EagerEntry>> entries;
    for (int i = 0; i < 8; ++i)
        entries.push_back(std::make_unique<EagerEntry>(owner));
    for (int round = 0; round < 40; ++round) {
        std::vector<int> before;
        for (const auto &entry : entries)
            before.push_back(entry->linkCount());
        cluster.crash(owner);
        cluster.restart(owner);
        for (std::size_t i = 0; i < entries.size(); ++i) {
            INFO("restart " << round << ", entry " << i);
            REQUIRE(entries[i]->waitForAnswer(before[i]));
        }
    }
}
