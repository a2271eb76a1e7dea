#pragma once

#include "core/clock.h"
#include "settings/findings.h"

#include <optional>
#include <string>
#include <vector>

namespace kelptally::bench {

// How an answer is checked.
enum class LoadCheck {
    None,
    // The read selects {last}, the session's newest acknowledged write, and must return a row.
    OwnWrite,
    // The write stores {counter}, which increases by one with each write.
    CounterWrite,
    // The read returns the counter and must include every write that was acknowledged longer ago
    // than the stated age.
    CounterRead,
};

// A statement of the mix. Placeholders in the parameters: {id} is a unique id, {run} the name of
// the run, {last} the id of the session's newest acknowledged write, {counter} the next value of
// the counter and {random} a random number below 1000.
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
    // Whether it has an idempotency key and is retried until its outcome is known.
    bool keyed = false;
    LoadCheck check = LoadCheck::None;
};

// Configuration of a load: targets, request rate, connections and statements.
struct LoadPlan
{
    // "ip:port" of each entry's caller port.
    std::vector<std::string> entries;
    std::string callerKey;
    // Requests per second of all workers together.
    int rate = 1000;
    Duration duration {std::chrono::seconds(10)};
    // Connections of all workers together, spread over the entries.
    int connections = 64;
    int workers = 2;
    // Sessions of all workers together. More are opened if all have a request in flight.
    int sessions = 200;
    // Time after a request's intended time of sending at which its retries end.
    Duration requestTimeout {std::chrono::seconds(30)};
    // Seed of the arrival times and of the choice of statements.
    int seed = 1;
    std::vector<LoadStatement> mix;
};

// Parses the [load] and [statement NAME] sections; docs/LOAD.md lists the keys. The result is valid
// only if there are no findings.
LoadPlan parseLoadPlan(const std::string &file, const std::string &text,
                       settings::Findings &findings);

} // namespace kelptally::bench
