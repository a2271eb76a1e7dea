#include "services/textdifference.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace kelptally::services;

namespace {

std::string route(int index, int timeout)
{
    return "{\"database\":\"db" + std::to_string(index) + "\",\"service\":\"group"
        + std::to_string(index % 1000)
        + "\",\"type\":\"read_own\",\"timeoutMs\":" + std::to_string(timeout) + ",\"priority\":2}";
}

// A large configuration in which one route has another timeout and one may be missing.
std::string document(int version, int changed, int timeout, int missing = -1)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (int i = 0; i < 1200; ++i)
        if (i != missing)
            text += (i == 0 ? "" : ",") + route(i, i == changed ? timeout : 800);
    return text + "],\"services\":[]}";
}

void checkDifference(const std::string &before, const std::string &after, std::size_t maxBytes)
{
    const std::string difference = differenceOf(before, after);
    CHECK(difference.size() <= maxBytes);
    const auto applied = applyDifference(before, difference);
    REQUIRE(applied.ok());
    CHECK(*applied == after);
}

} // namespace

TEST_CASE("The difference of one changed value is small")
{
    const std::string before = document(1, -1, 0);
    REQUIRE(before.size() > 100'000);
    checkDifference(before, document(2, 700, 900), 200);
    checkDifference(before, document(2, 0, 900), 200);
    checkDifference(before, document(2, -1, 0, 500), 300);
    checkDifference(document(1, -1, 0, 500), document(2, -1, 0), 400);
    checkDifference(before, before, 100);
}

TEST_CASE("Applying the difference of two texts gives the later one")
{
    const bool holds = rc::check("round trip", [] {
        const auto piece = rc::gen::element<std::string>("a,", "b}", "{c", "\n", "]", "long one,");
        const auto text = [&] {
            std::string all;
            for (const std::string &each : *rc::gen::container<std::vector<std::string>>(piece))
                all += each;
            return all + *rc::gen::arbitrary<std::string>();
        };
        const std::string before = text();
        const std::string after = text();
        const auto applied = applyDifference(before, differenceOf(before, after));
        RC_ASSERT(applied.ok());
        RC_ASSERT(*applied == after);
    });
    CHECK(holds);
}

TEST_CASE("A malformed difference, or one of another text, is refused")
{
    const std::string before = document(1, -1, 0);
    const std::string difference = differenceOf(before, document(2, 700, 900));
    CHECK(!applyDifference(document(1, 5, 70), difference).ok());
    CHECK(!applyDifference("", difference).ok());
    for (const char *bad :
         {"", "5", "5 ", "5 0 ", "5 0 c", "5 0 c1,", "5 0 c0,99;", "5 0 c9,1;", "5 0 t5",
          "5 0 t5:ab", "5 0 t99:ab", "5 0 x", "5 0 c-1,2;", "99999999999 0 t1:a",
          "1 0 t9:aaaaaaaaa", "1 0 c18446744073709551615,2;"})
        CHECK(!applyDifference("abc", bad).ok());
    for (std::size_t cut = 0; cut < difference.size(); cut += 7)
        CHECK(!applyDifference(before, difference.substr(0, cut)).ok());
}
