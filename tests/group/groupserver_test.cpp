#include "core/manualtimerservice.h"
#include "group/groupserver.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::group;

namespace {

// Counts the batches that are run on it.
class FakeConnection : public ServerConnection
{
public:
    void run(std::vector<ServerCommand>, BatchCallback) override { ++batches; }
    void close() override { isClosed = true; }
    bool isOpen() const override { return !isClosed; }
    void onEnd(std::function<void()>) override { }

    int batches = 0;
    bool isClosed = false;
};

// Keeps the requests for connections until the test answers them.
class FakeConnector : public ServerConnector
{
public:
    void connect(const ServerAddress &, const OrganisationName &, Duration,
                 ServerConnectCallback callback) override
    {
        requests.push_back(std::move(callback));
    }

    std::vector<ServerConnectCallback> requests;
};

} // namespace

TEST_CASE("A command that waits for a connection is not sent after its owner's end")
{
    ManualTimerService timers;
    FakeConnector connector;
    EventLogOptions options;
    options.level = LogLevel::Error;
    EventLog log(options);
    Metrics metrics;
    session::StageTimes times(metrics);
    ListedServer listed;
    listed.run = {"i-1"};
    GroupServer server({timers,
                        connector,
                        log,
                        times,
                        [] {},
                        [](const ServerName &, ConnectOutcome) {},
                        [](Instant) {},
                        {}},
                       listed);
    ServerCommand stop;
    stop.kind = CommandKind::StopReceiving;
    bool isLost = false;
    server.control(stop, std::chrono::milliseconds(300),
                   [&isLost](const BatchResult &result) { isLost = result.lost; });
    REQUIRE(connector.requests.size() == 1);
    server.closeAll();
    const auto connection = std::make_shared<FakeConnection>();
    connector.requests.front()(ConnectOutcome::Ok, connection);
    CHECK(connection->batches == 0);
    CHECK(connection->isClosed);
    CHECK(isLost);
}
