#include "decision/positionlog.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Samples closer together than this are merged. The interval is 1% of the shortest stated age in
// use, so merging them makes no difference to a read.
constexpr Duration minSampleInterval = std::chrono::milliseconds(15);
// Must exceed every stated age that replicas serve.
constexpr Duration retention = std::chrono::seconds(10);

} // namespace

void PositionLog::add(Instant sentAt, Position position)
{
    if (!samples_.empty()) {
        Sample &last = samples_.back();
        if (position < last.position)
            return;
        // An earlier probe was answered later, with a position that also covers the later probe.
        if (sentAt <= last.sentAt) {
            last.position = position;
            return;
        }
        const bool tooClose = samples_.size() >= 2
            && sentAt - samples_[samples_.size() - 2].sentAt < minSampleInterval;
        if (tooClose) {
            last = {sentAt, position};
            return;
        }
    }
    samples_.push_back({sentAt, position});
    while (samples_.size() > 2 && sentAt - samples_.front().sentAt > retention)
        samples_.pop_front();
}

std::optional<Position> PositionLog::positionCovering(Instant instant) const
{
    const auto found = std::lower_bound(samples_.begin(), samples_.end(), instant,
                                        [](const Sample &s, Instant at) { return s.sentAt < at; });
    if (found == samples_.end())
        return std::nullopt;
    return found->position;
}

std::optional<Position> PositionLog::newest() const
{
    if (samples_.empty())
        return std::nullopt;
    return samples_.back().position;
}

std::optional<Instant> PositionLog::firstSeen(Position position) const
{
    const auto found =
        std::lower_bound(samples_.begin(), samples_.end(), position,
                         [](const Sample &s, Position wanted) { return s.position < wanted; });
    if (found == samples_.end())
        return std::nullopt;
    return found->sentAt;
}

} // namespace kelptally::decision
