#include "backend/requestrecord.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::backend;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a record keeps rows, nulls and counts")
{
    RequestRecord record;
    record.rows.columns = {"id", "note"};
    record.rows.values = {{Value("1"), Value()}, {Value("2"), Value("\"a\" \xc3\xa5")}};
    record.rows.affected = 2;
    const auto read = recordFromText(recordToText(record));
    REQUIRE(read);
    CHECK(read->state == RecordState::Done);
    CHECK(read->rows.columns == record.rows.columns);
    CHECK(read->rows.values == record.rows.values);
    CHECK(read->rows.affected == 2);
    CHECK_FALSE(read->rowsMissing);
}

TEST_CASE("rows over the limit are left out and marked as missing")
{
    RequestRecord record;
    record.rows.columns = {"text"};
    record.rows.values = {{Value(std::string(maxRecordedBytes + 1, 'x'))}};
    record.rows.affected = 1;
    const std::string text = recordToText(record);
    CHECK(text.size() < 100);
    const auto read = recordFromText(text);
    REQUIRE(read);
    CHECK(read->rowsMissing);
    CHECK(read->rows.values.empty());
    CHECK(read->rows.affected == 1);
}

TEST_CASE("text that is not a record is rejected")
{
    for (const char *text :
         {"", "x", "[]", "{}", "{\"state\":\"done\"}", "{\"state\":\"done\",\"affected\":\"x\"}"}) {
        INFO(text);
        CHECK_FALSE(recordFromText(text));
    }
}

TEST_CASE("the time encoded in a key")
{
    CHECK(keyTime("1800000000-x") == WallTime(seconds(1800000000)));
    // Example of RFC 9562, appendix A.6: 2022-02-22 14:22:22.00 -05:00.
    CHECK(keyTime("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") == WallTime(milliseconds(1645557742000)));
    for (const char *key :
         {"", "decision-17", "180000000-x", "1800000000", "18000000000-x",
          "017F22E2-79B0-4CC3-98C4-DC0C0C07398F", "017F22E2-79B0-7CC3-18C4-DC0C0C07398F",
          "017F22E2-79B0-7CC3-98C4-DC0C0C07398G"}) {
        INFO(key);
        CHECK_FALSE(keyTime(key));
    }
}

TEST_CASE("a key expires after the retention, a key without a time never")
{
    const WallTime then(seconds(1800000000));
    CHECK_FALSE(isKeyExpired("1800000000-x", then + hours(24), hours(24)));
    CHECK(isKeyExpired("1800000000-x", then + hours(24) + seconds(1), hours(24)));
    CHECK_FALSE(isKeyExpired("decision-17", then + hours(24 * 365), hours(24)));
}
