#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace kelptally::decision {

// The lease of a group's owner, built from successors' promises not to claim the group.
//
// The owner counts a promise from the send time of the request and the successor from its receipt,
// so the owner's lease ends first whatever the network delay.
class Lease
{
public:
    // How long a successor keeps a promise, from the receipt of the request.
    static constexpr Duration promiseDuration = std::chrono::milliseconds(1500);
    // Subtracted on the owner's side to allow for clock drift between the two processes.
    static constexpr Duration driftMargin = std::chrono::milliseconds(50);

    // With byIncarnation, a promise counts only for the incarnation of the process that made it.
    explicit Lease(bool byIncarnation) : byIncarnation_(byIncarnation) { }

    void clear();
    // Adds a process, without a promise or with one that counts from startsAt.
    void add(const ProcessId &process, std::optional<Instant> startsAt);
    // Removes all other processes.
    void keepOnly(const std::vector<ProcessId> &processes);
    void remove(const ProcessId &process);
    bool contains(const ProcessId &process) const { return find(process) != nullptr; }

    // Starts a round of requests and returns the processes to send them to with this sequence.
    std::vector<ProcessId> beginRound(Instant now, std::uint64_t sequence);
    void onPromise(const ProcessId &from, std::uint64_t sequence);

    // Marks the processes for which isDead returns true. A process that died while its promise held
    // has never claimed the group and never will.
    void markDead(Instant now, const std::function<bool(const ProcessId &)> &isDead);

    // Returns the time until which the process cannot claim the group: Instant::min() without a
    // promise, Instant::max() if it died while its promise held. For several processes, returns the
    // earliest such time.
    Instant end(const ProcessId &process) const;
    Instant end(const std::vector<ProcessId> &processes) const;

    // Whether a request to the process has gone unanswered for at least the limit, or the process
    // is unknown or dead.
    bool isSilent(Instant now, const ProcessId &process, Duration limit) const;

    // Returns the processes in the order in which they were added.
    std::vector<ProcessId> processes() const;

private:
    struct Promise
    {
        ProcessId process;
        // Send time of the latest answered request, or of the claim that listed the process.
        std::optional<Instant> startsAt;
        // Send time of the oldest unanswered request after that.
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
