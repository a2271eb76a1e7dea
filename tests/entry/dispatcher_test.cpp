#include "decision/transactions.h"
#include "entryfixtures.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::entry;
using namespace std::chrono_literals;

namespace {

constexpr inner::LinkId linkA = 1;
constexpr inner::LinkId linkB = 2;

struct Fixture
{
    Fixture()
    {
        api.configure(testConfiguration());
        links.setAddresses({ownerA, ownerB});
        links.onUp(linkA, ownerA);
        links.onUp(linkB, ownerB);
        rows.row = rowOf(ownerA);
        dispatcher.configure(settings::Limits());
    }

    std::shared_ptr<FakeReply> start(const caller::CallerRequest &request,
                                     caller::ConnectionId connection = 1)
    {
        auto reply = std::make_shared<FakeReply>();
        dispatcher.start(std::get<AdmittedRequest>(api.admit(request)), reply, connection,
                         timers.now());
        // Discards the messages of the owner lookup.
        while (!peers.sent.empty()
               && std::holds_alternative<inner::Locate>(peers.sent.front().message))
            peers.sent.pop_front();
        return reply;
    }

    std::shared_ptr<FakeReply> startKeyed()
    {
        caller::CallerRequest request = statementOf("offer");
        request.idempotencyKey = "k";
        return start(request);
    }

    // Returns the next Execute, skipping Locate messages and retry delays.
    inner::Execute nextExecute(Duration within = 1s)
    {
        for (Duration waited(0); waited <= within; waited += 1ms, timers.advance(1ms)) {
            while (!peers.sent.empty()) {
                const FakePeerLinks::Sent sent = peers.sent.front();
                peers.sent.pop_front();
                lastLink = sent.link;
                if (const auto *execute = std::get_if<inner::Execute>(&sent.message))
                    return *execute;
            }
        }
        throw std::runtime_error("no Execute was sent");
    }

    ManualTimerService timers;
    FakePeerLinks peers;
    FakeOwnershipRowReader rows;
    Metrics metrics;
    EntryMetrics entryMetrics {metrics};
    OwnerLinks links {peers};
    OwnerDirectory directory {timers, rows, links};
    Dispatcher dispatcher {{timers, links, directory, entryMetrics, tokenKey, 1}};
    CallerApi api {tokenKey};
    inner::LinkId lastLink = 0;
};

inner::ExecuteResult successFor(const inner::Execute &execute)
{
    inner::ExecuteResult result;
    result.requestId = execute.requestId;
    result.executed = Executed::Yes;
    result.rows.columns = {"a"};
    result.rows.values = {{Value("1")}};
    result.rowCount = 1;
    result.byteLength = 1;
    return result;
}

inner::ExecuteResult refusalFor(const inner::Execute &execute, Reason reason, Executed executed)
{
    inner::ExecuteResult result;
    result.requestId = execute.requestId;
    result.reason = reason;
    result.executed = executed;
    return result;
}

std::string reasonOf(const FakeReply &reply)
{
    return reply.body().textOf("reason");
}

std::string executedOf(const FakeReply &reply)
{
    return reply.body().textOf("executed");
}

} // namespace

TEST_CASE("A request is sent to its owner and answered with a new session token")
{
    Fixture f;
    const auto reply = f.start(statementOf("edit"));
    const inner::Execute execute = f.nextExecute();
    CHECK(f.lastLink == linkA);
    CHECK(execute.group == "offers");
    CHECK(execute.timeLeft > Duration(1900ms));
    CHECK(execute.timeLeft < Duration(2s));
    CHECK(f.dispatcher.inProgress() == 1);
    inner::ExecuteResult result = successFor(execute);
    result.position = Position {5, 77};
    f.dispatcher.onResult(linkA, result);
    REQUIRE(reply->responses.size() == 1);
    CHECK(reply->responses[0].status == 200);
    const auto token = decision::SessionToken::open(reply->header("Kelptally-Session"), tokenKey);
    REQUIRE(token.ok());
    CHECK(*token->find("offers") == Position {5, 77});
    CHECK(f.dispatcher.inProgress() == 0);
}

