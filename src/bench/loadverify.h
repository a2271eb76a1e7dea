#pragma once

#include "bench/loadplan.h"
#include "bench/loadresult.h"

#include <absl/status/status.h>

#include <map>
#include <mutex>
#include <string>

namespace kelptally::bench {

// What the table holds, against what was answered.
struct Verification
{
    std::uint64_t acknowledged = 0;
    // Acknowledged, but not there.
    std::uint64_t lost = 0;
    // There more than once.
    std::uint64_t doubled = 0;
    // Answered with "executed: no", but there.
    std::uint64_t ranDespiteNo = 0;
    // Outcome unknown to the end, there or not.
    std::uint64_t unknown = 0;
    // Why the table could not be read.
    absl::Status status;

    bool good() const { return status.ok() && lost + doubled + ranDespiteNo == 0; }
};

// Collects the outcomes of writes of {id} into load_writes(id, run) and holds them against the
// table. Thread-safe.
class WriteLedger
{
public:
    void add(const LoadOutcome &outcome);
    // Reads the run's rows through the first entry, by a kind that asks for the newest data.
    Verification verify(const LoadPlan &plan, const std::string &group, const std::string &readKind,
                        const std::string &run) const;

private:
    enum class WriteState {
        Done,
        NotRun,
        Unknown,
    };
    mutable std::mutex mutex_;
    std::map<std::string, WriteState> writes_;
};

} // namespace kelptally::bench
