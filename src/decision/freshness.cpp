#include "decision/freshness.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// At one sample each 50 ms this covers 50 s in full detail, which is above the ages that callers
// state; beyond that the older half is thinned. Chosen, not measured.
constexpr std::size_t maxSamples = 1024;

} // namespace

bool Freshness::isUsable(Position position) const
{
    return !term_ || isInHistory(position, *term_, history_);
}

// A server may call the end of the old term's log by the new term before the new term's first
// record; both names then stand for the same records.
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

    // 1. The place by time; answers may come out of order.
    auto at = samples_.end();
    while (at != samples_.begin() && std::prev(at)->at > probeSent)
        --at;

    // 2. A later sample that asks no more of a replica makes this one useless.
    if (at != samples_.end() && at->position <= position)
        return;

    // 3. This one makes earlier samples useless that ask as much.
    auto first = at;
    while (first != samples_.begin() && position <= std::prev(first)->position)
        --first;
    at = samples_.erase(first, at);
    samples_.insert(at, {probeSent, position});
    if (samples_.size() > maxSamples)
        thinOldSamples();

    // 4. Replicas that hold the position already are that much fresher.
    for (auto &entry : replicas_) {
        ReplicaBound &bound = entry.second;
        if (position <= bound.applied && isUsable(bound.applied))
            bound.asOf = std::max(bound.asOf.value_or(probeSent), probeSent);
    }
}

// Drops every other sample of the older half: bounds then err towards older.
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
