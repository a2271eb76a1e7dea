#include "fakeports.h"

#include "core/manualtimerservice.h"
#include "owner/failoverdriver.h"
#include "owner/ownermetrics.h"

#include <catch2/catch.hpp>

#include <set>

using namespace kelptally;
using namespace kelptally::owner;
using namespace std::chrono_literals;

namespace {

constexpr OwnerEpoch epoch = 3;

// Database server that answers the commands of a control connection.
struct FakeServer : public backend::BackendServer
{
    explicit FakeServer(TimerService &timers) : timers(timers) { }

    void connect(Duration timeout, backend::ConnectCallback callback) override;
    backend::BatchResult answer(const backend::Statement &statement);

    TimerService &timers;
    bool isListening = true;
    bool primary = false;
    // Accepts commands without effect, so that its log stays at an older term.
    bool ignoresCommands = false;
    Term term = 1;
    OwnerEpoch fence = 0;
};

struct FakeConnection : public backend::Connection
{
    explicit FakeConnection(FakeServer &server) : server(server) { }

    void run(std::vector<backend::Statement> batch, backend::BatchCallback callback) override
    {
        server.timers.subscribeAfter(1ms, [this, batch, callback] {
            backend::BatchResult result;
            result.state = backend::BatchState::Unknown;
            result.connectionLost = true;
            callback(server.isListening && isOpen ? server.answer(batch.front()) : result);
        });
    }
    bool busy() const override { return false; }
    bool open() const override { return isOpen && server.isListening; }
    void close() override { isOpen = false; }

    FakeServer &server;
    bool isOpen = true;
};

void FakeServer::connect(Duration, backend::ConnectCallback callback)
{
    timers.subscribeAfter(1ms, [this, callback] {
        if (isListening)
            callback(absl::OkStatus(), std::make_shared<FakeConnection>(*this));
        else
            callback(absl::UnavailableError("connection refused"), nullptr);
    });
}

backend::BatchResult FakeServer::answer(const backend::Statement &statement)
{
    const settings::GroupStatements statements;
    backend::BatchResult result;
    result.state = backend::BatchState::Done;
    result.rows.emplace_back();
    Rows &rows = result.rows.back();
    const std::string termText = std::to_string(term);
    if (statement.sql == statements.status)
        rows.values.push_back({termText, primary ? "primary" : "replica", "7", "7",
                               std::to_string(fence), termText, termText});
    else if (statement.sql == statements.history)
        rows.values.push_back({termText, "0"});
    else if (statement.sql == statements.raiseFence)
        fence = std::stoull(*statement.parameters.front());
    else if (statement.sql == statements.prepare && !ignoresCommands)
        term = std::stoull(*statement.parameters.front());
    return result;
}

// A driver with servers a, b and c; a is primary in term 2.
struct Fixture : public FailoverListener
{
    Fixture()
    {
        group.name = "offers";
        for (const char *name : {"a", "b", "c"}) {
            settings::Server server;
            server.name = name;
            server.address = name;
            group.servers.push_back(server);
            servers[name] = std::make_shared<FakeServer>(timers);
            servers[name]->term = 2;
        }
        servers["a"]->primary = true;
        driver = std::make_unique<FailoverDriver>(group, ports, *this);
    }

    void start()
    {
        driver->start(epoch, 0, "");
        run(200ms);
        REQUIRE(driver->decision()->primary() == std::optional<ServerName>("a"));
    }

    void run(Duration time)
    {
        constexpr Duration tick = 20ms;
        for (Duration passed {0}; passed < time; passed += tick) {
            timers.advance(tick);
            driver->tick();
        }
    }

    void kill(const ServerName &name) { servers.at(name)->isListening = false; }

    void onServerReport(const ServerName &, Instant, const decision::ServerReport &) override { }
    void onServerUnreachable(const ServerName &) override { }
    void onPrimaryGone(const decision::PrimaryGone &) override { }
    void onPrimaryReady(const decision::PrimaryReady &) override { }

    ManualTimerService timers;
    NoLinks links;
    NoTable table;
    Metrics metrics;
    OwnerMetrics ownerMetrics {metrics};
    std::map<ServerName, std::shared_ptr<FakeServer>> servers;
    // Password of the last endpoint for which connections were made.
    std::string lastPassword;
    OwnerPorts ports {timers,
                      links,
                      table,
                      [this](const backend::ServerEndpoint &endpoint) {
                          lastPassword = endpoint.password;
                          return std::shared_ptr<backend::BackendServer>(servers.at(endpoint.host));
                      },
                      ownerMetrics,
                      {"127.0.0.1:1", 1},
                      "host",
                      "zone"};
    settings::Group group;
    std::unique_ptr<FailoverDriver> driver;
};

} // namespace

// A command that could not be sent must not count as an answer: an owner that repeats a command to
// stopped servers would assume a majority forever.
TEST_CASE("Repeated commands to a stopped server do not count as answers")
{
    Fixture f;
    f.servers["c"]->ignoresCommands = true;
    f.servers["c"]->term = 1;
    f.start();
    f.kill("b");
    f.kill("c");
    f.run(3s);
    CHECK(f.driver->decision()->silentServers(f.timers.now())
          == std::vector<ServerName> {"b", "c"});
    CHECK(f.driver->decision()->isCutOff(f.timers.now()));
}

TEST_CASE("Stopped servers become silent while a promotion waits for a majority")
{
    Fixture f;
    f.start();
    f.kill("a");
    f.kill("b");
    f.run(3s);
    CHECK(f.driver->decision()->silentServers(f.timers.now())
          == std::vector<ServerName> {"a", "b"});
    CHECK(f.driver->decision()->isCutOff(f.timers.now()));
}

// The owner went on probing the old address, whose end looked like the end of the primary.
TEST_CASE("A server whose address changed is probed at its new address")
{
    Fixture f;
    f.start();
    f.servers["a2"] = std::make_shared<FakeServer>(f.timers);
    f.servers["a2"]->term = 2;
    f.servers["a2"]->primary = true;
    f.group.servers.front().address = "a2";
    f.driver->setServers(f.group);
    f.run(200ms);
    f.kill("a");
    f.run(3s);
    CHECK(f.driver->decision()->primary() == std::optional<ServerName>("a"));
    CHECK(f.driver->decision()->silentServers(f.timers.now()).empty());
    CHECK_FALSE(f.servers["b"]->primary);
}

TEST_CASE("Control connections are opened again when the credentials change")
{
    Fixture f;
    f.start();
    f.lastPassword = "unused";
    f.group.password = "new password";
    f.driver->setServers(f.group);
    f.run(200ms);
    CHECK(f.lastPassword == "new password");
    CHECK(f.driver->decision()->silentServers(f.timers.now()).empty());
}
