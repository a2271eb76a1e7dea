#pragma once

#include "decision/confirmation.h"
#include "owner/groupcontext.h"

#include <functional>
#include <map>
#include <vector>

namespace kelptally::owner {

// What became of committed work whose answer is held back.
enum class ConfirmationOutcome {
    // A majority of the servers holds it in the current term.
    Confirmed,
    // The term ended and the new primary's history does not hold it: it did not happen.
    Lost,
    // This process stopped before it was known.
    Unresolved,
};
using ConfirmationCallback = std::function<void(ConfirmationOutcome)>;

// Committed writes of one group on their way to a majority. A failover does not end the wait: a
// position that is part of the new history waits for a majority in the new term.
class ConfirmationWaits
{
public:
    explicit ConfirmationWaits(GroupContext &context) : context_(context) { }

    // Returns a number for forget().
    decision::WriteId add(Position position, ConfirmationCallback callback);
    // The same for work that was sent at this time and has just been committed there: the replicas
    // are asked for it at once.
    decision::WriteId addCommitted(Instant sentAt, Position position,
                                   ConfirmationCallback callback);
    void remove(decision::WriteId id) { waits_.erase(id); }

    void onReport(const ServerName &server, const decision::ServerReport &report);
    void onPrimaryReady(Term term, std::size_t serverCount);
    // Ends every wait as open.
    void stop();

    // Whether the servers should be asked for their positions at once.
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
