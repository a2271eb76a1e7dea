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

// The steps of one apply: write version n+1 on condition that n is the newest, read back when the
// answer is lost.
enum class ApplyState {
    Reading,
    Writing,
    ReadingBack,
    // The version is the operator's.
    Accepted,
    // Another version stands in the way; nothing of this apply was or will be written.
    Conflict,
    // The store could not be reached; nothing was or will be written.
    Failed,
    // A write was sent and its outcome could not be learnt: the version may be accepted, now or a
    // little later. The same apply with the same change id tells.
    Unknown,
};

// What the apply asks for next. ReadNewestRow ends in onNewestVersion() or onReadFailed().
struct ReadNewestRow
{ };
// Ends in onVersionRow() or onReadFailed().
struct ReadVersionRow
{
    ConfigVersion version = 0;
};
// One transaction: the row of the version, which must not exist yet, and the newest row, on its
// tag (nothing: it must not exist either). Ends in onWriteOutcome().
struct WriteVersionRow
{
    ConfigVersion version = 0;
    std::optional<std::string> newestEtag;
};
using ApplyAction = std::variant<ReadNewestRow, ReadVersionRow, WriteVersionRow>;

// One operator's attempt to make a document the version after the expected one. One action is under
// way at a time. The change id stays the same over all its writes, so a write that takes effect
// late is still recognised as this operator's.
class ConfigApply
{
public:
    // Gives up after the patience, or once the action then under way has ended.
    ConfigApply(ConfigVersion expected, std::string changeId, Duration timeout, std::uint64_t seed);

    std::optional<ApplyAction> start(Instant now);
    // The newest row; version 0 and no tag when there is none.
    std::optional<ApplyAction> onNewestVersion(Instant now, ConfigVersion version,
                                               const std::optional<std::string> &etag);
    // The change id of the version's row, or nothing when there is no such row.
    std::optional<ApplyAction> onVersionRow(Instant now,
                                            const std::optional<std::string> &changeId);
    std::optional<ApplyAction> onReadFailed(Instant now);
    std::optional<ApplyAction> onWriteOutcome(Instant now, WriteOutcome outcome);
    std::optional<ApplyAction> onTick(Instant now);

    ApplyState state() const { return state_; }
    bool ended() const;
    // The version that this apply makes.
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
    // When the next step may be tried; nothing while an action is under way.
    std::optional<Instant> retryAt_;
    int retries_ = 0;
    bool writeOutcomeUnknown_ = false;
    ConfigVersion newest_ = 0;
    std::optional<std::string> newestEtag_;
};

} // namespace kelptally::decision
