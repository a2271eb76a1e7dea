#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace kelptally::decision {

// The lease of one owner, made of other processes' promises not to claim the group. A promise
// counts from the send time of the request that it answers, so the owner's end comes before the
// other's whatever the way took.
class Lease
{
public:
    // How long a promise holds, counted by the one that makes it from the receipt of the request.
    static constexpr Duration promiseDuration = std::chrono::milliseconds(1500);
    // Taken off the owner's side for clocks that run at different speeds (3%; chosen).
    static constexpr Duration driftMargin = std::chrono::milliseconds(50);

    // With byIncarnation, a promise counts for the very run of a process that made it.
    explicit Lease(bool byIncarnation) : byIncarnation_(byIncarnation) { }

    void clear();
    // Begins to count on a process: nothing is promised yet, or since the given time.
    void add(const ProcessId &process, std::optional<Instant> startsAt);
    // Forgets all others.
    void keepOnly(const std::vector<ProcessId> &processes);
    void remove(const ProcessId &process);
    bool contains(const ProcessId &process) const { return find(process) != nullptr; }

    // Begins a round of requests; those returned are to be asked under this sequence.
    std::vector<ProcessId> beginRound(Instant now, std::uint64_t sequence);
    void onPromise(const ProcessId &from, std::uint64_t sequence);

    // Runs for which the test holds are dead. One that dies while its promise holds has never
    // claimed and never will.
    void markDead(Instant now, const std::function<bool(const ProcessId &)> &isDead);

    // Until when the process cannot claim: the far past without a promise, the far future when it
    // never will.
    Instant end(const ProcessId &process) const;
    Instant end(const std::vector<ProcessId> &processes) const;

    // A request has been unanswered for this long, or the process is known dead.
    bool isSilent(Instant now, const ProcessId &process, Duration limit) const;

    // Those asked, in the order in which they were added.
    std::vector<ProcessId> processes() const;

private:
    struct Promise
    {
        ProcessId process;
        // Send time of the newest request it answered, or of the claim that listed it.
        std::optional<Instant> startsAt;
        // Send time of the oldest request that it has not answered since.
        std::optional<Instant> unansweredSince;
        bool diedDuringPromise = false;
    };

    struct Round
    {
        std::uint64_t sequence = 0;
        Instant sentAt;
    };

    const Promise *find(const ProcessId &process) const;
    Instant end(const Promise &promise) const;

    bool byIncarnation_;
    std::vector<Promise> promises_;
    // Newest last.
    std::vector<Round> rounds_;
};

} // namespace kelptally::decision
