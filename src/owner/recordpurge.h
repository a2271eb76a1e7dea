#pragma once

#include "owner/groupcontext.h"

#include <memory>

namespace kelptally::owner {

// Deletes the records of expired idempotency keys at the primary, a few at a time and only on idle
// slots.
class RecordPurge
{
public:
    explicit RecordPurge(GroupContext &context) : context_(context) { }

    // Called on each tick while the group is served.
    void tick();

private:
    void run(ServerExecutor &executor);

    GroupContext &context_;
    Instant next_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::owner
