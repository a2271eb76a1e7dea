#include "decision/freshness.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Bounds memory. Covers the ages that callers state at the usual sampling interval; beyond it the
// older half is thinned.
constexpr std::size_t maxSamples = 1024;

} // namespace

bool Freshness::isUsable(Position position) const
{
    return !term_ || isInHistory(position, *term_, history_);
}

// Maps a position that carries a term but lies before that term's first record to the preceding
// term. Servers may label the end of the old term's log with the new term.
Position Freshness::normalized(Position position) const
{
    for (std::size_t i = history_.size(); i > 1; --i) {
        const TermStart &entry = history_[i - 1];
        if (entry.term == position.term && position.offset < entry.start)
            position.term = history_[i - 2].term;
    }
    return position;
}

void Freshness::onPrimarySample(Instant probeSent, Position position)
{
    position = normalized(position);
    if (!isUsable(position))
        return;

    // 1. Find the insertion point by time; answers may arrive out of order.
    auto at = samples_.end();
    while (at != samples_.begin() && std::prev(at)->at > probeSent)
        --at;

    // 2. Skip this sample if a later one has the same or a lower position.
    if (at != samples_.end() && at->position <= position)
        return;

    // 3. Insert it in place of earlier samples with the same or a higher position.
    auto first = at;
    while (first != samples_.begin() && position <= std::prev(first)->position)
        --first;
    at = samples_.erase(first, at);
    samples_.insert(at, {probeSent, position});
    if (samples_.size() > maxSamples)
        thinOldSamples();

    // 4. Tighten the bounds of replicas that have already applied the position.
    for (auto &entry : replicas_) {
        ReplicaBound &bound = entry.second;
        if (position <= bound.applied && isUsable(bound.applied))
            bound.asOf = std::max(bound.asOf.value_or(probeSent), probeSent);
    }
}

// Drops every other sample of the older half. The remaining bounds can only become older.
void Freshness::thinOldSamples()
{
    std::deque<Sample> kept;
    const std::size_t half = samples_.size() / 2;
    for (std::size_t i = 0; i < samples_.size(); ++i) {
        if (i >= half || i % 2 == 0)
            kept.push_back(samples_[i]);
    }
    samples_ = std::move(kept);
}

std::optional<Instant> Freshness::asOf(Position applied) const
{
    const auto above = std::upper_bound(
        samples_.begin(), samples_.end(), applied,
        [](Position position, const Sample &sample) { return position < sample.position; });
    if (above == samples_.begin())
        return std::nullopt;
    return std::prev(above)->at;
}

void Freshness::onReplicaReport(const ServerName &replica, Position applied)
{
    applied = normalized(applied);
    ReplicaBound &bound = replicas_[replica];
    const bool jumpedBack = applied < bound.applied;
    if (jumpedBack || !isUsable(applied))
        bound.asOf.reset();
    bound.applied = applied;
    if (!isUsable(applied))
        return;
    const std::optional<Instant> found = asOf(applied);
    if (found && (!bound.asOf || *bound.asOf < *found))
        bound.asOf = found;
    if (bound.asOf && !samples_.empty())
        bound.lag = std::max(Duration(0), samples_.back().at - *bound.asOf);
}

void Freshness::onNewTerm(Term term, const std::vector<TermStart> &history)
{
    term_ = term;
    history_ = history;
    std::sort(history_.begin(), history_.end(),
              [](const TermStart &a, const TermStart &b) { return a.term < b.term; });

    const auto outside = [this](const Sample &sample) { return !isUsable(sample.position); };
    samples_.erase(std::remove_if(samples_.begin(), samples_.end(), outside), samples_.end());
    for (auto &entry : replicas_) {
        if (!isUsable(entry.second.applied))
            entry.second.asOf.reset();
    }
}

void Freshness::forget(const ServerName &server)
{
    replicas_.erase(server);
}

std::optional<Duration> Freshness::age(const ServerName &replica, Instant now) const
{
    const auto found = replicas_.find(replica);
    if (found == replicas_.end() || !found->second.asOf)
        return std::nullopt;
    return std::max(Duration(0), now - *found->second.asOf);
}

Duration Freshness::lag(const ServerName &replica) const
{
    const auto found = replicas_.find(replica);
    return found == replicas_.end() ? Duration(0) : found->second.lag;
}

std::optional<Position> Freshness::applied(const ServerName &replica) const
{
    const auto found = replicas_.find(replica);
    if (found == replicas_.end() || !isUsable(found->second.applied))
        return std::nullopt;
    return found->second.applied;
}

} // namespace kelptally::decision
