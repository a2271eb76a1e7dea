#include "decision/operationage.h"

namespace kelptally::decision {

namespace {

// A refused caller that has not tried again by then has given up. The same statement later on is
// another operation.
constexpr Duration maxRetryDelay = std::chrono::seconds(2);

} // namespace

Duration OperationAge::onSent(Instant now, bool begins, std::size_t content)
{
    if (begins) {
        const bool isRetry =
            refusedAt_ && content == content_ && now - *refusedAt_ <= maxRetryDelay;
        age_ = isRetry ? age_ + (now - *refusedAt_) : Duration(0);
        refusedAt_.reset();
        content_ = content;
    }
    sentAt_ = now;
    return age_;
}

void OperationAge::onAnswered(Instant now, bool isRefused)
{
    age_ += now - sentAt_;
    if (isRefused)
        refusedAt_ = now;
}

} // namespace kelptally::decision
