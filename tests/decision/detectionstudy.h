#pragma once

#include <cstdint>
#include <iosfwd>

namespace kelptally::decision {

// Measures the false positives of failure detection when probes are lost at random, and the time to
// detect a primary that refuses connections or hangs. Without ordinary traffic, which would give
// further evidence that a server is alive.
void printDetectionStudy(std::ostream &out, std::uint64_t seed);

} // namespace kelptally::decision
