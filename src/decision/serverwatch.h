#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>

namespace kelptally::decision {

// Failure detector for one server, fed by probes and ordinary traffic. A refused connection is
// strong evidence of a failure and needs one confirmation; silence needs a timeout and several
// unanswered probes.
class ServerWatch
{
public:
    // A probe with this sequence number was sent.
    void onProbeSent(Instant now, std::uint64_t sequence);
    // The server sent any response.
    void onResponse(Instant now);
    // A connection was refused, or reset while it was opened.
    void onRefused(Instant now);
    // Discards all evidence, for example after a pause of this process, during which every server
    // seemed silent.
    void reset();

    bool isRefused(Instant now) const;
    // Whether the silence timeout has passed. Callers must check that other servers responded
    // meanwhile; otherwise this process may be isolated.
    bool isSilent(Instant now) const;

    std::uint64_t lastProbeSequence() const { return lastProbeSequence_; }
    Instant lastProbeAt() const { return lastProbeAt_; }
    std::optional<Instant> lastResponseAt() const { return lastResponseAt_; }
    bool hasRefused() const { return refusals_ > 0; }
    // Send time of the oldest probe since the last response.
    std::optional<Instant> unansweredSince() const { return unansweredSince_; }

    // Minimum time between the first refusal and the failure verdict: a single refusal may come
    // from a full accept queue.
    static constexpr Duration refusalConfirmationDelay = std::chrono::milliseconds(50);
    // A server is silent after this time and number of unanswered probes. See
    // docs/design/failover.md for the rate of false positives.
    static constexpr Duration silenceTimeout = std::chrono::milliseconds(400);
    static constexpr int minUnansweredProbes = 3;

private:
    std::uint64_t lastProbeSequence_ = 0;
    Instant lastProbeAt_;
    std::optional<Instant> lastResponseAt_;
    std::optional<Instant> unansweredSince_;
    int unansweredProbes_ = 0;
    int refusals_ = 0;
    Instant firstRefusalAt_;
};

} // namespace kelptally::decision
