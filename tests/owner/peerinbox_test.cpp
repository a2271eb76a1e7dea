#include "fakeports.h"

#include "core/dutythread.h"
#include "owner/groupdirectory.h"
#include "owner/ownermetrics.h"
#include "owner/peerinbox.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace kelptally;
using namespace kelptally::owner;

namespace {

constexpr std::size_t inboxCapacity = 16;
constexpr inner::LinkId testLink = 1;

// Records the answers to requests.
struct RecordingLinks : public NoLinks
{
    absl::Status sendOn(inner::LinkId, inner::Message message) override
    {
        if (const auto *result = std::get_if<inner::ExecuteResult>(&message))
            answers.push_back(*result);
        return {};
    }

    std::vector<inner::ExecuteResult> answers;
};

} // namespace

// A starting owner dropped what it received before its groups thread ran; the callers waited until
// their own timeouts.
TEST_CASE("A request that arrives before the directory is connected is answered")
{
    DutyThread groups("groups");
    Metrics metrics;
    OwnerMetrics ownerMetrics(metrics);
    RecordingLinks links;
    NoTable table;
    OwnerPorts ports {groups.timers(),    links,   table,    nullptr, ownerMetrics,
                      {"127.0.0.1:1", 1}, "host0", "lulea-a"};
    GroupDirectory directory(ports);
    PeerInbox inbox(groups, inboxCapacity, ownerMetrics);

    inbox.onPeerUp(testLink, {});
    inner::Execute execute;
    execute.requestId = 7;
    inbox.onPeerMessage(testLink, execute);
    groups.context().poll();
    CHECK(links.answers.empty());

    inbox.connect(&links, &directory);
    groups.context().poll();
    REQUIRE(links.answers.size() == 1);
    CHECK(links.answers.front().requestId == 7);
    CHECK(links.answers.front().reason == Reason::NoOwner);
}
