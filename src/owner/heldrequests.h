#pragma once

#include "owner/responder.h"

#include <deque>
#include <functional>

namespace kelptally::owner {

// Bounded queue of requests that wait until their group starts or is handed over.
class HeldRequests
{
public:
    explicit HeldRequests(Responder &responder) : responder_(responder) { }

    // Refuses the request when the limit is reached.
    void hold(const RequestPtr &request, std::size_t limit);

    // Releases, in order, the requests that need not be held any longer, and refuses those that
    // were cancelled or are past their deadline.
    using MustHold = std::function<bool(const RequestPtr &)>;
    using Release = std::function<void(const RequestPtr &)>;
    void update(Instant now, const MustHold &mustHold, const Release &release);

    void refuseAll(const Refusal &refusal);

    bool empty() const { return held_.empty(); }

private:
    Responder &responder_;
    std::deque<RequestPtr> held_;
};

} // namespace kelptally::owner
