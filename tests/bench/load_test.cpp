#include "bench/loadprocess.h"
#include "bench/loadreport.h"
#include "bench/loadrun.h"
#include "bench/loadverify.h"
#include "fakeentry.h"

#include <catch2/catch.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include <thread>

using namespace kelptally;
using namespace kelptally::bench;
using namespace std::chrono_literals;

namespace {

LoadPlan planFor(const FakeEntry &entry)
{
    LoadPlan plan;
    plan.entries = {entry.address()};
    plan.rate = 500;
    plan.connections = 4;
    LoadStatement write;
    write.name = "write";
    write.group = "offers";
    write.kind = "offer";
    write.sql = "INSERT INTO load_writes(id, run) VALUES ($1, $2)";
    write.parameters = {"{id}", "{run}"};
    write.keyed = true;
    plan.mix = {write};
    return plan;
}

LoadStatement readOf(LoadCheck check)
{
    LoadStatement read;
    read.name = "read";
    read.group = "offers";
    read.kind = "browse";
    read.sql = "SELECT value FROM load_counter";
    read.statedAge = 0ms;
    read.check = check;
    return read;
}

LoadResult run(const LoadPlan &plan, Duration time, const LoadWorker::Observer &observer,
               const std::string &name = "run1")
{
    LoadRun load(plan, name, observer);
    load.start();
    std::this_thread::sleep_for(time);
    return load.finish();
}

} // namespace

TEST_CASE("All errors of a plan are reported", "[load]")
{
    settings::Findings findings;
    parseLoadPlan("load.ini",
                  "[load]\nrate = many\nentries = here\n[statement a]\nkind = browse\n"
                  "sql = SELECT 1\nkeyed = perhaps\ncolour = red\n",
                  findings);
    CHECK(findings.all().size() == 5);
}

TEST_CASE("Quantiles use the nearest rank", "[load]")
{
    std::vector<std::uint32_t> values;
    for (std::uint32_t i = 100; i > 0; --i)
        values.push_back(i);
    CHECK(quantile(values, 0.5) == 50);
    CHECK(quantile(values, 0.99) == 99);
    CHECK(quantile(values, 1) == 100);
    values.clear();
    CHECK(quantile(values, 0.5) == 0);
}

TEST_CASE("The counter returns the highest number acknowledged by an instant", "[load]")
{
    CounterLedger counter;
    const Instant start {1h};
    counter.acknowledge(1, start + 1s);
    counter.acknowledge(3, start + 2s);
    counter.acknowledge(2, start + 3s);
    CHECK(counter.acknowledgedBy(start) == 0);
    CHECK(counter.acknowledgedBy(start + 1s) == 1);
    CHECK(counter.acknowledgedBy(start + 5s) == 3);
}

TEST_CASE("Keyed writes are retried until their outcome is known", "[load]")
{
    FakeEntry entry(EntryFault::None);
    WriteLedger ledger;
    const LoadPlan plan = planFor(entry);
    LoadResult result = run(plan, 300ms, [&](const LoadOutcome &o) { ledger.add(o); });
    const StatementResult &write = result.statements.at(0);
    REQUIRE(write.latencyMicroseconds.size() > 10);
    CHECK(write.retries == write.latencyMicroseconds.size());
    CHECK(write.refusals.empty());
    CHECK(result.unfinished == 0);
    const Verification found = ledger.verify(plan, "offers", "browse", "run1");
    CHECK(found.acknowledged == write.latencyMicroseconds.size());
    CHECK(found.good());
    CHECK(parseJson(loadReport(plan, result)).ok());
    CHECK(loadPlot(result).find("<polyline") != std::string::npos);
}

