#include "services/configrows.h"
#include "services/ownershiprow.h"
#include "settings/inidocument.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::services;

TEST_CASE("an ownership row is restored from its JSON")
{
    decision::OwnershipRow row;
    row.epoch = 7;
    row.owner = {"127.0.0.1:22001", ~Incarnation(0)};
    row.successors = {{"127.0.0.1:22002", 3}, {"127.0.0.1:22003", 4}};
    row.term = makeTerm(7, 2);
    row.primary = "tariff-1a";
    row.changeId = "abc";
    const auto read = decodeOwnershipRow(encodeOwnershipRow(row));
    REQUIRE(read.ok());
    CHECK(read->epoch == row.epoch);
    CHECK(read->owner == row.owner);
    CHECK(read->successors == row.successors);
    CHECK(read->term == row.term);
    CHECK(read->primary == row.primary);
    CHECK(read->changeId == row.changeId);
}

TEST_CASE("a text that is not an ownership row is refused")
{
    const std::string whole = encodeOwnershipRow({1, {"a:1", 2}, {{"b:1", 3}}, 4, "p", "c"});
    REQUIRE(decodeOwnershipRow(whole).ok());
    for (std::size_t length = 0; length < whole.size(); ++length)
        CHECK(absl::IsInvalidArgument(decodeOwnershipRow(whole.substr(0, length)).status()));
    const char *const broken[] = {
        "[]",
        "{}",
        R"({"epoch":-1,"owner":{"address":"a:1","incarnation":2},"successors":[],"term":4,)"
        R"("primary":"p","changeId":"c"})",
        R"({"epoch":1,"owner":{"address":"a:1"},"successors":[],"term":4,"primary":"p",)"
        R"("changeId":"c"})",
        R"({"epoch":1,"owner":{"address":"a:1","incarnation":2},"successors":[5],"term":4,)"
        R"("primary":"p","changeId":"c"})",
        R"({"epoch":1,"owner":5,"successors":[],"term":4,"primary":"p","changeId":"c"})",
    };
    for (const char *text : broken) {
        INFO(text);
        CHECK(absl::IsInvalidArgument(decodeOwnershipRow(text).status()));
    }
    const ProcessId process {"b:1", 3};
    CHECK_FALSE(
        decodeOwnershipRow(encodeOwnershipRow({1, process, {process, process, process}, 4, "", ""}))
            .ok());
    CHECK_FALSE(
        decodeOwnershipRow(encodeOwnershipRow({1, {std::string(65, 'x'), 1}, {}, 4, "", ""})).ok());
    CHECK_FALSE(decodeOwnershipRow(std::string(maxOwnershipRowBytes + 1, '[')).ok());
}

TEST_CASE("configuration rows are restored from their JSON, and other texts are refused")
{
    const ConfigVersionRow row {3, "ann", "id", "2026-12-02T16:00:00Z", "[zone a]\n; \xC3\xA5\t"};
    const auto text = encodeConfigRow(row);
    REQUIRE(text.ok());
    const auto read = decodeConfigVersionRow(*text);
    REQUIRE(read.ok());
    CHECK(read->version == 3);
    CHECK(read->changeId == row.changeId);
    CHECK(read->author == row.author);
    CHECK(read->time == row.time);
    CHECK(read->document == row.document);
    CHECK_FALSE(decodeConfigVersionRow(text->substr(1)).ok());
    CHECK_FALSE(decodeConfigVersionRow(R"({"version":3,"changeId":"id"})").ok());

    const auto newest = decodeNewestConfigRow(*encodeConfigRow(NewestConfigRow {9, "id"}));
    REQUIRE(newest.ok());
    CHECK(newest->version == 9);
    CHECK(newest->changeId == "id");
    CHECK_FALSE(decodeNewestConfigRow(R"({"version":0,"changeId":"id"})").ok());
    CHECK_FALSE(decodeNewestConfigRow(R"({"version":1.5,"changeId":"id"})").ok());
    CHECK(configVersionKey(12) == "version-12");

    CHECK_FALSE(encodeConfigRow(ConfigVersionRow {1, "", "", "", "\xFF"}).ok());
    CHECK_FALSE(encodeConfigRow(ConfigVersionRow {1, "", "", "",
                                                  std::string(settings::maxDocumentBytes + 1, 'x')})
                    .ok());
    CHECK_FALSE(encodeConfigRow(NewestConfigRow {1, std::string(200, 'x')}).ok());
}
