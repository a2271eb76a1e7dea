#include "admin/configdiff.h"

#include <catch2/catch.hpp>

using namespace kelptally::admin;

TEST_CASE("A diff lists changed sections and keys and hides passwords")
{
    const std::string before = "[zone a]\nregion = n\n[group g]\nteam = t\npassword = old\n"
                               "[zone gone]\nregion = n\n";
    const std::string after = "; moved\n[group g]\npassword = new\nteam = u\nuser = x\n"
                              "[zone b]\nregion = n\n[zone a]\n";
    CHECK(changesToText(diffDocuments(before, after))
          == "~ [group g] password: (hidden) -> (hidden)\n"
             "~ [group g] team: t -> u\n"
             "+ [group g] user: x\n"
             "+ [zone b]\n"
             "- [zone a] region: n\n"
             "- [zone gone]\n");
    CHECK(diffDocuments(before, before).empty());
    CHECK(diffDocuments("", "").empty());
}
