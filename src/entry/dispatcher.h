#pragma once

#include "core/timerservice.h"
#include "decision/retrypolicy.h"
#include "entry/answercheck.h"
#include "entry/entrymetrics.h"
#include "entry/ownerdirectory.h"
#include "entry/ownerlinks.h"
#include "entry/requesttable.h"

namespace kelptally::entry {

// Forwards admitted requests to the owners of their groups and returns the answers; handles
// retries, deadlines and cancellation. Used on the requests thread only.
class Dispatcher
{
public:
    // Maximum number of requests in progress at one entry.
    static constexpr std::size_t maxRequests = 20'000;

    struct Parts
    {
        TimerService &timers;
        OwnerLinks &links;
        OwnerDirectory &directory;
        EntryMetrics &metrics;
        // Key that signs session tokens.
        std::string tokenKey;
        std::uint64_t seed = 0;
    };

    explicit Dispatcher(Parts parts);

    void configure(const settings::Limits &limits);

    void start(AdmittedRequest admitted, caller::HttpReplyPtr reply,
               caller::ConnectionId connection, Instant arrived);
    void onCallerDisconnected(caller::ConnectionId connection);

    void onResult(inner::LinkId link, inner::ExecuteResult result);
    // Fails the attempts in flight on the link.
    void onLinkDown(inner::LinkId link);

    std::size_t inProgress() const { return table_.size(); }

private:
    struct Failure
    {
        Reason reason = Reason::Internal;
        Executed executed = Executed::No;
        std::string detail;
        Duration retryAfter {0};
    };

    void attempt(const PendingPtr &request);
    void send(const PendingPtr &request, const std::string &owner, inner::LinkId link);
    void onFailure(const PendingPtr &request, Failure failure);
    void retryAfter(const PendingPtr &request, Duration delay);
    bool followHint(const PendingPtr &request, const inner::ExecuteResult &result);
    void onOwnerRefused(const PendingPtr &request, const inner::ExecuteResult &result);
    void onCompleted(const PendingPtr &request, inner::ExecuteResult result,
                     const AnswerVerdict &verdict);
    std::string nextSessionToken(AdmittedRequest &admitted,
                                 const std::optional<Position> &seen) const;
    void onDeadline(const PendingPtr &request);
    void refuse(const PendingPtr &request, Failure failure);
    // Asks the owner to stop executing a request whose result is no longer needed.
    void cancelAtOwner(const PendingPtr &request);
    void release(const PendingPtr &request);

    const Parts parts_;
    RequestTable table_;
    std::unique_ptr<decision::RetryPolicy> policy_;
    int retryPercent_ = 0;
    // Token of a session without positions.
    const std::string emptySessionToken_;
    Duration callerTransit_ {0};
};

} // namespace kelptally::entry
