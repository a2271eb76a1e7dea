#include "core/manualtimerservice.h"
#include "group/checkedconnector.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::group;

namespace {

// A connection whose batches the test answers.
class AnsweredConnection : public ServerConnection
{
public:
    void run(std::vector<ServerCommand>, BatchCallback callback) override
    {
        ++batches;
        callback_ = std::move(callback);
    }
    void close() override { isClosed = true; }
    bool isOpen() const override { return !isClosed; }
    void onEnd(std::function<void()>) override { }

    void answer(BatchResult result)
    {
        const BatchCallback callback = std::move(callback_);
        callback_ = nullptr;
        callback(std::move(result));
    }

    int batches = 0;
    bool isClosed = false;

private:
    BatchCallback callback_;
};

struct FixedConnector : public ServerConnector
{
    void connect(const ServerAddress &, const OrganisationName &, Duration,
                 ServerConnectCallback callback) override
    {
        callback(ConnectOutcome::Ok, connection);
    }

    std::shared_ptr<AnsweredConnection> connection = std::make_shared<AnsweredConnection>();
};

EventLogOptions noLines()
{
    EventLogOptions options;
    options.linesPerSecond = 0;
    return options;
}

struct Fixture
{
    Fixture()
    {
        connector.connect(
            {"i-1", "cases", "10.0.0.9:1"}, {}, std::chrono::seconds(1),
            [this](ConnectOutcome, const ServerConnectionPtr &made) { connection = made; });
    }

    void run(CommandKind kind, BatchResult &result)
    {
        ServerCommand command;
        command.kind = kind;
        command.id = kind == CommandKind::Statement ? "statement-1" : "";
        connection->run({command}, [&result](BatchResult given) { result = std::move(given); });
    }

    // Runs the commands and answers them.
    BatchResult run(const std::vector<CommandKind> &kinds, const BatchResult &answers)
    {
        std::vector<ServerCommand> batch;
        for (const CommandKind kind : kinds) {
            batch.emplace_back();
            batch.back().kind = kind;
        }
        BatchResult result;
        connection->run(batch, [&result](BatchResult given) { result = std::move(given); });
        inner.connection->answer(answers);
        return result;
    }

    static BatchResult success(const std::string &signature, bool inTransaction = false)
    {
        BatchResult result;
        result.results.push_back(answer(signature, inTransaction));
        return result;
    }

    static CommandResult answer(const std::string &signature, bool inTransaction)
    {
        CommandResult each;
        each.signature = signature;
        each.inTransaction = inTransaction;
        each.idle = !inTransaction;
        return each;
    }

    static CommandResult refusal(ServerError error)
    {
        CommandResult each = answer("", false);
        each.error = error;
        return each;
    }

    ManualTimerService timers;
    EventLog log {noLines()};
    Metrics metrics;
    FixedConnector inner;
    CheckedConnector connector {{inner, timers, log, metrics}};
    ServerConnectionPtr connection;
};

} // namespace

TEST_CASE("A busy connection takes no second batch, whose answer would be that of the first")
{
    Fixture fixture;
    BatchResult first, second;
    fixture.run(CommandKind::Statement, first);
    fixture.run(CommandKind::Statement, second);
    CHECK(fixture.inner.connection->batches == 1);
    CHECK_FALSE(fixture.connection->isOpen());
    CHECK_FALSE(second.lost);
    fixture.timers.advance(std::chrono::milliseconds(1));
    CHECK(second.lost);
    CHECK(second.results.empty());
    // The running batch keeps its callback.
    fixture.inner.connection->answer({{}, true});
    CHECK(first.lost);
}

TEST_CASE("A batch may follow from within the answer to the one before")
{
    Fixture fixture;
    BatchResult second;
    ServerCommand begin;
    begin.kind = CommandKind::Begin;
    fixture.connection->run(
        {begin}, [&](const BatchResult &) { fixture.run(CommandKind::Statement, second); });
    fixture.inner.connection->answer(Fixture::success("", true));
    CHECK(fixture.inner.connection->batches == 2);
    fixture.inner.connection->answer(Fixture::success("signature", true));
    REQUIRE(second.results.size() == 1);
    CHECK(second.results[0].signature == "signature");
    CHECK(fixture.connection->isOpen());
}

