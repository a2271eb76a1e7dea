#pragma once

#include "bench/policy.h"
#include "decision/admission.h"
#include "decision/confirmation.h"
#include "decision/failover.h"
#include "decision/freshness.h"
#include "decision/routing.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace kelptally::bench {

// The answer of a group owner to an entry.
struct OwnerAnswer
{
    Reason reason = Reason::None;
    Executed executed = Executed::No;
    Answer answer;
    Duration retryAfter {0};
};
using OwnerCallback = std::function<void(const OwnerAnswer &)>;

// The owner of one group in the replay. It uses the production decision code with model servers.
class GroupOwner : public std::enable_shared_from_this<GroupOwner>
{
public:
    GroupOwner(Model &model, ZoneName zone, GroupName group, OwnerEpoch epoch,
               std::function<bool()> holdsLease);

    void start(Term termHint, const ServerName &primaryHint);
    // The process has crashed or lost the group: no request is answered after this call.
    void stop();
    // Planned hand-over: refuses new requests and calls back when no request is open.
    void drain(std::function<void()> drained);

    void submit(const TraceRequest &request, Instant deadline, std::optional<Position> session,
                OwnerCallback callback);
    void onServerLeaving(const ServerName &server);

    const decision::Failover &failover() const { return failover_; }

private:
    struct Task
    {
        const TraceRequest *request = nullptr;
        Instant arrived;
        Instant deadline;
        std::optional<Position> session;
        OwnerCallback callback;
        decision::WorkId id = 0;
        ServerName server;
        // When the request was sent to its server, and the time up to which that data is complete.
        Instant sentAt;
        std::optional<Instant> dataAsOf;
        bool maybeExecuted = false;
        bool answered = false;
        // Number of the current attempt; replies to earlier attempts are ignored.
        int attempt = 0;
    };
    using TaskPtr = std::shared_ptr<Task>;

    struct Backend
    {
        ModelServer *server = nullptr;
        std::unique_ptr<decision::Admission> admission;
        std::map<decision::WorkId, TaskPtr> queued;
        std::map<decision::WorkId, TaskPtr> running;
        std::optional<Instant> lastReplyAt;
        bool probing = false;
        bool leaving = false;
    };

    template <typename Function>
    std::function<void(const Reply &)> guarded(Function function);

    void onTick();
    void performAll(const decision::FailoverActions &actions);
    void perform(const decision::SendProbe &action);
    void perform(const decision::SendPrepare &action);
    void perform(const decision::SendPromote &action);
    void perform(const decision::SendFollow &action);
    void perform(const decision::SendRaiseFence &action);
    void perform(const decision::SendReadHistory &action);
    void perform(const decision::PrimaryGone &action);
    void perform(const decision::PrimaryReady &action);

    void onReport(Backend &backend, Instant sent, const Reply &reply);
    void sample(Backend &backend);
    void sampleReplicas();
    void commandAnswered(const ServerName &server, const Reply &reply);

    bool reachable(const Backend &backend) const;
    decision::ServerView viewOf(const Backend &backend, const Task &task) const;
    std::vector<decision::ServerView> views(const Task &task) const;
    decision::ReadRequirements requirementsOf(const Task &task) const;

    void dispatch(const TaskPtr &task);
    void dispatchRead(const TaskPtr &task);
    void enqueue(const TaskPtr &task, const ServerName &server);
    void sendQueued(Backend &backend);
    void send(Backend &backend, const decision::Work &work, const TaskPtr &task);
    void onReply(Backend &backend, const decision::Work &work, const TaskPtr &task,
                 const Reply &reply);
    void onRead(Backend &backend, const TaskPtr &task, const Reply &reply);
    void onWritten(const TaskPtr &task, const Reply &reply);
    void acknowledge(const std::vector<decision::WriteId> &writes);
    void retryLater(const TaskPtr &task);
    void expireAwaitingPrimary();
    void finish(const TaskPtr &task, Reason reason, Executed executed, Duration retryAfter);
    void finishDone(const TaskPtr &task, Position position, bool fromReplica);
    void abandonServer(Backend &backend);
    void checkDrained();

    Model &model_;
    const ZoneName zone_;
    const GroupName group_;
    const OwnerEpoch epoch_;
    const std::function<bool()> holdsLease_;
    decision::Failover failover_;
    decision::Freshness freshness_;
    decision::Routing routing_;
    decision::Confirmation confirmation_;
    std::map<ServerName, Backend> backends_;
    std::deque<TaskPtr> awaitingPrimary_;
    std::map<decision::WriteId, TaskPtr> unconfirmed_;
    std::map<decision::WriteId, Position> written_;
    // Upper bound of the acknowledged positions. Unknown until the first sample of the primary,
    // since an earlier owner may have acknowledged writes.
    std::optional<Position> acknowledged_;
    Instant primarySince_;
    decision::WorkId lastId_ = 0;
    int openRequests_ = 0;
    TimerId tick_ = 0;
    bool stopped_ = false;
    std::function<void()> onDrained_;
};

// Wraps a callback so that it does nothing once the owner has stopped.
template <typename Function>
std::function<void(const Reply &)> GroupOwner::guarded(Function function)
{
    return [weak = weak_from_this(), function](const Reply &reply) {
        const auto self = weak.lock();
        if (self && !self->stopped_)
            function(reply);
    };
}

} // namespace kelptally::bench
