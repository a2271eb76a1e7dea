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

// Id of a transaction as callers see it. Names group, owner's address and epoch, so that any entry
// finds the owner, and a random part that cannot be guessed.
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
    // Begun, no statement runs.
    Idle,
    // A statement, the commit or the rollback runs.
    Busy,
    Ended,
};

// The open transactions of one group at its owner, each pinned to one connection by its number.
class Transactions
{
public:
    Transactions(GroupName group, std::string owner, OwnerEpoch epoch, std::uint64_t seed,
                 Duration idleLimit, std::size_t maxOpen);

    // Nothing when as many are open as may be.
    std::optional<TransactionId> begin(Instant now, const TeamName &team);

    // Claims the transaction for one step. Reason::None, or why not: unknown, ended (with the
    // reason it ended for), busy, or another team's.
    Reason enter(Instant now, const TransactionId &id, const TeamName &team);
    void leave(Instant now, const TransactionId &id);

    // Ends it; the reason is told to later requests that name it for a while. Reason::None when its
    // commit was acknowledged.
    void end(Instant now, const TransactionId &id, Reason reason);

    // Whether it is remembered as committed, so that a repeated commit is answered as done. A
    // commit that finds it ended at another epoch is of unknown outcome: only the record of a key
    // tells.
    bool committed(const TransactionId &id) const;

    // Those idle for too long, now ended with TransactionIdle: their connections are rolled back.
    std::vector<TransactionId> expireIdle(Instant now);
    // All open ones, as when the owner loses its lease or drains.
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
    // Numbers of ended_ in the order in which they ended.
    std::deque<std::uint64_t> endedOrder_;
};

} // namespace kelptally::decision
