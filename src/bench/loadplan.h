#pragma once

#include "core/clock.h"
#include "settings/findings.h"

#include <optional>
#include <string>
#include <vector>

namespace kelptally::bench {

// What an answer is held against.
enum class LoadCheck {
    None,
    // The read names {last}, the session's newest acknowledged write: at least one row must come.
    OwnWrite,
    // The write stores {counter}, which goes up by one with each write.
    CounterWrite,
    // The read returns the counter: it may miss no write that was acknowledged longer ago than the
    // stated age.
    CounterRead,
};

// One kind of statement of the mix. In its parameters {id} stands for an id that is used once,
// {run} for the run's name, {last} for the id of the session's newest acknowledged write, {counter}
// for the next number of the counter and {random} for a number below 1000.
struct LoadStatement
{
    std::string name;
    int weight = 1;
    std::string group;
    std::string kind;
    std::string sql;
    std::vector<std::string> parameters;
    std::optional<Duration> statedAge;
    std::optional<Duration> deadline;
    // Sent with an idempotency key, and sent again with it until the outcome is known.
    bool keyed = false;
    LoadCheck check = LoadCheck::None;
};

// A load: what is sent, how often, by how many connections, to which entries.
struct LoadPlan
{
    // "ip:port" of each entry's caller port.
    std::vector<std::string> entries;
    std::string callerKey;
    // Requests a second, all workers together.
    int rate = 1000;
    Duration duration {std::chrono::seconds(10)};
    // Of all workers together, spread over the entries.
    int connections = 64;
    int workers = 2;
    // Sessions of all workers together; more are opened when all have a request under way.
    int sessions = 200;
    // A request that has no definite answer this long after its intended time counts as lost.
    Duration requestTimeout {std::chrono::seconds(30)};
    // Seed of the arrivals and of the choice of statements.
    int seed = 1;
    std::vector<LoadStatement> mix;
};

// Reads [load] and [statement NAME] sections; docs/LOAD.md lists the keys. Use the result only
// without findings.
LoadPlan parseLoadPlan(const std::string &file, const std::string &text,
                       settings::Findings &findings);

} // namespace kelptally::bench
