#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "decision/ownersearch.h"
#include "decision/stopplan.h"
#include "inner/peerlink.h"
#include "session/callersession.h"
#include "session/stagetimes.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kelptally::session {

// The owner of a group and its fencing token.
struct OwnerRef
{
    OwnerEpoch epoch = 0;
    ProcessId process;
};

// Knows the owners of groups, and learns from the router which are missing or unreachable.
class OwnerSource
{
public:
    virtual ~OwnerSource() = default;

    // Returns the current owner, or nothing if none is known.
    virtual std::optional<OwnerRef> owner(const GroupName &group) const = 0;
    // Requests an owner for a group that has none.
    virtual void requestOwner(const GroupName &group) = 0;
    // Reports that the owner has stopped answering. `cause` is a short code for the log.
    virtual void reportOwnerUnreachable(const GroupName &group, const OwnerRef &owner,
                                        const std::string &cause) = 0;
    // Looks the owner up again, after the supposed owner has denied owning the group.
    virtual void refreshOwner(const GroupName &group) = 0;
    // Applies an owner that another process has reported.
    virtual void applyReportedOwner(const GroupName &group, const OwnerRef &owner) = 0;
};

// Runs statements of groups that this process owns. `origin` is the link on which the statement
// arrived, or 0 for this process.
class StatementExecutor
{
public:
    virtual ~StatementExecutor() = default;

    // Calls back exactly once, possibly from within the call.
    virtual void run(inner::LinkId origin, inner::RunStatement statement,
                     DoneCallback callback) = 0;
    virtual void endTransaction(inner::LinkId origin, const inner::EndTransaction &end) = 0;
};

// Runs reads on a replica in the same zone, without involving the owner.
class LocalReadExecutor
{
public:
    virtual ~LocalReadExecutor() = default;

    // Returns false if it does not run the statement. Otherwise calls back exactly once, never from
    // within the call; a reason other than None means that the statement had no effect and must be
    // sent to the owner.
    virtual bool run(const inner::RunStatement &statement, DoneCallback callback) = 0;
    // Reports an owner's answer to a statement that was sent at `sent`.
    virtual void onOwnerAnswer(const inner::RunStatement &statement, Instant sent,
                               const inner::StatementDone &done) = 0;
};

// Sends statements to the owners of their groups and returns the answers. If an owner is lost,
// repeatable statements are sent to its successor; other statements are answered with an error.
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
    bool refusesTransactions() const override;

    // Handles an owner's answer from a link.
    void onAnswer(inner::StatementDone done);
    // Records that the peer has answered on the outgoing link.
    void onPeerResponse(const std::string &address);
    // State changes of the outgoing link to a peer.
    void onLinkUp(const ProcessId &process);
    void onLinkDown(const std::string &address);
    void onOwnerChanged(const GroupName &group);

    std::size_t inProgress() const { return pending_.size(); }
    // Accepts statements only as far as the plan of the stop that has begun at `began` allows. May
    // be called again with another plan.
    void setStop(const decision::StopPlan &plan, Instant began) { stop_ = {plan, began}; }
    // Gives each statement in progress its final answer: it is refused, or in doubt if a server may
    // have committed it.
    void abandonAll();

