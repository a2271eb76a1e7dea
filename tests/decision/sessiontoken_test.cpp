#include "decision/sessiontoken.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

#include <random>

namespace {

constexpr std::string_view key = "a key of the tests";

SessionToken tokenOf(int groups)
{
    SessionToken token;
    for (int i = 0; i < groups; ++i)
        token.advance("group" + std::to_string(i), {makeTerm(3, 1), 1000u + i});
    return token;
}

} // namespace

TEST_CASE("A sealed token opens with the same positions")
{
    SessionToken token;
    token.advance("offers", {makeTerm(7, 2), 123456789});
    token.advance("deposits", {~Term(0), ~LogOffset(0)});
    const auto opened = SessionToken::open(token.seal(key), key);
    REQUIRE(opened.ok());
    REQUIRE(opened->positions().size() == 2);
    CHECK(*opened->find("offers") == Position {makeTerm(7, 2), 123456789});
    CHECK(*opened->find("deposits") == Position {~Term(0), ~LogOffset(0)});
    CHECK(opened->find("listings") == nullptr);
    CHECK(SessionToken::open("", key)->positions().empty());
}

TEST_CASE("A position in a token never decreases, also across terms")
{
    SessionToken token;
    token.advance("offers", {2, 50});
    token.advance("offers", {2, 40});
    CHECK(*token.find("offers") == Position {2, 50});
    token.advance("offers", {3, 10});
    token.advance("offers", {2, 99});
    CHECK(*token.find("offers") == Position {3, 10});
}

TEST_CASE("Every altered, truncated or extended token is refused")
{
    const std::string good = tokenOf(3).seal(key);
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string bad = good;
        bad[i] = bad[i] == 'A' ? 'B' : 'A';
        INFO("byte " << i);
        CHECK(absl::IsInvalidArgument(SessionToken::open(bad, key).status()));
        CHECK(
            absl::IsInvalidArgument(SessionToken::open(good.substr(0, i + 1) + "*", key).status()));
        if (i > 0)
            CHECK(absl::IsInvalidArgument(SessionToken::open(good.substr(0, i), key).status()));
    }
    CHECK(absl::IsInvalidArgument(SessionToken::open(good + "A", key).status()));
    CHECK(absl::IsInvalidArgument(SessionToken::open(good, "another key").status()));
}

TEST_CASE("Random bytes never open as a token")
{
    std::mt19937_64 random(1);
    for (int i = 0; i < 2000; ++i) {
        std::string text(1 + random() % 200, ' ');
        for (char &c : text)
            c = static_cast<char>(random() % 256);
        CHECK_FALSE(SessionToken::open(text, key).ok());
    }
}

TEST_CASE("An oversized token is refused, and hasRoomFor() detects it before a write")
{
    CHECK(absl::IsResourceExhausted(
        SessionToken::open(std::string(maxTokenBytes + 1, 'A'), key).status()));

    const SessionToken full = tokenOf(maxTokenGroups);
    CHECK(SessionToken::open(full.seal(key), key).ok());
    CHECK(full.hasRoomFor("group5"));
    CHECK_FALSE(full.hasRoomFor("one more"));
    const SessionToken over = tokenOf(maxTokenGroups + 1);
    CHECK(absl::IsResourceExhausted(SessionToken::open(over.seal(key), key).status()));
}

TEST_CASE("A token filled while hasRoomFor() holds stays within the size limits")
{
    SessionToken token;
    for (int i = 0; token.hasRoomFor(std::string(200, 'a') + std::to_string(i)); ++i)
        token.advance(std::string(200, 'a') + std::to_string(i), {~Term(0), ~LogOffset(0)});
    CHECK(token.positions().size() > 5);
    CHECK(SessionToken::open(token.seal(key), key).ok());
}
