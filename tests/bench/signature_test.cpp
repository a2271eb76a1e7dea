#include "bench/scripts.h"
#include "bench/signature.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::bench;

TEST_CASE("a signature depends on the order, length and kind of the added values")
{
    Signature ab;
    ab.add(std::string_view("a"));
    ab.add(std::string_view("b"));
    Signature ba;
    ba.add(std::string_view("b"));
    ba.add(std::string_view("a"));
    Signature joined;
    joined.add(std::string_view("ab"));
    CHECK(ab.value() != ba.value());
    CHECK(ab.value() != joined.value());
    Signature nothing;
    nothing.add(std::optional<Duration>());
    Signature zero;
    zero.add(std::optional<Duration>(Duration(0)));
    CHECK(nothing.value() != zero.value());
}

// replay_test.cpp covers the replays, which take too long here under a sanitizer.
TEST_CASE("each script is deterministic and adds to the signature")
{
    for (const Script &script : scripts()) {
        if (script.name == "replays")
            continue;
        INFO(std::string(script.name));
        Signature first;
        Signature second;
        script.run(first);
        script.run(second);
        CHECK(first.value() == second.value());
        CHECK(first.value() != Signature().value());
    }
}
