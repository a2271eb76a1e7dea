#include "owner/serverreport.h"

#include <absl/strings/numbers.h>

namespace kelptally::owner {

namespace {

constexpr std::size_t statusColumnCount = 7;

bool parseNumber(const Value &value, std::uint64_t &number)
{
    return value && absl::SimpleAtoi(*value, &number);
}

} // namespace

std::optional<decision::ServerReport> parseServerReport(const Rows &rows)
{
    if (rows.values.size() != 1 || rows.values.front().size() != statusColumnCount)
        return std::nullopt;
    const auto &row = rows.values.front();
    decision::ServerReport report;
    if (!row[1] || !parseNumber(row[0], report.term) || !parseNumber(row[2], report.received.offset)
        || !parseNumber(row[3], report.applied.offset) || !parseNumber(row[4], report.fence)
        || !parseNumber(row[5], report.applied.term) || !parseNumber(row[6], report.received.term))
        return std::nullopt;
    report.isPrimary = *row[1] == "primary";
    return report;
}

std::optional<std::vector<decision::TermStart>> parseHistory(const Rows &rows)
{
    std::vector<decision::TermStart> history;
    for (const auto &row : rows.values) {
        decision::TermStart start;
        if (row.size() != 2 || !parseNumber(row[0], start.term)
            || !parseNumber(row[1], start.start))
            return std::nullopt;
        history.push_back(start);
    }
    return history;
}

} // namespace kelptally::owner
