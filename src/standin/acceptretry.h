#pragma once

#include "core/clock.h"

namespace kelptally::standin {

// Delay after a failed accept, which would fail again at once while descriptors are short.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);

} // namespace kelptally::standin
