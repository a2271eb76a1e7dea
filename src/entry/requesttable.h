#pragma once

#include "caller/httpmessage.h"
#include "core/timerservice.h"
#include "entry/callerapi.h"
#include "inner/peerlink.h"

#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

namespace kelptally::entry {

enum class RequestState {
    // Waiting for the owner lookup or for the next attempt.
    Waiting,
    // Sent to an owner, not answered yet.
    InFlight,
    // A Begin that was refused or whose caller disconnected, kept to cancel the transaction it
    // opens.
    Abandoned,
};

// State of a caller's request until it is answered.
struct PendingRequest
{
    AdmittedRequest admitted;
    caller::HttpReplyPtr reply;
    caller::ConnectionId connection = 0;
    Instant arrived;
    Instant deadline;
    RequestState state = RequestState::Waiting;
    // Sequence number at this entry; part of the request ids of its attempts.
    std::uint64_t number = 0;
    int attempt = 0;
    // Attempt in flight.
    inner::LinkId link = 0;
    std::string owner;
    Instant sentAt;
    // Transit time of an earlier attempt whose answer arrived too old.
    Duration excessTransit {0};
    // Whether an earlier attempt may have been executed.
    bool maybeExecuted = false;
    // Failure of the last attempt.
    Reason lastReason = Reason::None;
    TimerId retryTimer = 0;
};
using PendingPtr = std::shared_ptr<PendingRequest>;

// The requests in progress at this entry, indexed by the request id of the newest attempt and by
// the caller's connection. Limits their number in total and per team, and reports expired
// deadlines.
class RequestTable
{
public:
    using ExpiryHandler = std::function<void(const PendingPtr &)>;

    RequestTable(TimerService &timers, std::size_t capacity, ExpiryHandler onDeadline);

    // Adds a request; returns Reason::None or the limit that is reached.
    Reason add(const PendingPtr &request);
    void remove(const PendingPtr &request);
    // Keeps the request until the given instant, to handle an answer that is not sent to the
    // caller.
    void abandon(const PendingPtr &request, Instant until);

    // Sets the request id of the next attempt.
    void assignRequestId(PendingRequest &request);
    // Returns the request whose newest attempt has this id, or null.
    PendingPtr find(inner::RequestId id) const;
    PendingPtr findByConnection(caller::ConnectionId connection) const;
    // Returns the requests in flight or abandoned on a link.
    std::vector<PendingPtr> findByLink(inner::LinkId link) const;

    std::size_t size() const { return requests_.size(); }
    // Number of queued deadlines, including those of finished requests.
    std::size_t deadlineCount() const { return deadlines_.size(); }

private:
    struct Deadline
    {
        Instant at;
        std::uint64_t number;
        bool operator>(const Deadline &other) const { return at > other.at; }
    };

    // Queues the request's current deadline.
    void addDeadline(const PendingRequest &request);
    // Removes the request from the counts of its team and the index of connections.
    void release(PendingRequest &request);
    void removeFinishedDeadlines();
    void startTimer();
    void expire();

    TimerService &timers_;
    const std::size_t capacity_;
    const ExpiryHandler onDeadline_;
    std::uint64_t lastNumber_ = 0;
    std::unordered_map<std::uint64_t, PendingPtr> requests_;
    std::unordered_map<caller::ConnectionId, std::uint64_t> byConnection_;
    std::unordered_map<TeamName, std::size_t> byTeam_;
    // Deadlines of finished requests are removed when they expire or when there are too many.
    std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> deadlines_;
    TimerId timer_ = 0;
    Instant timerExpiry_ = Instant::max();
};

} // namespace kelptally::entry
