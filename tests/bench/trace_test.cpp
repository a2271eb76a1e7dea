#include "bench/trace.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::bench;
using namespace std::chrono_literals;

namespace {

const std::string header = "trace t zone-delay=1ms client-delay=1ms replication=2ms\n"
                           "host h1 zone=z1\n"
                           "server s1 group=g zone=z1 slots=3\n";

} // namespace

TEST_CASE("each shipped trace is unchanged after formatting and parsing")
{
    for (const Trace &trace : shippedTraces()) {
        INFO(trace.name);
        const std::string text = formatTrace(trace);
        const auto reparsed = parseTrace(text);
        REQUIRE(reparsed.ok());
        CHECK(formatTrace(*reparsed) == text);
        CHECK(reparsed->events.size() == trace.events.size());
    }
}

TEST_CASE("requests and faults are parsed with all their fields")
{
    const auto trace = parseTrace(header
                                  + "# a comment\n"
                                    "@5ms write id=7 session=3 entry=h1 group=g team=web "
                                    "class=critical once=yes deadline=5s cost=2ms expect=done\n"
                                    "@6ms read id=8 session=3 entry=h1 group=g team=web "
                                    "class=browse age=250ms deadline=1s cost=1ms expect=any\n"
                                    "@7ms lag of=s1 time=3s\n");
    REQUIRE(trace.ok());
    REQUIRE(trace->events.size() == 3);
    const TraceRequest &write = *trace->events[0].request;
    CHECK(write.write);
    CHECK_FALSE(write.repeatable);
    CHECK(write.requestClass == settings::RequestClass::Critical);
    CHECK(write.deadline == 5s);
    const TraceRequest &read = *trace->events[1].request;
    CHECK(read.statedAge == Duration(250ms));
    CHECK(read.expect == ExpectedOutcome::Any);
    CHECK(trace->events[2].fault->kind == FaultKind::LagServer);
    CHECK(trace->events[2].fault->time == 3s);
}

TEST_CASE("an invalid trace is rejected with the line")
{
    const std::vector<std::string> invalidLines = {
        "@5ms write id=7\n",
        "@5ms jump of=s1\n",
        "@5ms kill of=s1 of=s1\n",
        "@5ms kill of=s1 extra=1\n",
        "@5 kill of=s1\n",
        "@-5ms kill of=s1\n",
        "@7ms kill of=s1\n@6ms kill of=s1\n",
        "@7ms slow of=s1 factor=0\n",
        "@7ms lag of=s1\n",
        "server s2 group=g zone=z slots=none\n",
        "nonsense here\n",
        "word\n",
    };
    for (const std::string &line : invalidLines) {
        INFO(line);
        const auto trace = parseTrace(header + line);
        CHECK(absl::IsInvalidArgument(trace.status()));
        CHECK(trace.status().message().find("line ") == 0);
    }
    CHECK_FALSE(parseTrace("").ok());
}
