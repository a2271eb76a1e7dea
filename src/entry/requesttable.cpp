#include "entry/requesttable.h"

#include <algorithm>

namespace kelptally::entry {

namespace {

// Low bits of a request id that hold the attempt number.
constexpr int attemptBits = 16;
constexpr std::uint64_t attemptMask = (1u << attemptBits) - 1;

// Queued deadlines of finished requests beyond which they are removed, besides one per request.
constexpr std::size_t maxStaleDeadlines = 4096;

} // namespace

RequestTable::RequestTable(TimerService &timers, std::size_t capacity, ExpiryHandler onDeadline)
    : timers_(timers), capacity_(capacity), onDeadline_(std::move(onDeadline))
{ }

Reason RequestTable::add(const PendingPtr &request)
{
    if (requests_.size() >= capacity_)
        return Reason::QueueFull;
    std::size_t &teamRequests = byTeam_[request->admitted.execute.team];
    const auto share = static_cast<std::size_t>(request->admitted.teamSharePercent);
    if (teamRequests >= std::max<std::size_t>(1, capacity_ * share / 100))
        return Reason::TeamLimit;
    ++teamRequests;
    request->number = ++lastNumber_;
    requests_.emplace(request->number, request);
    byConnection_[request->connection] = request->number;
    addDeadline(*request);
    return Reason::None;
}

void RequestTable::remove(const PendingPtr &request)
{
    if (requests_.erase(request->number) == 0)
        return;
    timers_.cancel(request->retryTimer);
    if (request->state != RequestState::Abandoned)
        release(*request);
}

void RequestTable::abandon(const PendingPtr &request, Instant until)
{
    if (request->state != RequestState::Abandoned)
        release(*request);
    request->state = RequestState::Abandoned;
    request->deadline = until;
    addDeadline(*request);
}

void RequestTable::release(PendingRequest &request)
{
    const auto team = byTeam_.find(request.admitted.execute.team);
    if (--team->second == 0)
        byTeam_.erase(team);
    const auto connection = byConnection_.find(request.connection);
    if (connection != byConnection_.end() && connection->second == request.number)
        byConnection_.erase(connection);
}

void RequestTable::assignRequestId(PendingRequest &request)
{
    const auto attempt = static_cast<std::uint64_t>(request.attempt) & attemptMask;
    request.admitted.execute.requestId = request.number << attemptBits | attempt;
}

PendingPtr RequestTable::find(inner::RequestId id) const
{
    const auto found = requests_.find(id >> attemptBits);
    if (found == requests_.end() || found->second->admitted.execute.requestId != id)
        return nullptr;
    return found->second;
}

PendingPtr RequestTable::findByConnection(caller::ConnectionId connection) const
{
    const auto found = byConnection_.find(connection);
    if (found == byConnection_.end())
        return nullptr;
    return requests_.at(found->second);
}

std::vector<PendingPtr> RequestTable::findByLink(inner::LinkId link) const
{
    std::vector<PendingPtr> found;
    for (const auto &[number, request] : requests_)
        if (request->link == link && request->state != RequestState::Waiting)
            found.push_back(request);
    return found;
}

void RequestTable::addDeadline(const PendingRequest &request)
{
    if (deadlines_.size() >= maxStaleDeadlines + 2 * requests_.size())
        removeFinishedDeadlines();
    deadlines_.push({request.deadline, request.number});
    startTimer();
}

// Rebuilds the queue from the requests in progress: with deadlines of hours it would grow without
// bound.
void RequestTable::removeFinishedDeadlines()
{
    deadlines_ = {};
    for (const auto &[number, request] : requests_)
        deadlines_.push({request->deadline, number});
}

// Sets the timer to the earliest deadline.
void RequestTable::startTimer()
{
    if (deadlines_.empty() || deadlines_.top().at >= timerExpiry_)
        return;
    timers_.cancel(timer_);
    timerExpiry_ = deadlines_.top().at;
    timer_ = timers_.subscribeAt(timerExpiry_, [this] { expire(); });
}

void RequestTable::expire()
{
    timerExpiry_ = Instant::max();
    const Instant now = timers_.now();
    while (!deadlines_.empty() && deadlines_.top().at <= now) {
        const auto found = requests_.find(deadlines_.top().number);
        deadlines_.pop();
        if (found == requests_.end() || found->second->deadline > now)
            continue;
        const PendingPtr request = found->second;
        onDeadline_(request);
    }
    // Skips finished requests, so that the timer is not set for them.
    while (!deadlines_.empty() && requests_.count(deadlines_.top().number) == 0)
        deadlines_.pop();
    startTimer();
}

} // namespace kelptally::entry
