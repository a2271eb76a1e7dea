#include "decision/transactions.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

#include <set>

namespace {

const Instant start {1h};

Transactions makeTransactions(OwnerEpoch epoch = 5, std::uint64_t seed = 1)
{
    return Transactions("offers", "127.0.0.1:4000", epoch, seed, 10s, 3);
}

} // namespace

TEST_CASE("A transaction id round-trips through its text form, and malformed text is rejected")
{
    Transactions transactions = makeTransactions();
    const TransactionId id = *transactions.begin(start, "web");
    const std::string text = id.toText();
    const auto back = TransactionId::fromText(text);
    REQUIRE(back);
    CHECK(back->toText() == text);
    CHECK(back->group == "offers");
    CHECK(back->owner == "127.0.0.1:4000");
    CHECK(transactions.enter(start, *back, "web") == Reason::None);

    for (std::size_t i = 0; i < text.size() - 6; ++i)
        CHECK_FALSE(TransactionId::fromText(text.substr(0, i)));
    CHECK_FALSE(TransactionId::fromText(""));
    CHECK_FALSE(TransactionId::fromText("t2~1~1~1~a~b"));
    CHECK_FALSE(TransactionId::fromText("t1~01~1~1~a~b"));
    CHECK_FALSE(TransactionId::fromText("t1~-1~1~1~a~b"));
    CHECK_FALSE(TransactionId::fromText("t1~1~1~11111111111111111~a~b"));
    CHECK_FALSE(TransactionId::fromText("t1~1~1~1~~b"));
    CHECK_FALSE(TransactionId::fromText("t1~1~1~1~a~"));
    CHECK_FALSE(TransactionId::fromText(text + std::string(600, 'x')));
}

TEST_CASE("Steps of a transaction do not overlap, and other teams are refused")
{
    Transactions transactions = makeTransactions();
    const TransactionId id = *transactions.begin(start, "web");
    CHECK(transactions.enter(start, id, "brokers") == Reason::Forbidden);
    CHECK(transactions.enter(start, id, "web") == Reason::None);
    CHECK(transactions.enter(start, id, "web") == Reason::TransactionBusy);
    transactions.leave(start, id);
    CHECK(transactions.enter(start, id, "web") == Reason::None);
}

TEST_CASE("A transaction id cannot be derived from others")
{
    Transactions transactions = makeTransactions();
    const TransactionId id = *transactions.begin(start, "web");
    TransactionId guess = id;
    guess.number = id.number + 1;
    REQUIRE(transactions.begin(start, "web"));
    CHECK(transactions.enter(start, guess, "web") == Reason::UnknownTransaction);
    guess = id;
    guess.secret ^= 1;
    CHECK(transactions.enter(start, guess, "web") == Reason::UnknownTransaction);

    std::set<std::uint64_t> secrets;
    for (std::uint64_t seed = 0; seed < 100; ++seed)
        secrets.insert(makeTransactions(5, seed).begin(start, "web")->secret);
    for (OwnerEpoch epoch = 6; epoch < 106; ++epoch)
        secrets.insert(makeTransactions(epoch).begin(start, "web")->secret);
    CHECK(secrets.size() == 200);
}

TEST_CASE("Only idle transactions end at the idle limit, with the reason TransactionIdle")
{
    Transactions transactions = makeTransactions();
    const TransactionId idle = *transactions.begin(start, "web");
    const TransactionId busy = *transactions.begin(start, "web");
    CHECK(transactions.enter(start + 1s, busy, "web") == Reason::None);
    CHECK(transactions.expireIdle(start + 9s).empty());
    const auto ended = transactions.expireIdle(start + 10s);
    REQUIRE(ended.size() == 1);
    CHECK(ended.front().number == idle.number);
    CHECK(transactions.enter(start + 11s, idle, "web") == Reason::TransactionIdle);
    CHECK(transactions.openCount() == 1);
    transactions.leave(start + 20s, busy);
    CHECK(transactions.expireIdle(start + 29s).empty());
    CHECK(transactions.expireIdle(start + 30s).size() == 1);
}

TEST_CASE("An ended transaction and its outcome are remembered for a limited time")
{
    Transactions transactions = makeTransactions();
    const TransactionId lost = *transactions.begin(start, "web");
    const TransactionId done = *transactions.begin(start, "web");
    transactions.end(start, lost, Reason::TransactionEnded);
    transactions.end(start, done, Reason::None);
    CHECK(transactions.enter(start, lost, "web") == Reason::TransactionEnded);
    CHECK(transactions.enter(start, done, "web") == Reason::UnknownTransaction);
    CHECK(transactions.committed(done));
    CHECK_FALSE(transactions.committed(lost));
    TransactionId forged = done;
    forged.secret ^= 1;
    CHECK_FALSE(transactions.committed(forged));
    CHECK(transactions.enter(start + 2min, lost, "web") == Reason::UnknownTransaction);
}

TEST_CASE("The numbers of open and remembered transactions are bounded")
{
    Transactions transactions = makeTransactions();
    std::vector<TransactionId> ids;
    for (int i = 0; i < 10000; ++i) {
        ids.push_back(*transactions.begin(start, "web"));
        transactions.end(start, ids.back(), Reason::TransactionEnded);
    }
    CHECK(transactions.enter(start, ids.front(), "web") == Reason::UnknownTransaction);
    CHECK(transactions.enter(start, ids.back(), "web") == Reason::TransactionEnded);

    for (int i = 0; i < 3; ++i)
        CHECK(transactions.begin(start, "web"));
    CHECK_FALSE(transactions.begin(start, "web"));
    CHECK(transactions.open().size() == 3);
}

TEST_CASE("A transaction of an earlier epoch has ended, one of a later epoch is unknown")
{
    Transactions before = makeTransactions(5);
    const TransactionId id = *before.begin(start, "web");
    Transactions after = makeTransactions(6);
    CHECK(after.begin(start, "web"));
    CHECK(after.enter(start, id, "web") == Reason::TransactionEnded);
    after.end(start, id, Reason::TransactionIdle);
    CHECK(after.openCount() == 1);
    Transactions stale = makeTransactions(4);
    CHECK(stale.enter(start, id, "web") == Reason::UnknownTransaction);
}
