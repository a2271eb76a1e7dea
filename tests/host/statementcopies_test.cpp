#include "modelcluster.h"

#include <catch2/catch.hpp>

// An entry that has given up an answer sends the first statement of a transaction again under
// another number, and the owner may then have both copies.
using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

namespace {

// Exceeds the numbers that the host's own router has used.
constexpr inner::RequestId firstNumber = 1000;

void waitUntilReady(ModelCluster &cluster)
{
    REQUIRE(cluster.timeToWrite(0, 5s));
    REQUIRE(cluster.runUntil(10s, [&] { return cluster.allHostsKnowOwner(); }));
    cluster.run(500ms);
}

std::size_t hostOtherThan(int host)
{
    return host == 0 ? 1 : 0;
}

std::string signatureOf(const inner::RunStatement &statement)
{
    return "s" + statement.statementId;
}

void delayAnswers(ModelCluster &cluster, Duration delay)
{
    const std::string owner = cluster.address(std::size_t(cluster.owner()));
    for (const auto &[id, server] : cluster.group.servers())
        cluster.group.answerDelays[{owner, id}] = delay;
}

void checkNothingIsLeft(ModelCluster &cluster)
{
    cluster.run(3s);
    CHECK(cluster.violations.all == std::vector<std::string>());
    CHECK(cluster.connectionErrors() == 0);
    CHECK(cluster.group.openTransactionCount() == 0);
    for (const auto &server : cluster.groupStatus(std::size_t(cluster.owner())).servers)
        CHECK(server.slotsBusy == 0);
}

// An entry whose statements the test numbers and sends itself.
class Entry
{
public:
    explicit Entry(ModelCluster &cluster) : cluster_(cluster), host_(hostOtherThan(cluster.owner()))
    {
        cluster.onAnswer = [this](std::size_t host, const inner::StatementDone &done) {
            if (host == host_)
                answers_.emplace(done.requestId, done);
        };
    }
    ~Entry() { cluster_.onAnswer = nullptr; }

    inner::RunStatement make(std::uint64_t session, inner::SessionVerb verb)
    {
        inner::RunStatement statement = cluster_.makeStatement("t");
        statement.session = session;
        statement.inTransaction = true;
        statement.verb = verb;
        statement.text = verb == inner::SessionVerb::Commit ? "COMMIT"
            : verb == inner::SessionVerb::Read              ? "READ item"
                                                            : "WRITE item data";
        return statement;
    }

    inner::RunStatement makeFirst(std::uint64_t session,
                                  inner::SessionVerb verb = inner::SessionVerb::Write,
                                  inner::TransactionMode mode = inner::TransactionMode::ReadWrite)
    {
        inner::RunStatement statement = make(session, verb);
        statement.begins = mode;
        return statement;
    }

    // Sends the statement under the next number.
    inner::RequestId send(inner::RunStatement statement)
    {
        return send(std::move(statement), ++lastNumber_);
    }
    inner::RequestId send(inner::RunStatement statement, inner::RequestId number)
    {
        statement.requestId = number;
        cluster_.sendToOwner(host_, statement);
        return number;
    }
    inner::RequestId reserveNumber() { return ++lastNumber_; }

    // Ends what the session has begun so far, or up to the given number.
    void end(std::uint64_t session) { end(session, lastNumber_); }
    void end(std::uint64_t session, inner::RequestId upTo)
    {
        cluster_.sendToOwner(host_, inner::EndTransaction {cluster_.group.name(), session, upTo});
    }

    const inner::StatementDone *answerTo(inner::RequestId number) const
    {
        const auto found = answers_.find(number);
        return found == answers_.end() ? nullptr : &found->second;
    }

    // Returns the signature of the answer, or the reason why there is none.
    std::string outcome(inner::RequestId number)
    {
        if (!cluster_.runUntil(1s, [&] { return answerTo(number) != nullptr; }))
            return "no answer";
        const inner::StatementDone &done = *answerTo(number);
        return done.reason == Reason::None ? done.signature
                                           : std::string(reasonInfo(done.reason).name);
    }

private:
    ModelCluster &cluster_;
    const std::size_t host_;
    inner::RequestId lastNumber_ = firstNumber;
    std::map<inner::RequestId, inner::StatementDone> answers_;
};

} // namespace

