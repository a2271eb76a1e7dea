#pragma once

#include "core/clock.h"

#include <algorithm>
#include <vector>

namespace kelptally::bench {

// Returns the given percentile, zero for no values.
inline Duration quantile(std::vector<Duration> values, int percent)
{
    if (values.empty())
        return Duration(0);
    std::sort(values.begin(), values.end());
    return values[(values.size() - 1) * static_cast<std::size_t>(percent) / 100];
}

} // namespace kelptally::bench