private:
    struct Pending
    {
        inner::RunStatement statement;
        DoneCallback callback;
        Instant arrived;
        Instant deadline;
        Instant sentAt;
        // The peer that has the statement; empty while it waits or runs in this process.
        std::string address;
        // Whether this process runs the statement, as the owner or on a replica.
        bool runsHere = false;
        // Incarnation of the peer that the statement was last sent to.
        Incarnation sentTo = 0;
        // The peer that got the last attempt and has not answered it.
        std::string unansweredBy;
        OwnerEpoch epoch = 0;
        int attempts = 0;
    };
    struct Peer
    {
        Instant lastResponseAt;
        Instant lastProbedAt;
        bool silent = false;
        bool dialled = false;
        // Whether a second link is being opened since the last response.
        bool renewing = false;
        // Whether statements wait for the peer, so that it is monitored.
        bool monitored = false;
        // Number of statements sent to the peer and not yet answered.
        int inFlight = 0;
        // Incarnation seen at the last link-up; 0 if none.
        Incarnation incarnation = 0;
        // When the link was lost; Instant() while it is up.
        Instant downSince {};
        // Whether unanswered statements must be sent again on the next link.
        bool resend = false;
        // EndTransaction messages that may have been lost with the link, oldest first.
        std::deque<std::pair<Instant, inner::EndTransaction>> recentEnds;
    };

    // Limits the statement's time to what a stop leaves. Returns false if the stop leaves none.
    bool limitToStop(Pending &pending) const;
    void refuseForStop(inner::RequestId id);
    void abandon(inner::RequestId id);
    void tryLocalRead(inner::RequestId id);
    void dispatch(inner::RequestId id);
    bool sendTo(inner::RequestId id, Pending &pending, const OwnerRef &owner);
    // Whether the peer may still run or have answered the last attempt of the read.
    static bool isSentAgain(const Pending &pending, const std::string &address, const Peer &peer);
    void runLocally(inner::RequestId id, Pending &pending);
    void awaitOwner(inner::RequestId id, Pending &pending);
    void dispatchWaiting();
    bool shouldAbandon(const Pending &pending, Instant now) const;
    void finish(inner::RequestId id, inner::StatementDone done);
    void refuse(inner::RequestId id, Reason reason, Executed executed, const std::string &detail,
                Duration retryAfter = {});
    void detachFromPeer(Pending &pending);
    void onDone(inner::StatementDone done);
    // Returns the message that ends every transaction the session has begun so far.
    inner::EndTransaction makeEndTransaction(const GroupName &group, std::uint64_t session) const;
    void sendEnd(const std::string &address, const inner::EndTransaction &end);
    void recordEnd(Peer &peer, const inner::EndTransaction &end);
    void resendEnds(const std::string &address, const Peer &peer);
    void resumeLink(const std::string &address, Peer &peer);
    // Whether the link was lost so recently that it is likely to come back.
    bool mayReconnect(const Peer &peer) const;
    void reinstatePeer(const std::string &address);
    // Gives up the answers to everything that was sent to the peer.
    void onPeerLost(const std::string &address, const std::string &cause);
    void onAnswerLost(inner::RequestId id, const std::string &cause);
    bool isOwnerSuspect(const Pending &pending) const;
    void tick();
    void checkPeer(const std::string &address, Peer &peer, Instant now);
    // Starts monitoring the peer; its silence is measured from now if it was not monitored.
    void startMonitoring(Peer &peer, Instant now);

    const Parts parts_;
    prometheus::Counter &renewals_;
    prometheus::Counter &cancelledRenewals_;
    std::unordered_map<inner::RequestId, Pending> pending_;
    std::vector<inner::RequestId> waiting_;
    std::unordered_map<GroupName, decision::OwnerSearch> searches_;
    // When the owner of each group last answered a statement.
    std::unordered_map<GroupName, Instant> lastAnswerAt_;
    std::unordered_map<std::string, Peer> peers_;
    // The process that has a session's open transaction; the address is empty for this process.
    struct TransactionLocation
    {
        std::string address;
        GroupName group;
    };
    std::unordered_map<std::uint64_t, TransactionLocation> transactions_;
    inner::RequestId lastId_ = 0;
    // Requests by the number under which they were sent. Each attempt has its own number, so that
    // late answers to an earlier attempt are recognised. Only a single read that is sent to the
    // same process again keeps its number, so that it runs once there.
    std::unordered_map<inner::RequestId, inner::RequestId> sent_;
    inner::RequestId lastSent_ = 0;
    std::uint64_t probeSequence_ = 0;
    struct Stop
    {
        decision::StopPlan plan;
        Instant began;
    };
    // Set once this host is being stopped.
    std::optional<Stop> stop_;
    bool ticking_ = false;
    Instant lastTick_;
};

} // namespace kelptally::session