TEST_CASE("The session token changes only when the session's position advances")
{
    Fixture f;
    decision::SessionToken session;
    SECTION("position not advanced")
    {
        session.advance("offers", {5, 77});
    }
    SECTION("no room for another group")
    {
        for (std::size_t i = 0; i < decision::maxTokenGroups; ++i)
            session.advance("g" + std::to_string(i), {1, 1});
    }
    caller::CallerRequest request = statementOf("fresh");
    request.sessionToken = session.seal(tokenKey);
    const auto reply = f.start(request);
    inner::ExecuteResult result = successFor(f.nextExecute());
    result.position = Position {5, 76};
    f.dispatcher.onResult(linkA, result);
    CHECK(reply->header("Kelptally-Session") == request.sessionToken);
}

TEST_CASE("Late, duplicate and unknown answers are dropped")
{
    Fixture f;
    const auto first = f.start(statementOf("edit"), 1);
    const inner::Execute firstExecute = f.nextExecute();
    const auto second = f.start(statementOf("edit"), 2);
    const inner::Execute secondExecute = f.nextExecute();
    CHECK(firstExecute.requestId != secondExecute.requestId);

    f.dispatcher.onResult(linkB, successFor(firstExecute));
    CHECK(first->responses.empty());
    inner::ExecuteResult unknown = successFor(firstExecute);
    unknown.requestId += 1;
    f.dispatcher.onResult(linkA, unknown);
    f.dispatcher.onResult(linkA, successFor(secondExecute));
    f.dispatcher.onResult(linkA, successFor(secondExecute));
    CHECK(first->responses.empty());
    CHECK(second->responses.size() == 1);

    // The answer to the first attempt arrives after the second attempt was sent.
    f.dispatcher.onResult(linkA, refusalFor(firstExecute, Reason::QueueFull, Executed::No));
    const inner::Execute retriedExecute = f.nextExecute();
    CHECK(retriedExecute.requestId != firstExecute.requestId);
    CHECK(retriedExecute.attempt == 1);
    f.dispatcher.onResult(linkA, successFor(firstExecute));
    CHECK(first->responses.empty());
    f.dispatcher.onResult(linkA, successFor(retriedExecute));
    CHECK(first->responses.size() == 1);
    CHECK(f.metrics.toText().find("kelptally_entry_answers_dropped_total{cause=\"late\"} 4")
          != std::string::npos);
}

TEST_CASE("An answer with wrong counts is refused as an internal error")
{
    Fixture f;
    const auto reply = f.start(statementOf("edit"));
    inner::ExecuteResult result = successFor(f.nextExecute());
    result.rowCount = 2;
    f.dispatcher.onResult(linkA, result);
    CHECK(reasonOf(*reply) == "internal");
    CHECK(executedOf(*reply) == "yes");
}

TEST_CASE("An unsent request is retried until its deadline and reported as not executed")
{
    Fixture f;
    f.peers.refuseWith = absl::UnavailableError("down");
    const auto reply = f.startKeyed();
    f.timers.advance(1s);
    CHECK(reply->responses.empty());
    SECTION("the owner comes back")
    {
        f.peers.refuseWith = absl::OkStatus();
        const inner::Execute execute = f.nextExecute();
        CHECK(execute.attempt > 0);
        f.dispatcher.onResult(linkA, successFor(execute));
        CHECK(reply->responses[0].status == 200);
    }
    SECTION("it does not")
    {
        f.timers.advance(1s);
        REQUIRE(reply->responses.size() == 1);
        CHECK(reply->responses[0].status == 503);
        CHECK(reasonOf(*reply) == "owner_unreachable");
        CHECK(executedOf(*reply) == "no");
        CHECK_FALSE(reply->header("Retry-After").empty());
    }
}

TEST_CASE(
    "A keyed write whose link broke is retried at the next owner, else its outcome is unknown")
{
    Fixture f;
    const auto reply = f.startKeyed();
    const inner::Execute first = f.nextExecute();
    f.links.onDown(linkA);
    f.dispatcher.onLinkDown(linkA);
    CHECK(reply->responses.empty());
    SECTION("the next owner replays the result")
    {
        f.rows.row = rowOf(ownerB, 2);
        const inner::Execute second = f.nextExecute();
        CHECK(f.lastLink == linkB);
        CHECK(second.key == first.key);
        inner::ExecuteResult result = successFor(second);
        result.replayed = true;
        f.dispatcher.onResult(linkB, result);
        CHECK(reply->body().find("replayed")->boolean);
    }
    SECTION("no owner is found")
    {
        f.timers.advance(3s);
        REQUIRE(reply->responses.size() == 1);
        CHECK(executedOf(*reply) == "unknown");
    }
    SECTION("the next owner refuses before running it")
    {
        f.rows.row = rowOf(ownerB, 2);
        f.dispatcher.onResult(linkB,
                              refusalFor(f.nextExecute(), Reason::StatementFailed, Executed::No));
        // This attempt was not executed, but the first may have been.
        CHECK(executedOf(*reply) == "unknown");
    }
}

