#include "core/keyring.h"

#include <catch2/catch.hpp>

using namespace kelptally;

TEST_CASE("A key belongs to the organisation that added it last")
{
    KeyRing ring;
    ring.add("town-water", sha256("one"));
    ring.add("county-water", {digestToHex(sha256("two")), "no digest"});
    CHECK(ring.size() == 2);
    CHECK(*ring.organisationOf(sha256("one")) == "town-water");
    CHECK(ring.organisationOf("two") == std::optional<OrganisationName>("county-water"));
    CHECK(ring.organisationOf(sha256("three")) == nullptr);
    CHECK(!ring.organisationOf(""));
    ring.add("county-water", sha256("one"));
    CHECK(*ring.organisationOf(sha256("one")) == "county-water");
}
