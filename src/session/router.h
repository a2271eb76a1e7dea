#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "decision/ownersearch.h"
#include "inner/peerlink.h"
#include "session/callersession.h"
#include "session/stagetimes.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kelptally::session {

// Who acts for a group.
struct OwnerRef
{
    OwnerEpoch epoch = 0;
    ProcessId process;
};

// What the router asks about owners.
class OwnerSource
{
public:
    virtual ~OwnerSource() = default;

    virtual std::optional<OwnerRef> owner(const GroupName &group) const = 0;
    // Nobody acts for the group: somebody has to.
    virtual void requestOwner(const GroupName &group) = 0;
    // The owner does not answer any more.
    virtual void reportOwnerUnreachable(const GroupName &group, const OwnerRef &owner,
                                        const std::string &cause) = 0;
    // The process that was thought the owner says that it is not.
    virtual void refreshOwner(const GroupName &group) = 0;
    // Another process knows this owner.
    virtual void applyReportedOwner(const GroupName &group, const OwnerRef &owner) = 0;
};

// Runs statements of groups that this process owns. The origin tells the entries apart: their link,
// or 0 for this process.
class StatementExecutor
{
public:
    virtual ~StatementExecutor() = default;

    // Calls back exactly once; may do so from within the call.
    virtual void run(inner::LinkId origin, inner::RunStatement statement,
                     DoneCallback callback) = 0;
    virtual void endTransaction(inner::LinkId origin, const inner::EndTransaction &end) = 0;
};

// Runs some statements without their owner.
class LocalReadExecutor
{
public:
    virtual ~LocalReadExecutor() = default;

    // False: not this one. Else calls back exactly once, never from within the call; a reason other
    // than None says that the owner has to do it, and that nothing was changed.
    virtual bool run(const inner::RunStatement &statement, DoneCallback callback) = 0;
    // An owner's answer to a statement that was sent then.
    virtual void onOwnerAnswer(const inner::RunStatement &statement, Instant sent,
                               const inner::StatementDone &done) = 0;
};

// Takes statements to owners and their answers back. Statements that may be repeated go to the next
// owner when theirs is gone; others get their final answer at once.
class Router : public StatementRouter
{
public:
    struct Parts
    {
        TimerService &timers;
        inner::PeerLinks &links;
        OwnerSource &owners;
        StatementExecutor &local;
        LocalReadExecutor &localReads;
        EventLog &log;
        Metrics &metrics;
        StageTimes &times;
        ProcessId self;
    };

    explicit Router(const Parts &parts);

    inner::RequestId run(inner::RunStatement statement, DoneCallback callback) override;
    void cancel(inner::RequestId id) override;
    void endTransaction(const GroupName &group, std::uint64_t session) override;

    // An owner's answer over its link.
    void onAnswer(inner::StatementDone done);
    // The process has answered on the link from here.
    void onPeerResponse(const std::string &address);
    // The link from here to the process.
    void onLinkUp(const ProcessId &process);
    void onLinkDown(const std::string &address);
    void onOwnerChanged(const GroupName &group);

    std::size_t inProgress() const { return pending_.size(); }
    // From now on nothing new begins here; what is open goes on.
    void refuseNewOperations() { acceptsNewOperations_ = false; }

private:
    struct Pending
    {
        inner::RunStatement statement;
        DoneCallback callback;
        Instant arrived;
        Instant deadline;
        Instant sentAt;
        // Where it was sent, under the number in the statement; empty while it waits.
        std::string address;
        OwnerEpoch epoch = 0;
        int attempts = 0;
    };
    struct Peer
    {
        Instant lastHeard;
        Instant lastProbed;
        bool silent = false;
        bool dialled = false;
        // Statements wait for it, so that its silence matters.
        bool needed = false;
        // Statements that it owes an answer.
        int inFlight = 0;
        // The run of the process that was heard last.
        Incarnation incarnation = 0;
        // Since when there has been no link to it; the beginning of time while there is one.
        Instant downSince {};
        // What it owes was sent on a link that is lost or silent, and goes again on the next one.
        bool resend = false;
        // Ends of transactions that may have been lost with the link.
        std::deque<std::pair<Instant, inner::EndTransaction>> recentEnds;
    };

    void tryLocalRead(inner::RequestId id);
    void dispatch(inner::RequestId id);
    bool sendTo(inner::RequestId id, Pending &pending, const OwnerRef &owner);
    void runLocally(inner::RequestId id, Pending &pending);
    void awaitOwner(inner::RequestId id, Pending &pending);
    void dispatchWaiting();
    bool shouldAbandon(const Pending &pending, Instant now) const;
    void finish(inner::RequestId id, inner::StatementDone done);
    void refuse(inner::RequestId id, Reason reason, Executed executed, const std::string &detail,
                Duration retryAfter = {});
    void detachFromPeer(Pending &pending);
    void onDone(inner::StatementDone done);
    // The end of whatever the session has begun so far.
    inner::EndTransaction makeEndTransaction(const GroupName &group, std::uint64_t session) const;
    void recordEnd(Peer &peer, const inner::EndTransaction &end);
    void resumeLink(const std::string &address, Peer &peer);
    // A link that went a moment ago is likely to come back.
    bool mayReconnect(const Peer &peer) const;
    // The answers of everything sent to the process will not come.
    void reinstatePeer(const std::string &address);
    void onPeerLost(const std::string &address, const std::string &cause);
    void onAnswerLost(inner::RequestId id, const std::string &cause);
    void tick();
    void checkPeer(const std::string &address, Peer &peer, Instant now);
    // Its silence counts from now, if it did not matter before.
    void markNeeded(Peer &peer, Instant now);

    const Parts parts_;
    std::unordered_map<inner::RequestId, Pending> pending_;
    std::vector<inner::RequestId> waiting_;
    std::unordered_map<GroupName, decision::OwnerSearch> searches_;
    std::unordered_map<std::string, Peer> peers_;
    // Where the open transaction of a session is; the address is empty for this process.
    struct TransactionLocation
    {
        std::string address;
        GroupName group;
    };
    std::unordered_map<std::uint64_t, TransactionLocation> transactions_;
    inner::RequestId lastId_ = 0;
    // Statements by the number under which an owner has them. Each owner that one is given to gets
    // another number, so that the answer of an earlier one is told apart.
    std::unordered_map<inner::RequestId, inner::RequestId> sent_;
    inner::RequestId lastSent_ = 0;
    std::uint64_t probeSequence_ = 0;
    bool acceptsNewOperations_ = true;
    bool ticking_ = false;
    Instant lastTick_;
};

} // namespace kelptally::session