TEST_CASE("A transaction step is not retried")
{
    Fixture f;
    caller::CallerRequest request;
    request.apiKey = callerKey;
    request.operation = caller::CallerOperation::TransactionStatement;
    request.transaction = decision::TransactionId {"offers", ownerB, 1, 1, 1}.toText();
    const auto reply = f.start(request);
    const inner::Execute execute = f.nextExecute();
    CHECK(f.lastLink == linkB);
    SECTION("its link breaks")
    {
        f.links.onDown(linkB);
        f.dispatcher.onLinkDown(linkB);
        REQUIRE(reply->responses.size() == 1);
        CHECK(executedOf(*reply) == "unknown");
    }
    SECTION("its caller disconnects")
    {
        f.dispatcher.onCallerDisconnected(1);
        const auto cancel = f.peers.take<inner::Cancel>();
        CHECK(cancel.requestId == execute.requestId);
        CHECK(cancel.transaction == request.transaction);
        f.dispatcher.onResult(linkB, successFor(execute));
        CHECK(reply->responses.empty());
        CHECK(f.dispatcher.inProgress() == 0);
    }
}

TEST_CASE("A transaction whose caller is gone is cancelled when its Begin is answered")
{
    Fixture f;
    caller::CallerRequest request = statementOf("edit");
    request.operation = caller::CallerOperation::Begin;
    const auto reply = f.start(request);
    const inner::Execute execute = f.nextExecute();
    inner::ExecuteResult begun = successFor(execute);
    begun.transaction = "t-9";
    SECTION("in time")
    {
        f.dispatcher.onResult(linkA, begun);
        CHECK(reply->body().textOf("transaction") == "t-9");
        CHECK(f.dispatcher.inProgress() == 0);
    }
    SECTION("its caller has disconnected")
    {
        f.dispatcher.onCallerDisconnected(1);
        f.peers.sent.clear();
        f.dispatcher.onResult(linkA, begun);
        CHECK(f.peers.take<inner::Cancel>().transaction == "t-9");
        CHECK(f.dispatcher.inProgress() == 0);
    }
    SECTION("its deadline has passed")
    {
        f.timers.advance(3s);
        CHECK(reasonOf(*reply) == "deadline_exceeded");
        CHECK(executedOf(*reply) == "unknown");
        f.peers.sent.clear();
        f.dispatcher.onResult(linkA, begun);
        CHECK(f.peers.take<inner::Cancel>().transaction == "t-9");
    }
    SECTION("its answer never comes")
    {
        f.dispatcher.onCallerDisconnected(1);
        CHECK(f.dispatcher.inProgress() == 1);
        f.timers.advance(60s);
        CHECK(f.dispatcher.inProgress() == 0);
    }
}

TEST_CASE("A request is cancelled and refused at its deadline")
{
    Fixture f;
    const auto reply = f.startKeyed();
    const inner::Execute execute = f.nextExecute();
    f.timers.advance(1990ms);
    CHECK(reply->responses.empty());
    f.timers.advance(10ms);
    REQUIRE(reply->responses.size() == 1);
    CHECK(reasonOf(*reply) == "deadline_exceeded");
    CHECK(executedOf(*reply) == "unknown");
    CHECK(f.peers.take<inner::Cancel>().requestId == execute.requestId);
    f.dispatcher.onResult(linkA, successFor(execute));
    CHECK(reply->responses.size() == 1);
}

