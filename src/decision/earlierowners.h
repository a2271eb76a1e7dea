#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <string>
#include <vector>

namespace kelptally::decision {

// A previous owner of a group, as listed in the group's row. An unnamed one can only be assumed to
// have stopped when its lease has expired.
struct EarlierOwner
{
    ProcessId process;
    OwnerEpoch epoch = 0;

    bool isNamed() const { return !process.address.empty(); }
};

// Previous owners of a group that may still act on it. Each is dropped when its lease has expired
// or when it is proven to have stopped. All of them are tracked, as a group may change owners
// several times within one lease after a network partition heals. When only the latest one was
// asked whether it had stopped, the primary could not be replaced for 12 s, though all earlier
// owners had confirmed it.
class EarlierOwners
{
public:
    // Starts with the owners listed in the row of a group just acquired. Their leases end after the
    // remaining time; zero means that none is left. An empty list with time remaining stands for
    // one unnamed owner.
    void begin(Instant now, const std::vector<EarlierOwner> &listed, Duration remaining,
               const ProcessId &self);
    // Adds the owner that the row named.
    void add(const EarlierOwner &owner, Instant until);

    bool mayAct(Instant now) const;
    bool mayAct(const EarlierOwner &owner, Instant now) const;
    // Returns the owners that may still act, including unnamed ones.
    std::vector<EarlierOwner> active(Instant now) const;

    // A process was seen at its address: other incarnations there have stopped. Returns whether an
    // owner was dropped.
    bool onRestarted(const ProcessId &process);
    // The process confirms that it has stopped acting under epochs up to this one. Returns whether
    // an owner was dropped.
    bool onEndConfirmed(const std::string &address, OwnerEpoch epoch);

    // Returns the list for the row of the next owner: the owners listed so far and its predecessor.
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
