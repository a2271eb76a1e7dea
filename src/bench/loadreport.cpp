#include "bench/loadreport.h"

#include "core/json.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace kelptally::bench {

namespace {

constexpr double reportedQuantiles[] = {0.5, 0.9, 0.99, 0.999, 1};
constexpr const char *quantileNames[] = {"p50Ms", "p90Ms", "p99Ms", "p999Ms", "maxMs"};

double toMs(std::uint32_t microseconds)
{
    return microseconds / 1000.0;
}

void writeLatency(JsonWriter &writer, std::vector<std::uint32_t> &latency)
{
    for (std::size_t i = 0; i < std::size(reportedQuantiles); ++i)
        writer.member(quantileNames[i], toMs(quantile(latency, reportedQuantiles[i])));
}

void writeStatement(JsonWriter &writer, StatementResult &statement)
{
    writer.beginObject().member("name", statement.name);
    writer.member("good", std::uint64_t(statement.latencyMicroseconds.size()));
    writer.member("fromReplica", statement.fromReplica).member("retries", statement.retries);
    writeLatency(writer, statement.latencyMicroseconds);
    writer.key("refusals").beginArray();
    for (const auto &[reason, count] : statement.refusals) {
        writer.beginObject().member("reason", reason);
        writer.member("executedNo", count.executedNo).member("executedYes", count.executedYes);
        writer.member("executedUnknown", count.executedUnknown).endObject();
    }
    writer.endArray().endObject();
}

std::uint64_t totalCount(const ReasonCount &count)
{
    return count.executedNo + count.executedYes + count.executedUnknown;
}

std::uint64_t refusalsOf(const StatementResult &statement)
{
    std::uint64_t sum = 0;
    for (const auto &[reason, count] : statement.refusals)
        sum += totalCount(count);
    return sum;
}

} // namespace

std::string loadReport(const LoadPlan &plan, LoadResult &result)
{
    JsonWriter writer;
    writer.beginObject().member("rate", plan.rate).member("connections", plan.connections);
    writer.member("durationMs", toMilliseconds(plan.duration));
    writer.member("checked", result.checked);
    writer.member("ownWriteMissed", result.violations.ownWriteMissed);
    writer.member("tooStale", result.violations.tooStale);
    writer.member("unfinished", result.unfinished);
    writer.key("statements").beginArray();
    for (StatementResult &statement : result.statements)
        writeStatement(writer, statement);
    writer.endArray().key("seconds").beginArray();
    for (LoadSecond &second : result.seconds) {
        writer.beginObject().member("good", std::uint64_t(second.latencyMicroseconds.size()));
        writer.member("refused", second.refused);
        writeLatency(writer, second.latencyMicroseconds);
        writer.endObject();
    }
    writer.endArray().endObject();
    return writer.take() + "\n";
}

std::string loadSummary(const LoadPlan &plan, LoadResult &result)
{
    std::string text =
        absl::StrFormat("%-20s %9s %9s %8s %8s %9s %9s %9s %9s\n", "statement", "good", "refused",
                        "retries", "replica%", "p50-ms", "p99-ms", "p999-ms", "max-ms");
    std::uint64_t succeeded = 0;
    for (StatementResult &s : result.statements) {
        auto &latency = s.latencyMicroseconds;
        succeeded += latency.size();
        const double share =
            latency.empty() ? 0 : 100.0 * double(s.fromReplica) / double(latency.size());
        text += absl::StrFormat("%-20s %9d %9d %8d %8.2f %9.2f %9.2f %9.2f %9.2f\n", s.name,
                                latency.size(), refusalsOf(s), s.retries, share,
                                toMs(quantile(latency, 0.5)), toMs(quantile(latency, 0.99)),
                                toMs(quantile(latency, 0.999)), toMs(quantile(latency, 1)));
        for (const auto &[reason, count] : s.refusals)
            text += absl::StrFormat("  %-18s no %d, yes %d, unknown %d\n", reason, count.executedNo,
                                    count.executedYes, count.executedUnknown);
    }
    const double seconds = toMilliseconds(plan.duration) / 1000;
    text += absl::StrFormat("good/s %.0f of %d intended, checked %d, own write missed %d, too stale"
                            " %d, unfinished %d\n",
                            double(succeeded) / seconds, plan.rate, result.checked,
                            result.violations.ownWriteMissed, result.violations.tooStale,
                            result.unfinished);
    return text;
}

} // namespace kelptally::bench