TEST_CASE("An owner hint is followed without delay, but not in a loop")
{
    Fixture f;
    const auto reply = f.startKeyed();
    inner::Execute execute = f.nextExecute();
    inner::ExecuteResult notOwner = refusalFor(execute, Reason::NotOwner, Executed::No);
    notOwner.ownerHint = ownerB;
    const Instant before = f.timers.now();
    f.dispatcher.onResult(linkA, notOwner);
    execute = f.nextExecute();
    CHECK(f.timers.now() == before);
    CHECK(f.lastLink == linkB);

    notOwner.requestId = execute.requestId;
    notOwner.ownerHint = ownerA;
    f.dispatcher.onResult(linkB, notOwner);
    execute = f.nextExecute();
    notOwner.requestId = execute.requestId;
    notOwner.ownerHint = ownerB;
    f.dispatcher.onResult(linkA, notOwner);
    execute = f.nextExecute();
    notOwner.requestId = execute.requestId;
    notOwner.ownerHint = ownerA;
    f.dispatcher.onResult(linkB, notOwner);
    CHECK(f.peers.sent.empty());
    execute = f.nextExecute();
    CHECK(f.timers.now() > before);
    f.dispatcher.onResult(f.lastLink, successFor(execute));
    CHECK(reply->responses[0].status == 200);
}

TEST_CASE("A read that arrives too old is retried with a lower age limit")
{
    Fixture f;
    const auto reply = f.start(statementOf("browse"));
    inner::Execute execute = f.nextExecute();
    REQUIRE(execute.statedAge);
    const Duration firstAge = *execute.statedAge;
    inner::ExecuteResult result = successFor(execute);
    result.fromReplica = true;
    result.age = firstAge;
    f.timers.advance(100ms);
    f.dispatcher.onResult(linkA, result);
    CHECK(reply->responses.empty());
    execute = f.nextExecute();
    CHECK(*execute.statedAge < firstAge);
    result.requestId = execute.requestId;
    result.age = *execute.statedAge;
    f.dispatcher.onResult(linkA, result);
    CHECK(reply->responses[0].status == 200);
}

TEST_CASE("Final refusals of the owner are forwarded unchanged")
{
    Fixture f;
    const auto reply = f.startKeyed();
    inner::ExecuteResult refusal = refusalFor(f.nextExecute(), Reason::QueueFull, Executed::No);
    refusal.retryAfter = 5s;
    f.dispatcher.onResult(linkA, refusal);
    CHECK(reasonOf(*reply) == "queue_full");
    CHECK(executedOf(*reply) == "no");
    CHECK(reply->header("Retry-After") == "5");
    CHECK(f.metrics.toText().find("kelptally_refusals_total{reason=\"queue_full\"} 1")
          != std::string::npos);
}

TEST_CASE("Requests in progress are limited per team and in total")
{
    ManualTimerService timers;
    RequestTable table(timers, 4, [](const PendingPtr &) {});
    const auto request = [](const char *team, int share) {
        const auto made = std::make_shared<PendingRequest>();
        made->admitted.execute.team = team;
        made->admitted.teamSharePercent = share;
        made->deadline = Instant::max();
        return made;
    };
    const PendingPtr first = request("a", 50);
    CHECK(table.add(first) == Reason::None);
    CHECK(table.add(request("a", 50)) == Reason::None);
    CHECK(table.add(request("a", 50)) == Reason::TeamLimit);
    CHECK(table.add(request("b", 100)) == Reason::None);
    CHECK(table.add(request("b", 100)) == Reason::None);
    CHECK(table.add(request("b", 100)) == Reason::QueueFull);
    table.remove(first);
    table.remove(first);
    CHECK(table.add(request("a", 50)) == Reason::None);
    CHECK(table.size() == 4);
}

TEST_CASE("Deadlines of finished requests are removed, and those of open ones expire")
{
    ManualTimerService timers;
    int expired = 0;
    RequestTable table(timers, 10, [&](const PendingPtr &) { ++expired; });
    const auto request = [&](Duration deadline) {
        const auto made = std::make_shared<PendingRequest>();
        made->deadline = timers.now() + deadline;
        return made;
    };
    REQUIRE(table.add(request(1h)) == Reason::None);
    for (int i = 0; i < 20'000; ++i) {
        const PendingPtr finished = request(24h);
        REQUIRE(table.add(finished) == Reason::None);
        table.remove(finished);
    }
    CHECK(table.deadlineCount() < 10'000);
    CHECK(table.size() == 1);
    timers.advance(1h);
    CHECK(expired == 1);
}