TEST_CASE("The begin of an outdated copy does not displace the transaction of the newer one")
{
    ModelCluster cluster(301);
    waitUntilReady(cluster);
    Entry entry(cluster);
    const inner::RunStatement first = entry.makeFirst(7);
    const inner::RunStatement second = entry.make(7, inner::SessionVerb::Write);
    const inner::RunStatement commit = entry.make(7, inner::SessionVerb::Commit);
    const Instant sentAt = cluster.timers.now();
    // 1. The answer to the outdated copy's begin is on its way for 30 ms.
    delayAnswers(cluster, 30ms);
    entry.send(first);
    cluster.run(3ms);
    delayAnswers(cluster, 0ms);
    const inner::RequestId newer = entry.send(first);
    REQUIRE(entry.outcome(newer) == signatureOf(first));
    // 2. The next statement arrives while the outdated copy could be running.
    while (cluster.timers.now() < sentAt + 33ms)
        cluster.run(1ms);
    CHECK(entry.outcome(entry.send(second)) == signatureOf(second));
    CHECK(entry.outcome(entry.send(commit)) == signatureOf(commit));
    CHECK(cluster.group.statementsByCommit[signatureOf(commit)]
          == std::vector<std::string> {signatureOf(first), signatureOf(second)});
    checkNothingIsLeft(cluster);
}

// The servers are at their limit when the owner of a group wakes.
TEST_CASE("A first statement that is sent again while it runs or is queued runs once")
{
    ModelCluster cluster(305);
    waitUntilReady(cluster);
    Entry entry(cluster);
    const inner::RunStatement first = entry.makeFirst(7);
    const inner::RunStatement second = entry.make(7, inner::SessionVerb::Read);
    const inner::RequestId older = entry.send(first);
    Duration between = 0ms;
    SECTION("before its begin is answered")
    {
        between = 1ms;
    }
    SECTION("while it runs")
    {
        between = 5ms;
    }
    cluster.run(between);
    const inner::RequestId newer = entry.send(first);
    // The end of what the entry gave up does not end the copy that it waits for.
    entry.end(7, older);
    CHECK(entry.outcome(newer) == signatureOf(first));
    CHECK(cluster.group.transactionRuns[first.statementId] == 1);
    CHECK(entry.outcome(entry.send(second)) == signatureOf(second));
    entry.end(7);
    checkNothingIsLeft(cluster);
}

TEST_CASE("A begin ends the transaction that its session has given up without an end")
{
    ModelCluster cluster(302);
    waitUntilReady(cluster);
    Entry entry(cluster);
    const inner::RunStatement abandoned = entry.makeFirst(7);
    REQUIRE(entry.outcome(entry.send(abandoned)) == signatureOf(abandoned));
    SECTION("between two statements") { }
    SECTION("while a statement of it is running")
    {
        entry.send(entry.make(7, inner::SessionVerb::Write));
        cluster.run(2ms);
    }
    const inner::RunStatement first = entry.makeFirst(7);
    const inner::RunStatement commit = entry.make(7, inner::SessionVerb::Commit);
    REQUIRE(entry.outcome(entry.send(first)) == signatureOf(first));
    CHECK(entry.outcome(entry.send(commit)) == signatureOf(commit));
    CHECK(cluster.group.statementsByCommit[signatureOf(commit)]
          == std::vector<std::string> {signatureOf(first)});
    checkNothingIsLeft(cluster);
}

