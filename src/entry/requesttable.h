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
    // Waits for an owner to be found, or for its next attempt.
    Waiting,
    // Sent to an owner.
    InFlight,
    // Answered or its caller gone, while what a Begin opened at the owner is still to be ended.
    Abandoned,
};

// One caller's request from its arrival to its only answer.
struct PendingRequest
{
    AdmittedRequest admitted;
    caller::HttpReplyPtr reply;
    caller::ConnectionId connection = 0;
    Instant arrived;
    Instant deadline;
    RequestState state = RequestState::Waiting;
    // Number of this request at this entry; the request id of an attempt is made of it.
    std::uint64_t number = 0;
    int attempt = 0;
    // Of the attempt in flight.
    inner::LinkId link = 0;
    std::string owner;
    Instant sentAt;
    // Way of an attempt whose answer got too old on it.
    Duration excessTransit {0};
    // An earlier attempt may have done the work.
    bool mayHaveRun = false;
    // Why the last attempt failed.
    Reason lastReason = Reason::None;
    TimerId retryTimer = 0;
};
using PendingPtr = std::shared_ptr<PendingRequest>;

// The requests in progress at this entry: bounded as a whole and by team, found by the request id
// of their newest attempt and by their caller's connection, and called out at their deadlines.
class RequestTable
{
public:
    using ExpiryHandler = std::function<void(const PendingPtr &)>;

    RequestTable(TimerService &timers, std::size_t capacity, ExpiryHandler onDeadline);

    // Reason::None, or the limit that forbids it.
    Reason add(const PendingPtr &request);
    void remove(const PendingPtr &request);
    // Keeps it under its request id until then, for an answer that goes to no caller.
    void abandon(const PendingPtr &request, Instant until);

    // Gives the next attempt a request id of its own.
    void assignRequestId(PendingRequest &request);
    // The request whose newest attempt has this id; null when there is none (any more).
    PendingPtr find(inner::RequestId id) const;
    PendingPtr findByConnection(caller::ConnectionId connection) const;
    // The requests in flight or abandoned on a link.
    std::vector<PendingPtr> findByLink(inner::LinkId link) const;

    std::size_t size() const { return requests_.size(); }
    // Deadlines kept, those of finished requests among them.
    std::size_t deadlineCount() const { return deadlines_.size(); }

private:
    struct Deadline
    {
        Instant at;
        std::uint64_t number;
        bool operator>(const Deadline &other) const { return at > other.at; }
    };

    // Calls out the request at its (new) deadline.
    void addDeadline(const PendingRequest &request);
    // It no longer counts as its caller's and team's.
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
    // Those of finished requests leave it when they pass, or when there are too many.
    std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> deadlines_;
    TimerId timer_ = 0;
    Instant timerExpiry_ = Instant::max();
};

} // namespace kelptally::entry
