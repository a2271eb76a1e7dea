#pragma once

#include "core/timerservice.h"
#include "decision/ownership.h"
#include "entry/ownerlinks.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kelptally::entry {

// Reads ownership rows from the platform.
class OwnershipRowReader
{
public:
    using Callback = std::function<void(absl::StatusOr<std::optional<decision::OwnershipRow>>)>;

    virtual ~OwnershipRowReader() = default;

    // Calls back exactly once, on the requests thread.
    virtual void read(const GroupName &group, Callback callback) = 0;
};

// Cache of the groups' owners, filled on demand from the ownership row in the table service, from
// Locate messages to other processes (successors first, as they know the owner without the store)
// and from hints in refusals. Rows are read at most once per rowReadInterval and group, so that the
// loss of an owner does not overload the store.
class OwnerDirectory
{
public:
    using Callback = std::function<void(const std::optional<std::string> &owner)>;

    static constexpr Duration rowReadInterval = std::chrono::milliseconds(500);
    static constexpr Duration locateInterval = std::chrono::milliseconds(100);
    static constexpr Duration lookupTimeout = std::chrono::milliseconds(600);
    // Locate messages go to at least this many processes, if there are as many.
    static constexpr std::size_t minLocateTargets = 3;

    OwnerDirectory(TimerService &timers, OwnershipRowReader &rows, OwnerLinks &links);

    // Returns the cached owner unless it is suspected to have failed.
    std::optional<std::string> owner(const GroupName &group) const;
    // Looks up the owner and calls back exactly once, possibly before returning; with nullopt after
    // lookupTimeout. Concurrent calls for one group share a lookup.
    void resolve(const GroupName &group, Callback callback);

    // Handles the owner named in the refusal of a process that does not own the group.
    void onHint(const GroupName &group, const std::string &owner);
    void onLocateAnswer(const inner::LocateAnswer &answer);
    // Marks the process as failed for the group, so that owner() does not return it until it is
    // confirmed again.
    void suspect(const GroupName &group, const std::string &address);
    void suspectAll(const std::string &address);

private:
    struct CachedOwner
    {
        std::string owner;
        OwnerEpoch epoch = 0;
        std::vector<std::string> successors;
        bool suspected = false;
    };
    struct Lookup
    {
        std::vector<Callback> callbacks;
        TimerId timeoutTimer = 0;
        TimerId retryTimer = 0;
        std::optional<Instant> rowReadAt;
        std::optional<Instant> locateSentAt;
    };

    void lookUp(const GroupName &group);
    void readRow(const GroupName &group);
    void sendLocate(const GroupName &group);
    std::vector<std::string> locateTargets(const GroupName &group);
    void updateOwner(const GroupName &group, const std::string &owner, OwnerEpoch epoch);
    void finish(const GroupName &group, const std::optional<std::string> &owner);

    TimerService &timers_;
    OwnershipRowReader &rows_;
    OwnerLinks &links_;
    std::unordered_map<GroupName, CachedOwner> cache_;
    std::unordered_map<GroupName, Lookup> lookups_;
    inner::RequestId lastLocate_ = 0;
    std::size_t nextTarget_ = 0;
};

} // namespace kelptally::entry
