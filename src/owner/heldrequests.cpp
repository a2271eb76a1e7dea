#include "owner/heldrequests.h"

namespace kelptally::owner {

namespace {

constexpr Duration retryAfterRefusal = std::chrono::milliseconds(200);

} // namespace

void HeldRequests::hold(const RequestPtr &request, std::size_t limit)
{
    if (held_.size() >= limit) {
        responder_.refuse(*request, {Reason::QueueFull, "", Executed::No, retryAfterRefusal, ""});
        return;
    }
    held_.push_back(request);
}

void HeldRequests::update(Instant now, const MustHold &mustHold, const Release &release)
{
    if (held_.empty())
        return;
    std::deque<RequestPtr> held;
    held.swap(held_);
    std::deque<RequestPtr> kept;
    for (const RequestPtr &request : held) {
        if (request->cancelled || request->deadline <= now)
            responder_.refuse(*request,
                              {Reason::DeadlineExceeded, "", Executed::No, Duration(0), ""});
        else if (mustHold(request))
            kept.push_back(request);
        else
            release(request);
    }
    held_.insert(held_.begin(), kept.begin(), kept.end());
}

void HeldRequests::refuseAll(const Refusal &refusal)
{
    std::deque<RequestPtr> held;
    held.swap(held_);
    for (const RequestPtr &request : held)
        responder_.refuse(*request, refusal);
}

} // namespace kelptally::owner
