#include "decision/configapply.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

using namespace std::chrono_literals;

// Bounds of the exponential backoff before a step is retried, without its jitter.
constexpr Duration minRetryDelay = 100ms;
constexpr Duration maxRetryDelay = 1s;

} // namespace

ConfigApply::ConfigApply(ConfigVersion expected, std::string changeId, Duration timeout,
                         std::uint64_t seed)
    : expected_(expected), changeId_(std::move(changeId)), timeout_(timeout), random_(seed)
{ }

std::optional<ApplyAction> ConfigApply::start(Instant now)
{
    deadline_ = now + timeout_;
    return enterState(ApplyState::Reading);
}

std::optional<ApplyAction> ConfigApply::onNewestVersion(Instant, ConfigVersion version,
                                                        const std::optional<std::string> &etag)
{
    newest_ = std::max(newest_, version);
    newestEtag_ = etag;
    if (version < expected_)
        return enterState(ApplyState::Conflict);
    // A newer version may be this operator's own, from an earlier apply with the same change id.
    return enterState(version == expected_ ? ApplyState::Writing : ApplyState::ReadingBack);
}

std::optional<ApplyAction> ConfigApply::onVersionRow(Instant now,
                                                     const std::optional<std::string> &changeId)
{
    if (changeId) {
        newest_ = std::max(newest_, version());
        return enterState(*changeId == changeId_ ? ApplyState::Accepted : ApplyState::Conflict);
    }
    // Not written, or not yet. A write still in flight has the same condition as the next one, so
    // at most one of them can take effect.
    return scheduleRetry(now, ApplyState::Reading);
}

std::optional<ApplyAction> ConfigApply::onReadFailed(Instant now)
{
    return scheduleRetry(now, state_);
}

std::optional<ApplyAction> ConfigApply::onWriteOutcome(Instant now, WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::Done:
        newest_ = version();
        return enterState(ApplyState::Accepted);
    case WriteOutcome::NotSent:
        return scheduleRetry(now, ApplyState::Writing);
    case WriteOutcome::Unknown:
        writeOutcomeUnknown_ = true;
        return enterState(ApplyState::ReadingBack);
    case WriteOutcome::Conflict:
        return enterState(ApplyState::ReadingBack);
    }
    return std::nullopt;
}

std::optional<ApplyAction> ConfigApply::onTick(Instant now)
{
    if (!retryAt_ || now < *retryAt_)
        return std::nullopt;
    return enterState(state_);
}

bool ConfigApply::ended() const
{
    return state_ >= ApplyState::Accepted;
}

std::optional<ApplyAction> ConfigApply::enterState(ApplyState next)
{
    state_ = next;
    retryAt_.reset();
    switch (next) {
    case ApplyState::Reading:
        return ReadNewestRow();
    case ApplyState::Writing:
        return WriteVersionRow {version(), newestEtag_};
    case ApplyState::ReadingBack:
        return ReadVersionRow {version()};
    default:
        return std::nullopt;
    }
}

std::optional<ApplyAction> ConfigApply::scheduleRetry(Instant now, ApplyState next)
{
    if (now >= deadline_)
        return enterState(writeOutcomeUnknown_ ? ApplyState::Unknown : ApplyState::Failed);
    const Duration maxDelay =
        std::min<Duration>(minRetryDelay * (1 << std::min(retries_++, 4)), maxRetryDelay);
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    state_ = next;
    retryAt_ = now + std::chrono::duration_cast<Duration>(maxDelay * jitter(random_));
    return std::nullopt;
}

} // namespace kelptally::decision