TEST_CASE("A queued begin of an entry that is gone opens no transaction")
{
    ModelCluster cluster(303);
    waitUntilReady(cluster);
    const std::size_t owner = std::size_t(cluster.owner());
    Entry entry(cluster);
    // 1. The begin waits for a primary while the entry is cut off for longer than its links may be
    // away.
    cluster.blockPromotions(owner, true);
    cluster.group.crash(cluster.group.primary());
    cluster.run(50ms);
    inner::RunStatement first = entry.makeFirst(7);
    first.objective = 8s;
    first.timeLeft = 8s;
    entry.send(first);
    cluster.run(10ms);
    cluster.partitionLinks(hostOtherThan(cluster.owner()), true);
    cluster.resetLinks();
    cluster.run(1s);
    REQUIRE(cluster.owner() == int(owner));
    // 2. There is a primary again.
    cluster.blockPromotions(owner, false);
    REQUIRE(cluster.runUntil(5s, [&] { return cluster.group.promotions == 1; }));
    cluster.run(500ms);
    REQUIRE(cluster.owner() == int(owner));
    CHECK(cluster.group.openTransactionCount() == 0);
}

// The commit is in the primary's log, but never acknowledged. If a position above it counted as
// acknowledged, no server could be promoted.
TEST_CASE("A running commit that its session has given up does not count as acknowledged")
{
    ModelCluster cluster(304);
    waitUntilReady(cluster);
    // Exceeds the time in which commits of earlier owners may be running.
    cluster.run(5s);
    const std::size_t owner = std::size_t(cluster.owner());
    const ServerName primary = cluster.group.primary();
    REQUIRE(primary == "cases-1");
    Entry entry(cluster);
    const inner::RunStatement first = entry.makeFirst(7);
    REQUIRE(entry.outcome(entry.send(first)) == signatureOf(first));
    // 1. The write and the commit wait for the replicas, which receive only the write.
    for (const char *replica : {"cases-2", "cases-3"})
        cluster.group.servers().at(replica).stalled = true;
    const auto write = cluster.write(owner);
    cluster.run(10ms);
    const inner::RequestId commit = entry.send(entry.make(7, inner::SessionVerb::Commit));
    cluster.run(10ms);
    REQUIRE(entry.answerTo(commit) == nullptr);
    SECTION("by its end")
    {
        entry.end(7);
    }
    SECTION("by another begin")
    {
        entry.send(entry.makeFirst(7));
    }
    REQUIRE(entry.outcome(commit) == "unconfirmed");
    const auto log = cluster.group.servers().at(primary).log;
    for (const char *replica : {"cases-2", "cases-3"}) {
        ModelServer &server = cluster.group.servers().at(replica);
        REQUIRE(server.log.size() + 2 == log.size());
        server.log.assign(log.begin(), log.end() - 1);
        server.applied = server.log.size();
    }
    cluster.group.restart("cases-2");
    REQUIRE(cluster.runUntil(100ms, [&] { return write->done; }));
    REQUIRE(write->result.reason == Reason::None);
    // 2. The primary is lost for good.
    cluster.group.destroy(primary);
    cluster.unlist(primary);
    for (const char *replica : {"cases-2", "cases-3"})
        cluster.group.servers().at(replica).stalled = false;
    CHECK(cluster.runUntil(40s, [&] { return cluster.group.promotions == 1; }));
    cluster.run(1s);
    cluster.checkStatementResults();
    CHECK(cluster.violations.all == std::vector<std::string>());
}

namespace {

// A session of the random test: what it has sent, and the numbers for which it awaits an answer.
struct Session
{
    std::uint64_t number = 0;
    int organisation = -1;
    // Whether its transaction has begun at the owner, as far as it knows.
    bool isOpen = false;
    std::optional<inner::RunStatement> sent;
    inner::RequestId awaited = 0;
    std::vector<std::string> answered;
};

// Sessions that send first statements again, continue, commit, and give up at random, while the
// servers' answers take up to 30 ms.
class RandomSessions
{
public:
    RandomSessions(std::uint64_t seed, int organisations)
        : cluster_(seed), organisations_(organisations), random_(seed)
    {
        waitUntilReady(cluster_);
        if (organisations > 0)
            cluster_.configureOrganisations(organisations, 0);
        cluster_.run(100ms);
    }

