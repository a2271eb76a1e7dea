#include "core/reason.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace kelptally;

TEST_CASE("each reason has a unique name and an explanation")
{
    std::set<std::string_view> names;
    for (const ReasonInfo &info : allReasons()) {
        INFO(std::string(info.name));
        CHECK(names.insert(info.name).second);
        CHECK(reasonFromName(info.name) == info.reason);
        CHECK(reasonInfo(info.reason).name == info.name);
        CHECK(info.httpStatus >= 400);
        CHECK_FALSE(info.explanation.empty());
    }
    CHECK(reasonFromName("no such reason") == Reason::None);
}
