#include "owner/confirmationwaits.h"

#include "owner/ownermetrics.h"

#include <algorithm>

namespace kelptally::owner {

decision::WriteId ConfirmationWaits::add(Position position, ConfirmationCallback callback)
{
    const decision::WriteId id = ++lastId_;
    waits_.emplace(id, Wait {position, context_.now(), std::move(callback)});
    // The primary has been replaced since, or its successor is not known yet.
    if (position.term != term_)
        checkHistory(id, term_);
    else
        confirmation_.add(id, position);
    return id;
}

decision::WriteId ConfirmationWaits::addCommitted(Instant sentAt, Position position,
                                                  ConfirmationCallback callback)
{
    context_.servers.onPrimarySample(sentAt, position);
    const decision::WriteId id = add(position, std::move(callback));
    context_.failover.requestReplicaSamples();
    return id;
}

void ConfirmationWaits::onReport(const ServerName &server, const decision::ServerReport &report)
{
    for (const decision::WriteId id : confirmation_.onReport(server, report))
        finish(id, ConfirmationOutcome::Confirmed);
}

void ConfirmationWaits::onPrimaryReady(Term term, std::size_t serverCount)
{
    term_ = term;
    serverCount_ = serverCount;
    for (const decision::WriteId id : confirmation_.onTerm(term, serverCount))
        checkHistory(id, term);
}

// Records up to the start of this term have the same offsets in its history.
void ConfirmationWaits::checkHistory(decision::WriteId id, Term term)
{
    const auto found = waits_.find(id);
    const decision::Failover *failover = context_.failover.decision();
    if (found == waits_.end() || !failover)
        return;
    const Position position = found->second.position;
    if (decision::isInHistory(position, term, failover->history()))
        confirmation_.add(id, {term, position.offset});
    else
        finish(id, ConfirmationOutcome::Lost);
}

void ConfirmationWaits::finish(decision::WriteId id, ConfirmationOutcome outcome)
{
    const auto found = waits_.find(id);
    if (found == waits_.end())
        return;
    const Wait wait = std::move(found->second);
    waits_.erase(found);
    if (outcome == ConfirmationOutcome::Confirmed)
        context_.ports.metrics.observeConfirmation(context_.now() - wait.since);
    wait.callback(outcome);
}

void ConfirmationWaits::stop()
{
    std::vector<decision::WriteId> all;
    for (const auto &[id, wait] : waits_)
        all.push_back(id);
    for (const decision::WriteId id : all)
        finish(id, ConfirmationOutcome::Unresolved);
    // Keeps the term: when a lapsed lease is regained, the primary is unchanged.
    confirmation_ = decision::Confirmation();
    confirmation_.onTerm(term_, serverCount_);
}

} // namespace kelptally::owner