TEST_CASE("The verification of the table detects each kind of violation", "[load]")
{
    const EntryFault fault = GENERATE(EntryFault::LosesWrites, EntryFault::DuplicatesWrites,
                                      EntryFault::StoresRefusedWrites);
    FakeEntry entry(fault);
    WriteLedger ledger;
    const LoadPlan plan = planFor(entry);
    run(plan, 300ms, [&](const LoadOutcome &outcome) { ledger.add(outcome); });
    const Verification found = ledger.verify(plan, "offers", "browse", "run1");
    CHECK_FALSE(found.good());
    CHECK((found.lost > 0) == (fault == EntryFault::LosesWrites));
    CHECK((found.duplicates > 0) == (fault == EntryFault::DuplicatesWrites));
    CHECK((found.executedDespiteRefusal > 0) == (fault == EntryFault::StoresRefusedWrites));
}

TEST_CASE("Reads that miss acknowledged writes are counted", "[load]")
{
    const EntryFault fault = GENERATE(EntryFault::None, EntryFault::ReadsMissWrites);
    FakeEntry entry(fault);
    LoadPlan plan = planFor(entry);
    plan.mix[0].check = LoadCheck::CounterWrite;
    plan.mix.push_back(readOf(LoadCheck::CounterRead));
    plan.mix.push_back(readOf(LoadCheck::OwnWrite));
    plan.mix[2].sql = "SELECT id FROM load_writes";
    // On a busy machine, it takes some time until a session reads after its own write.
    const LoadResult result = run(plan, 2s, nullptr);
    CHECK(result.checked > 0);
    CHECK((result.violations.tooStale > 0) == (fault == EntryFault::ReadsMissWrites));
    CHECK((result.violations.ownWriteMissed > 0) == (fault == EntryFault::ReadsMissWrites));
}

TEST_CASE("A stall delays every request that was due during it", "[load]")
{
    FakeEntry entry(EntryFault::None);
    LoadPlan plan = planFor(entry);
    plan.mix = {readOf(LoadCheck::None)};
    plan.connections = 1;
    plan.workers = 1;
    entry.delayFirstAnswer(400ms);
    LoadResult result = run(plan, 600ms, nullptr);
    const auto &latency = result.statements.at(0).latencyMicroseconds;
    const auto slow = std::count_if(latency.begin(), latency.end(),
                                    [](std::uint32_t us) { return us >= 200'000; });
    // About 100 requests were due in the first 200 ms of the stall of 400 ms.
    CHECK(slow > 50);
}

TEST_CASE("Requests to an unreachable entry are counted as connection_refused", "[load]")
{
    FakeEntry entry(EntryFault::None);
    LoadPlan plan = planFor(entry);
    plan.entries = {"127.0.0.1:1"};
    plan.mix = {readOf(LoadCheck::None)};
    const LoadResult result = run(plan, 100ms, nullptr);
    CHECK(result.statements.at(0).latencyMicroseconds.empty());
    CHECK(result.statements.at(0).refusals.count("connection_refused") == 1);
}

TEST_CASE("Requests go to the next entry if one is unreachable", "[load]")
{
    FakeEntry entry(EntryFault::None);
    LoadPlan plan = planFor(entry);
    plan.entries = {"127.0.0.1:1", entry.address()};
    plan.mix = {readOf(LoadCheck::None)};
    const LoadResult result = run(plan, 100ms, nullptr);
    CHECK_FALSE(result.statements.at(0).latencyMicroseconds.empty());
    CHECK(result.statements.at(0).refusals.empty());
}

TEST_CASE("The CPU time of a process is accurate to a tick", "[load]")
{
    const auto usedProcessorTime = [] {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        const auto micro = [](const timeval &t) { return t.tv_sec * 1'000'000 + t.tv_usec; };
        return Duration(std::chrono::microseconds(micro(usage.ru_utime) + micro(usage.ru_stime)));
    };
    const Duration begin = usedProcessorTime();
    while (usedProcessorTime() - begin < 150ms) { }
    const Duration before = usedProcessorTime();
    const auto read = processorTime({getpid()});
    const Duration after = usedProcessorTime();
    REQUIRE(read.ok());
    // User and system time are each truncated to a tick of 10 ms.
    CHECK(*read >= before - 20ms);
    CHECK(*read <= after + 20ms);
    CHECK_FALSE(processorTime({-1}).ok());
    CHECK(residentMemory(getpid()).value_or(0) > 0);
}
