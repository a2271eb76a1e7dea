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

// Reads a group's ownership row from the platform.
class OwnershipRowReader
{
public:
    using Callback = std::function<void(absl::StatusOr<std::optional<decision::OwnershipRow>>)>;

    virtual ~OwnershipRowReader() = default;

    // Calls back exactly once, on the requests thread.
    virtual void read(const GroupName &group, Callback callback) = 0;
};

// Which process owns a group, learnt when it is asked for: from the row in the table service, from
// processes that know it (the successors first, which then need no store), and from hints of
// processes that are asked by mistake. Rows are read at most every rowReadInterval for each group,
// so that the loss of an owner does not fall on the store.
class OwnerDirectory
{
public:
    using Callback = std::function<void(const std::optional<std::string> &owner)>;

    // Chosen, not measured.
    static constexpr Duration rowReadInterval = std::chrono::milliseconds(500);
    static constexpr Duration locateInterval = std::chrono::milliseconds(100);
    static constexpr Duration lookupTimeout = std::chrono::milliseconds(600);
    // Processes asked when nothing is known of a group.
    static constexpr std::size_t minLocateTargets = 3;

    OwnerDirectory(TimerService &timers, OwnershipRowReader &rows, OwnerLinks &links);

    // The owner as far as known and not suspected.
    std::optional<std::string> owner(const GroupName &group) const;
    // Finds out, and calls back exactly once, possibly before it returns; nothing when nobody told
    // in time. All who ask for one group meanwhile share one look-up.
    void resolve(const GroupName &group, Callback callback);

    // A process that does not own the group named another.
    void onHint(const GroupName &group, const std::string &owner);
    void onLocateAnswer(const inner::LocateAnswer &answer);
    // The process does not answer for the group, or not any more.
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