    void play()
    {
        Entry entry(cluster_);
        std::vector<Session> sessions(8);
        for (std::size_t i = 0; i < sessions.size(); ++i) {
            sessions[i].number = i + 1;
            sessions[i].organisation = organisations_ > 0 ? int(i) % organisations_ : -1;
        }
        for (int i = 0; i < 3000; ++i) {
            act(entry, sessions[draw(sessions.size())]);
            cluster_.run(std::chrono::milliseconds(draw(4)));
            if (draw(20) == 0)
                delayAnswers(cluster_, std::chrono::milliseconds(draw(4) * 10));
        }
        delayAnswers(cluster_, 0ms);
        for (const Session &session : sessions)
            entry.end(session.number);
        checkNothingIsLeft(cluster_);
        CHECK(commits_ > 20);
        CHECK(copies_ > 20);
    }

private:
    std::size_t draw(std::size_t count) { return random_() % count; }

    void act(Entry &entry, Session &session)
    {
        if (session.sent && !receive(entry, session))
            return giveUpOrRepeat(entry, session);
        if (!session.isOpen)
            return send(
                entry, session,
                entry.makeFirst(session.number,
                                draw(2) == 0 ? inner::SessionVerb::Read : inner::SessionVerb::Write,
                                draw(4) == 0 ? inner::TransactionMode::ReadOnly
                                             : inner::TransactionMode::ReadWrite));
        switch (draw(6)) {
        case 0:
            session.isOpen = false;
            return entry.end(session.number);
        case 1:
            // Gives the transaction up without an end.
            session.isOpen = false;
            return;
        case 2:
        case 3:
            return send(entry, session, entry.make(session.number, inner::SessionVerb::Commit));
        default:
            return send(entry, session, entry.make(session.number, inner::SessionVerb::Read));
        }
    }

    void send(Entry &entry, Session &session, inner::RunStatement statement)
    {
        if (statement.begins != inner::TransactionMode::None)
            session.answered.clear();
        if (statement.begins == inner::TransactionMode::ReadOnly)
            statement.verb = inner::SessionVerb::Read, statement.text = "READ item";
        if (session.organisation >= 0) {
            statement.organisation = "org" + std::to_string(session.organisation);
            statement.statementId = statement.organisation
                + statement.statementId.substr(statement.statementId.find('/'));
        }
        session.sent = statement;
        session.awaited = entry.send(statement);
    }

    // Returns whether the awaited answer has arrived.
    bool receive(Entry &entry, Session &session)
    {
        const inner::StatementDone *done = entry.answerTo(session.awaited);
        if (done == nullptr)
            return false;
        const inner::RunStatement statement = *std::exchange(session.sent, std::nullopt);
        const bool isCommit = statement.verb == inner::SessionVerb::Commit;
        session.isOpen = done->reason == Reason::None && !isCommit;
        if (done->reason != Reason::None)
            return true;
        CHECK(done->signature == signatureOf(statement));
        if (isCommit) {
            ++commits_;
            CHECK(cluster_.group.statementsByCommit[done->signature] == session.answered);
        }
        session.answered.push_back(done->signature);
        return true;
    }

    void giveUpOrRepeat(Entry &entry, Session &session)
    {
        const bool isFirst = session.sent->begins != inner::TransactionMode::None;
        const std::size_t choice = draw(12);
        if (choice == 0) {
            // Gives up, with an end or without.
            session.sent.reset();
            session.isOpen = false;
            if (draw(2) == 0)
                entry.end(session.number);
        } else if (isFirst && choice < 4) {
            ++copies_;
            // The end of the outdated copy may come before or after the newer one.
            if (choice == 1)
                entry.end(session.number);
            const inner::RequestId older = session.awaited;
            session.awaited = entry.send(*session.sent);
            if (choice == 2)
                entry.end(session.number, older);
        } else if (isFirst && choice == 4) {
            ++copies_;
            // The newer copy arrives before another older one.
            const inner::RequestId late = entry.reserveNumber();
            session.awaited = entry.send(*session.sent);
            entry.send(*session.sent, late);
        }
    }

    ModelCluster cluster_;
    const int organisations_;
    std::mt19937_64 random_;
    int commits_ = 0;
    int copies_ = 0;
};

} // namespace

TEST_CASE("Random copies, ends and late answers leave each answer that of its statement")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        RandomSessions(seed, 0).play();
    }
}

TEST_CASE("Random copies leave no answer or connection to another organisation")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        RandomSessions(seed, 3).play();
    }
}
