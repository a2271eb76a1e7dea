#include "caller/problem.h"

#include "core/json.h"

namespace kelptally::caller {

namespace {

// For overload and other short conditions, and for conditions that last as long as a failover.
constexpr Duration shortRetryAfter = std::chrono::milliseconds(200);
constexpr Duration failoverRetryAfter = std::chrono::seconds(1);

std::int64_t roundUpToSeconds(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return seconds.count() + (seconds < duration ? 1 : 0);
}

} // namespace

Problem makeProblem(Reason reason, std::string detail)
{
    Problem problem;
    problem.reason = reason;
    problem.detail = std::move(detail);
    return problem;
}

Duration defaultRetryAfter(Reason reason)
{
    if (!reasonInfo(reason).retryable)
        return Duration(0);
    switch (reason) {
    case Reason::NoOwner:
    case Reason::NoPrimary:
    case Reason::LeaseLost:
    case Reason::OwnerUnreachable:
    case Reason::StoreUnavailable:
    case Reason::ConnectionLimit:
        return failoverRetryAfter;
    default:
        return shortRetryAfter;
    }
}

HttpResponse problemResponse(const Problem &problem)
{
    const ReasonInfo &info = reasonInfo(problem.reason);
    const Executed executed = problem.executed.value_or(info.executed);
    const Duration retryAfter =
        problem.retryAfter > Duration(0) ? problem.retryAfter : defaultRetryAfter(problem.reason);
    const bool hasRetryAfter = info.retryable && retryAfter > Duration(0);

    JsonWriter json;
    json.beginObject();
    json.member("type", "urn:kelptally:reason:" + std::string(info.name));
    json.member("title", info.explanation);
    json.member("status", info.httpStatus);
    json.member("reason", info.name);
    json.member("executed", executedName(executed));
    json.member("retryable", info.retryable);
    if (!problem.detail.empty())
        json.member("detail", problem.detail);
    if (hasRetryAfter)
        json.member("retryAfterMs", toMilliseconds(retryAfter));
    if (!problem.findings.empty()) {
        json.key("findings").beginArray();
        for (const ProblemFinding &finding : problem.findings) {
            json.beginObject();
            json.member("place", finding.place);
            json.member("problem", finding.problem);
            json.endObject();
        }
        json.endArray();
    }
    json.endObject();

    HttpResponse response;
    response.status = info.httpStatus;
    response.contentType = "application/problem+json";
    if (hasRetryAfter)
        response.headers.push_back({"Retry-After", std::to_string(roundUpToSeconds(retryAfter))});
    if (problem.reason == Reason::Unauthenticated)
        response.headers.push_back({"WWW-Authenticate", "Bearer"});
    response.body = json.take();
    return response;
}

} // namespace kelptally::caller
