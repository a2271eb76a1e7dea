#pragma once

#include "decision/confirmation.h"
#include "owner/groupcontext.h"

#include <functional>
#include <map>
#include <vector>

namespace kelptally::owner {

// Outcome of the wait for a majority.
enum class ConfirmationOutcome {
    // A majority of the servers holds the work in the current term.
    Confirmed,
    // The new primary's history does not contain the work, so it did not happen.
    Lost,
    // The process stopped before the outcome was known.
    Unresolved,
};
using ConfirmationCallback = std::function<void(ConfirmationOutcome)>;

// Committed writes of one group that wait for a majority. A failover does not end the wait: a
// position that is part of the new history waits for a majority in the new term.
class ConfirmationWaits
{
public:
    explicit ConfirmationWaits(GroupContext &context) : context_(context) { }

    // Returns an id for remove().
    decision::WriteId add(Position position, ConfirmationCallback callback);
    // As add(), for work that has just been committed at the primary; also requests positions from
    // the replicas at once.
    decision::WriteId addCommitted(Instant sentAt, Position position,
                                   ConfirmationCallback callback);
    void remove(decision::WriteId id) { waits_.erase(id); }

    void onReport(const ServerName &server, const decision::ServerReport &report);
    void onPrimaryReady(Term term, std::size_t serverCount);
    // Ends all waits as unresolved.
    void stop();

    // Whether any write waits, so that servers should be sampled at once.
    bool waiting() const { return confirmation_.waiting(); }

private:
    struct Wait
    {
        Position position;
        Instant since;
        ConfirmationCallback callback;
    };

    void checkHistory(decision::WriteId id, Term term);
    void finish(decision::WriteId id, ConfirmationOutcome outcome);

    GroupContext &context_;
    decision::Confirmation confirmation_;
    Term term_ = 0;
    std::size_t serverCount_ = 0;
    std::map<decision::WriteId, Wait> waits_;
    decision::WriteId lastId_ = 0;
};

} // namespace kelptally::owner
