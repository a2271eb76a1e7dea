#include "owner/responder.h"

#include "owner/ownermetrics.h"

namespace kelptally::owner {

namespace {

// Makes the answer to send when the result exceeds the message size; the caller sets its detail.
inner::ExecuteResult makeOversizeResult(const inner::ExecuteResult &whole)
{
    inner::ExecuteResult result;
    result.requestId = whole.requestId;
    result.reason = Reason::StatementFailed;
    result.executed = whole.executed;
    result.position = whole.position;
    result.ownerTime = whole.ownerTime;
    return result;
}

} // namespace

void Responder::answer(Request &request, inner::ExecuteResult result)
{
    if (request.answered)
        return;
    request.answered = true;
    result.requestId = request.execute.requestId;
    result.rowCount = result.rows.values.size();
    result.byteLength = result.rows.byteLength();
    result.ownerTime = ports_.timers.now() - request.arrived;
    ports_.metrics.countAnswer(result.reason);
    inner::ExecuteResult fallback = makeOversizeResult(result);
    absl::Status sent = ports_.links.sendOn(request.link, std::move(result));
    if (absl::IsOutOfRange(sent)) {
        fallback.detail = "the answer is too large: " + std::string(sent.message());
        sent = ports_.links.sendOn(request.link, std::move(fallback));
    }
    if (!sent.ok())
        ports_.metrics.countUnsent();
    if (observer_)
        observer_(request);
}

void Responder::refuse(Request &request, const Refusal &refusal)
{
    inner::ExecuteResult result;
    result.reason = refusal.reason;
    result.executed = refusal.executed;
    result.detail = refusal.detail;
    result.retryAfter = refusal.retryAfter;
    result.ownerHint = refusal.ownerHint;
    answer(request, std::move(result));
}

void Responder::setObserver(std::function<void(const Request &)> observer)
{
    observer_ = std::move(observer);
}

} // namespace kelptally::owner
