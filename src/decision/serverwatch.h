#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>

namespace kelptally::decision {

// Whether one server answers, from probes and ordinary traffic. Refused connections are strong
// evidence and need one confirmation; silence needs time and several probes.
class ServerWatch
{
public:
    // A probe of this sequence is sent.
    void onProbeSent(Instant now, std::uint64_t sequence);
    // It answered anything.
    void onResponse(Instant now);
    // A connection was refused or reset at once.
    void onRefused(Instant now);
    // Forgets all evidence, as after a pause of this process, which made every server look silent.
    void reset();

    bool isRefused(Instant now) const;
    // Silent for long enough; counts only if another server was heard meanwhile.
    bool isSilent(Instant now) const;

    std::uint64_t lastProbeSequence() const { return lastProbeSequence_; }
    Instant lastProbeAt() const { return lastProbeAt_; }
    std::optional<Instant> lastResponseAt() const { return lastResponseAt_; }
    bool hasRefused() const { return refusals_ > 0; }
    // Send time of the oldest probe since the server was heard last.
    std::optional<Instant> unansweredSince() const { return unansweredSince_; }

    // Two refusals this far apart: one alone may be a full queue of connections.
    static constexpr Duration refusalConfirmationDelay = std::chrono::milliseconds(50);
    // Silence is declared after this time and number of probes; see docs/design/failover.md for
    // the measured rate of false alarms.
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
