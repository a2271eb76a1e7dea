#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/ownership.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>

namespace kelptally::decision {

// States of one apply: version n+1 is written on condition that n is the newest, and read back when
// the outcome of the write is unknown.
enum class ApplyState {
    Reading,
    Writing,
    ReadingBack,
    // The version holds this operator's document.
    Accepted,
    // Another version conflicts with this apply; nothing of it was or will be written.
    Conflict,
    // The store could not be reached; nothing was or will be written.
    Failed,
    // A write was sent and its outcome is unknown: it may still take effect. Repeating the apply
    // with the same change id finds out.
    Unknown,
};

// Actions that the caller carries out. ReadNewestRow ends in onNewestVersion() or onReadFailed().
struct ReadNewestRow
{ };
// Ends in onVersionRow() or onReadFailed().
struct ReadVersionRow
{
    ConfigVersion version = 0;
};
// Writes two rows in one transaction: the row of the version, which must not exist yet, and the
// newest row, which must have this tag, or not exist if there is no tag. Ends in onWriteOutcome().
struct WriteVersionRow
{
    ConfigVersion version = 0;
    std::optional<std::string> newestEtag;
};
using ApplyAction = std::variant<ReadNewestRow, ReadVersionRow, WriteVersionRow>;

// State machine of one operator's attempt to make a document the version after the expected one.
// At most one action is in flight. All writes carry the same change id, so a write that takes
// effect late is still recognised as this operator's.
class ConfigApply
{
public:
    // Retries until the timeout; an action in flight by then is awaited.
    ConfigApply(ConfigVersion expected, std::string changeId, Duration timeout, std::uint64_t seed);

    std::optional<ApplyAction> start(Instant now);
    // Takes the newest row; version 0 and no tag if there is none.
    std::optional<ApplyAction> onNewestVersion(Instant now, ConfigVersion version,
                                               const std::optional<std::string> &etag);
    // Takes the change id of the version's row, or no value if there is no such row.
    std::optional<ApplyAction> onVersionRow(Instant now,
                                            const std::optional<std::string> &changeId);
    std::optional<ApplyAction> onReadFailed(Instant now);
    std::optional<ApplyAction> onWriteOutcome(Instant now, WriteOutcome outcome);
    std::optional<ApplyAction> onTick(Instant now);

    ApplyState state() const { return state_; }
    bool ended() const;
    // The version that this apply creates.
    ConfigVersion version() const { return expected_ + 1; }
    // Newest version seen in the store.
    ConfigVersion newest() const { return newest_; }

    static constexpr Duration tickPeriod = std::chrono::milliseconds(50);

private:
    std::optional<ApplyAction> enterState(ApplyState next);
    std::optional<ApplyAction> scheduleRetry(Instant now, ApplyState next);

    const ConfigVersion expected_;
    const std::string changeId_;
    const Duration timeout_;
    std::mt19937_64 random_;
    ApplyState state_ = ApplyState::Reading;
    Instant deadline_;
    // When to retry; no value while an action is in flight.
    std::optional<Instant> retryAt_;
    int retries_ = 0;
    bool writeOutcomeUnknown_ = false;
    ConfigVersion newest_ = 0;
    std::optional<std::string> newestEtag_;
};

} // namespace kelptally::decision
