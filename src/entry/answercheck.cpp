#include "entry/answercheck.h"

#include <algorithm>

namespace kelptally::entry {

AnswerVerdict checkAnswer(const inner::ExecuteResult &result, bool readOnly,
                          const std::optional<Duration> &statedAge, const AttemptTimes &times)
{
    AnswerVerdict verdict;
    const bool complete = result.rowCount == result.rows.values.size()
        && result.byteLength == result.rows.byteLength();
    if (!complete)
        verdict.reason = Reason::Internal;
    if (!complete || !readOnly || result.reason != Reason::None)
        return verdict;

    // Clamped so that a wrong owner time cannot make the data appear younger. A read at the primary
    // saw the newest data at some time after it was sent.
    const Duration ownerTime = std::clamp(result.ownerTime, Duration(0), times.elapsed);
    verdict.transit = times.elapsed - ownerTime;
    if (result.age)
        verdict.age = *result.age + verdict.transit + times.callerTransit;
    else if (!result.fromReplica)
        verdict.age = times.elapsed + times.callerTransit;
    if (statedAge && (!verdict.age || *verdict.age > *statedAge))
        verdict.reason = Reason::ReplicaTooStale;
    return verdict;
}

std::optional<Duration> ageLimitForOwner(const std::optional<Duration> &statedAge,
                                         Duration excessTransit)
{
    if (!statedAge || *statedAge <= excessTransit)
        return std::nullopt;
    return *statedAge - excessTransit;
}

} // namespace kelptally::entry
