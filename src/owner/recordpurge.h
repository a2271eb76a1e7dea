#pragma once

#include "owner/groupcontext.h"

#include <memory>

namespace kelptally::owner {

// Deletes the records of expired idempotency keys at the primary in small batches while all its
// slots are idle.
class RecordPurge
{
public:
    explicit RecordPurge(GroupContext &context) : context_(context) { }

    // Must be called on each tick while the group is served.
    void tick();

private:
    void run(ServerExecutor &executor);

    GroupContext &context_;
    Instant nextPurge_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::owner
