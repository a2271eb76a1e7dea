#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <string>
#include <vector>

namespace kelptally::decision {

// An owner before the present one, as the group's row names it. Without a name nothing but time can
// prove its end.
struct EarlierOwner
{
    ProcessId process;
    OwnerEpoch epoch = 0;

    bool isNamed() const { return !process.address.empty(); }
};

// Owners before this one that may still act: until their leases have run out, or until each is
// proven to have ended. When hosts were cut in halves and meet again a group changes hands several
// times within a second; with only the last of them asked for its end, the primary could not be
// changed for 12 s, though all of them had said so.
class EarlierOwners
{
public:
    // A group was acquired. The row listed these, and their leases end after so long; zero: none is
    // left. An empty list with time left names nobody.
    void begin(Instant now, const std::vector<EarlierOwner> &listed, Duration remaining,
               const ProcessId &self);
    // The owner that the row named.
    void add(const EarlierOwner &owner, Instant until);

    bool mayAct(Instant now) const;
    bool mayAct(const EarlierOwner &owner, Instant now) const;
    // Those that may; the nameless ones, too.
    std::vector<EarlierOwner> open(Instant now) const;

    // Another run of a process was heard at its address. True when this is news.
    bool onRestarted(const ProcessId &process);
    // The process says that it has ended what it did under epochs up to this one.
    bool onEndConfirmed(const std::string &address, OwnerEpoch epoch);

    // For the row of the next owner: those that were listed before, and the one that it follows.
    static std::vector<EarlierOwner> listForNextOwner(std::vector<EarlierOwner> listed,
                                                      bool isGuarded,
                                                      const EarlierOwner &predecessor);

private:
    struct Entry
    {
        EarlierOwner owner;
        Instant until;
    };

    template <typename Predicate>
    bool remove(Predicate predicate);

    std::vector<Entry> entries_;
};

} // namespace kelptally::decision
