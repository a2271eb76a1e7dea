#include "decision/confirmation.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;

namespace {

ServerReport reportAt(Term term, LogOffset offset)
{
    ServerReport report;
    report.term = term;
    report.received = {term, offset};
    return report;
}

} // namespace

TEST_CASE("A write is confirmed once a majority holds it", "[confirmation]")
{
    Confirmation confirmation;
    confirmation.onTerm(7, 3);
    confirmation.add(1, {7, 10});
    confirmation.add(2, {7, 12});
    CHECK(confirmation.waiting());
    CHECK(confirmation.onReport("r1", reportAt(7, 9)).empty());
    CHECK(confirmation.onReport("r2", reportAt(7, 11)) == std::vector<WriteId> {1});
    CHECK(confirmation.confirmed() == Position {7, 11});
    CHECK(confirmation.onReport("r1", reportAt(7, 12)) == std::vector<WriteId> {2});
    CHECK_FALSE(confirmation.waiting());
}

TEST_CASE("A group of five servers needs two replicas to confirm", "[confirmation]")
{
    Confirmation confirmation;
    confirmation.onTerm(7, 5);
    confirmation.add(1, {7, 10});
    CHECK(confirmation.onReport("r1", reportAt(7, 10)).empty());
    CHECK(confirmation.onReport("r1", reportAt(7, 20)).empty());
    CHECK(confirmation.onReport("r2", reportAt(7, 10)) == std::vector<WriteId> {1});
}

TEST_CASE("Reports of another term confirm nothing", "[confirmation]")
{
    Confirmation confirmation;
    confirmation.onTerm(7, 3);
    confirmation.add(1, {7, 10});
    CHECK(confirmation.onReport("r1", reportAt(6, 50)).empty());
    CHECK(confirmation.onReport("r1", reportAt(8, 50)).empty());
    // The replica is in the term, but its newest record is of an older one.
    ServerReport divergent = reportAt(6, 50);
    divergent.term = 7;
    CHECK(confirmation.onReport("r1", divergent).empty());
}

TEST_CASE("A new term returns pending writes as unknown", "[confirmation]")
{
    Confirmation confirmation;
    confirmation.onTerm(7, 3);
    confirmation.onReport("r1", reportAt(7, 8));
    confirmation.add(1, {7, 10});
    confirmation.add(2, {7, 11});
    CHECK(confirmation.onTerm(7, 3).empty());
    CHECK(confirmation.onTerm(8, 3) == std::vector<WriteId> {1, 2});
    confirmation.add(3, {8, 5});
    CHECK(confirmation.onReport("r1", reportAt(8, 4)).empty());
}

TEST_CASE("Reports of the primary confirm nothing", "[confirmation]")
{
    Confirmation confirmation;
    confirmation.onTerm(7, 3);
    confirmation.add(1, {7, 10});
    ServerReport primary = reportAt(7, 10);
    primary.isPrimary = true;
    CHECK(confirmation.onReport("p", primary).empty());
}
