#include "bench/loadresult.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace kelptally::bench {

namespace {

std::uint32_t microseconds(Duration duration)
{
    const auto count = duration / std::chrono::microseconds(1);
    constexpr std::int64_t maxMicroseconds = std::numeric_limits<std::uint32_t>::max();
    return std::uint32_t(std::clamp<std::int64_t>(count, 0, maxMicroseconds));
}

template <typename T>
void append(std::vector<T> &to, const std::vector<T> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

} // namespace

std::uint32_t quantile(std::vector<std::uint32_t> &values, double fraction)
{
    if (values.empty())
        return 0;
    if (!std::is_sorted(values.begin(), values.end()))
        std::sort(values.begin(), values.end());
    const auto rank = std::size_t(std::ceil(fraction * double(values.size())));
    return values[std::min(values.size(), std::max<std::size_t>(rank, 1)) - 1];
}

void LoadResult::add(const LoadOutcome &outcome, Instant start)
{
    StatementResult &statement = statements[outcome.statement];
    const auto second = std::size_t((outcome.intended - start) / std::chrono::seconds(1));
    if (seconds.size() <= second)
        seconds.resize(second + 1);
    statement.retries += std::uint64_t(outcome.retries);
    if (outcome.good) {
        const std::uint32_t latency = microseconds(outcome.answered - outcome.intended);
        statement.latencyMicroseconds.push_back(latency);
        statement.fromReplica += outcome.fromReplica ? 1 : 0;
        seconds[second].latencyMicroseconds.push_back(latency);
        return;
    }
    ++seconds[second].refused;
    ReasonCount &count = statement.refusals[outcome.reason];
    if (outcome.executed == Executed::No)
        ++count.executedNo;
    else if (outcome.executed == Executed::Yes)
        ++count.executedYes;
    else
        ++count.executedUnknown;
}

void LoadResult::merge(const LoadResult &other)
{
    statements.resize(std::max(statements.size(), other.statements.size()));
    for (std::size_t i = 0; i < other.statements.size(); ++i) {
        const StatementResult &from = other.statements[i];
        StatementResult &to = statements[i];
        to.name = from.name;
        append(to.latencyMicroseconds, from.latencyMicroseconds);
        to.fromReplica += from.fromReplica;
        to.retries += from.retries;
        for (const auto &[reason, count] : from.refusals) {
            to.refusals[reason].executedNo += count.executedNo;
            to.refusals[reason].executedYes += count.executedYes;
            to.refusals[reason].executedUnknown += count.executedUnknown;
        }
    }
    seconds.resize(std::max(seconds.size(), other.seconds.size()));
    for (std::size_t i = 0; i < other.seconds.size(); ++i) {
        append(seconds[i].latencyMicroseconds, other.seconds[i].latencyMicroseconds);
        seconds[i].refused += other.seconds[i].refused;
    }
    violations.ownWriteMissed += other.violations.ownWriteMissed;
    violations.tooStale += other.violations.tooStale;
    checked += other.checked;
    unfinished += other.unfinished;
}

} // namespace kelptally::bench
