#pragma once

#include "bench/loadplan.h"
#include "bench/loadresult.h"

#include <string>

namespace kelptally::bench {

// Returns the result as a JSON document. Sorts the latencies.
std::string loadReport(const LoadPlan &plan, LoadResult &result);

// Returns the result as text, with a line for each statement of the mix and each refusal reason.
// Sorts the latencies.
std::string loadSummary(const LoadPlan &plan, LoadResult &result);

// Returns an SVG document with two plots: latency by quantile for each statement, and latency over
// time. Sorts the latencies.
std::string loadPlot(LoadResult &result);

} // namespace kelptally::bench
