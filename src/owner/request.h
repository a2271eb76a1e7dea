#pragma once

#include "core/clock.h"
#include "inner/messages.h"
#include "inner/peerlink.h"
#include "settings/inventory.h"

#include <memory>

namespace kelptally::owner {

// A request of an entry, from its arrival until it is answered.
struct Request
{
    inner::LinkId link = 0;
    inner::Execute execute;
    Instant arrived;
    Instant deadline;
    settings::RequestClass requestClass = settings::RequestClass::Write;
    // Unique within this process.
    std::uint64_t number = 0;
    bool answered = false;
    // The caller no longer waits; work that has not been sent yet is dropped.
    bool cancelled = false;
};

using RequestPtr = std::shared_ptr<Request>;

} // namespace kelptally::owner
