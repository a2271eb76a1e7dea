#include "bench/loadverify.h"

#include "bench/loadcaller.h"

#include <absl/status/statusor.h>

#include <thread>

namespace kelptally::bench {

namespace {

// Rows per query, below the size limit of a statement's result.
constexpr int pageSize = 2000;
constexpr int maxAttempts = 200;
constexpr auto retryDelay = std::chrono::milliseconds(100);
constexpr auto readDeadline = std::chrono::seconds(5);

using RowCounts = std::map<std::string, int>;

// Sends a request and returns the first successful answer, trying the entries in turn.
absl::StatusOr<CallerAnswer> queryWithRetries(const LoadPlan &plan, const std::string &body)
{
    CallerAnswer last;
    for (int i = 0; i < maxAttempts; ++i) {
        boost::asio::io_context context;
        Caller caller(context, {plan.entries[std::size_t(i) % plan.entries.size()]}, plan.callerKey,
                      1);
        caller.send({body, {}, {}}, [&](const CallerAnswer &answer) {
            last = answer;
            context.stop();
        });
        context.run();
        if (last.good())
            return last;
        std::this_thread::sleep_for(retryDelay);
    }
    return absl::UnavailableError("cannot read the table: " + last.reason);
}

absl::StatusOr<RowCounts> readTable(const LoadPlan &plan, const std::string &group,
                                    const std::string &kind, const std::string &run)
{
    const std::string sql = "SELECT id, count(*) FROM load_writes WHERE run = $1 AND id > $2"
                            " GROUP BY id ORDER BY id LIMIT "
        + std::to_string(pageSize);
    RowCounts rowCounts;
    while (true) {
        const std::string after = rowCounts.empty() ? "" : rowCounts.rbegin()->first;
        const auto answer = queryWithRetries(
            plan, statementBody(group, kind, sql, {run, after}, std::nullopt, readDeadline));
        if (!answer.ok())
            return answer.status();
        for (const auto &row : answer->rows)
            rowCounts[row.at(0).value_or("")] = std::atoi(row.at(1).value_or("0").c_str());
        if (answer->rows.size() < pageSize)
            return rowCounts;
    }
}

} // namespace

void WriteLedger::add(const LoadOutcome &outcome)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    writes_[outcome.id] = outcome.good     ? WriteState::Done
        : outcome.executed == Executed::No ? WriteState::NotExecuted
                                           : WriteState::Unknown;
}

Verification WriteLedger::verify(const LoadPlan &plan, const std::string &group,
                                 const std::string &readKind, const std::string &run) const
{
    Verification result;
    const auto rowCounts = readTable(plan, group, readKind, run);
    result.status = rowCounts.status();
    if (!rowCounts.ok())
        return result;
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto &[id, state] : writes_) {
        const bool exists = rowCounts->count(id) != 0;
        result.acknowledged += state == WriteState::Done ? 1 : 0;
        result.lost += state == WriteState::Done && !exists ? 1 : 0;
        result.executedDespiteRefusal += state == WriteState::NotExecuted && exists ? 1 : 0;
        result.unknown += state == WriteState::Unknown ? 1 : 0;
    }
    for (const auto &[id, count] : *rowCounts)
        result.duplicates += count > 1 ? 1 : 0;
    return result;
}

} // namespace kelptally::bench
