#pragma once

#include "owner/ownerports.h"
#include "owner/request.h"

#include <functional>

namespace kelptally::owner {

// A refusal or failure to be sent as an answer.
struct Refusal
{
    Reason reason = Reason::Internal;
    std::string detail;
    Executed executed = Executed::No;
    Duration retryAfter {0};
    std::string ownerHint;
};

// Sends exactly one answer for each request on the link that it came from, fills in the common
// fields and counts refusals by reason.
class Responder
{
public:
    explicit Responder(OwnerPorts &ports) : ports_(ports) { }

    void answer(Request &request, inner::ExecuteResult result);
    void refuse(Request &request, const Refusal &refusal);

    // Sets a function that is called after each answer.
    void setObserver(std::function<void(const Request &)> observer);

private:
    OwnerPorts &ports_;
    std::function<void(const Request &)> observer_;
};

} // namespace kelptally::owner
