#pragma once

#include "core/clock.h"
#include "core/reason.h"
#include "core/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kelptally::decision {

// Id of a transaction as given to callers. Contains the group and the owner's address and epoch, so
// that any entry finds the owner, and a secret that callers cannot guess.
struct TransactionId
{
    GroupName group;
    std::string owner;
    OwnerEpoch epoch = 0;
    std::uint64_t number = 0;
    std::uint64_t secret = 0;

    std::string toText() const;
    static std::optional<TransactionId> fromText(const std::string &text);
};

enum class TransactionState {
    // Open with no step running.
    Idle,
    // A statement, commit or rollback is running.
    Busy,
    Ended,
};

// Tracks the transactions of one group at its owner. Open ones are limited in number and in idle
// time; ended ones are remembered for a while to answer late requests.
class Transactions
{
public:
    Transactions(GroupName group, std::string owner, OwnerEpoch epoch, std::uint64_t seed,
                 Duration idleLimit, std::size_t maxOpen);

    // Opens a transaction; returns nothing if the limit of open transactions is reached.
    std::optional<TransactionId> begin(Instant now, const TeamName &team);

    // Marks the transaction as busy for one step. Returns Reason::None, or the reason of refusal:
    // unknown, busy, owned by another team, or the reason with which it ended.
    Reason enter(Instant now, const TransactionId &id, const TeamName &team);
    // Ends the step; the transaction is idle from now on.
    void leave(Instant now, const TransactionId &id);

    // Ends the transaction. Later requests that name it are refused with the reason; Reason::None
    // means that its commit was acknowledged.
    void end(Instant now, const TransactionId &id, Reason reason);

    // Returns whether the transaction is known to have committed, so that a repeated commit is
    // answered as done. The outcome of a commit in another epoch is known only from the record of
    // its idempotency key.
    bool committed(const TransactionId &id) const;

    // Ends transactions that exceed the idle limit with Reason::TransactionIdle and returns them.
    // The caller must roll back their connections.
    std::vector<TransactionId> expireIdle(Instant now);
    // Returns all open transactions.
    std::vector<TransactionId> open() const;
    std::size_t openCount() const { return open_.size(); }

private:
    struct OpenTransaction
    {
        TeamName team;
        std::uint64_t secret = 0;
        TransactionState state = TransactionState::Idle;
        Instant lastUsed;
    };
    struct EndedTransaction
    {
        std::uint64_t secret = 0;
        Reason reason = Reason::None;
        Instant endedAt;
    };

    bool isFromThisOwner(const TransactionId &id) const;
    std::uint64_t secretOf(std::uint64_t number) const;
    TransactionId idOf(std::uint64_t number, std::uint64_t secret) const;
    Reason rejectionReason(Instant now, const TransactionId &id) const;
    const EndedTransaction *findEnded(const TransactionId &id) const;
    void evictEnded(Instant now);

    const GroupName group_;
    const std::string owner_;
    const OwnerEpoch epoch_;
    const std::uint64_t seed_;
    const Duration idleLimit_;
    const std::size_t maxOpen_;
    std::uint64_t lastNumber_ = 0;
    std::map<std::uint64_t, OpenTransaction> open_;
    std::map<std::uint64_t, EndedTransaction> ended_;
    // Keys of ended_ from the oldest to the newest.
    std::deque<std::uint64_t> endedOrder_;
};

} // namespace kelptally::decision