TEST_CASE("A statement's success without a signature counts as a lost answer")
{
    Fixture fixture;
    BatchResult result;
    fixture.run(CommandKind::Statement, result);
    fixture.inner.connection->answer(Fixture::success(""));
    CHECK(result.lost);
    CHECK(result.results.empty());
    CHECK_FALSE(fixture.connection->isOpen());
}

TEST_CASE("Errors and the proxy's own commands need no signature")
{
    Fixture fixture;
    BatchResult result;
    fixture.run(CommandKind::Rollback, result);
    fixture.inner.connection->answer(Fixture::success(""));
    CHECK(result.results.size() == 1);
    fixture.run(CommandKind::Statement, result);
    BatchResult refused = Fixture::success("");
    refused.results[0].error = ServerError::Busy;
    fixture.inner.connection->answer(refused);
    CHECK(result.results.size() == 1);
    CHECK(fixture.connection->isOpen());
}

TEST_CASE("A statement does not run with a session value that its server has refused")
{
    Fixture fixture;
    const CommandKind preparation =
        GENERATE(CommandKind::Reset, CommandKind::SetValue, CommandKind::Prepare);
    const BatchResult result = fixture.run(
        {preparation, CommandKind::Statement},
        {{Fixture::refusal(ServerError::Busy), Fixture::answer("signature", false)}, false});
    CHECK(result.lost);
    CHECK(result.results.empty());
    CHECK_FALSE(fixture.connection->isOpen());
}

TEST_CASE("A transaction does not begin with a session value that its server has refused")
{
    Fixture fixture;
    const BatchResult result =
        fixture.run({CommandKind::SetValue, CommandKind::Begin},
                    {{Fixture::refusal(ServerError::Busy), Fixture::answer("", true)}, false});
    CHECK(result.lost);
    CHECK(result.results.empty());
    CHECK_FALSE(fixture.connection->isOpen());
}

TEST_CASE("An answer that shows another transaction state than its command counts as lost")
{
    Fixture fixture;
    SECTION("a statement outside a transaction that ran inside one")
    {
        CHECK(fixture.run({CommandKind::Statement}, Fixture::success("signature", true)).lost);
    }
    SECTION("a statement of a transaction that ran outside it")
    {
        REQUIRE_FALSE(fixture.run({CommandKind::Begin}, Fixture::success("", true)).lost);
        CHECK(fixture.run({CommandKind::Statement}, Fixture::success("signature")).lost);
    }
    SECTION("a begin that opens no transaction")
    {
        CHECK(fixture.run({CommandKind::Begin}, Fixture::success("")).lost);
    }
    SECTION("a rollback that leaves the transaction open")
    {
        REQUIRE_FALSE(fixture.run({CommandKind::Begin}, Fixture::success("", true)).lost);
        CHECK(fixture.run({CommandKind::Rollback}, Fixture::success("", true)).lost);
    }
    CHECK_FALSE(fixture.connection->isOpen());
}

TEST_CASE("An own command whose answer has a statement's signature counts as lost")
{
    Fixture fixture;
    const BatchResult result = fixture.run(
        {CommandKind::Prepare, CommandKind::ExecutePrepared},
        {{Fixture::answer("signature", false), Fixture::answer("signature", false)}, false});
    CHECK(result.lost);
    CHECK(result.results.empty());
    CHECK_FALSE(fixture.connection->isOpen());
}

TEST_CASE("A commit ends its transaction")
{
    Fixture fixture;
    REQUIRE_FALSE(fixture.run({CommandKind::Begin}, Fixture::success("", true)).lost);
    ServerCommand commit;
    commit.kind = CommandKind::Statement;
    commit.commits = true;
    BatchResult result;
    fixture.connection->run({commit}, [&result](BatchResult given) { result = std::move(given); });
    fixture.inner.connection->answer(Fixture::success("signature"));
    CHECK_FALSE(result.lost);
    CHECK_FALSE(fixture.run({CommandKind::Statement}, Fixture::success("signature")).lost);
    CHECK(fixture.connection->isOpen());
}
