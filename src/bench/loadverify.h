#pragma once

#include "bench/loadplan.h"
#include "bench/loadresult.h"

#include <absl/status/status.h>

#include <map>
#include <mutex>
#include <string>

namespace kelptally::bench {

// Result of comparing the rows of the table with the answers to the writes.
struct Verification
{
    std::uint64_t acknowledged = 0;
    // Acknowledged writes that are not in the table.
    std::uint64_t lost = 0;
    // Ids that are in the table more than once.
    std::uint64_t duplicates = 0;
    // Writes answered as not executed that are in the table.
    std::uint64_t executedDespiteRefusal = 0;
    // Writes without a definite outcome, whether or not they are in the table.
    std::uint64_t unknown = 0;
    // Not OK if the table could not be read; then the counts are zero.
    absl::Status status;

    bool good() const { return status.ok() && lost + duplicates + executedDespiteRefusal == 0; }
};

// Collects the outcomes of writes of {id} into load_writes(id, run) and compares them with the
// table. Thread-safe.
class WriteLedger
{
public:
    void add(const LoadOutcome &outcome);
    // Reads the run's rows through the entries and compares them with the outcomes. readKind must
    // be a request kind that reads the newest data.
    Verification verify(const LoadPlan &plan, const std::string &group, const std::string &readKind,
                        const std::string &run) const;

private:
    enum class WriteState {
        Done,
        NotExecuted,
        Unknown,
    };
    mutable std::mutex mutex_;
    std::map<std::string, WriteState> writes_;
};

} // namespace kelptally::bench
