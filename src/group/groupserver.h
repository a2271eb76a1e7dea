#pragma once

#include "core/eventlog.h"
#include "core/timerservice.h"
#include "decision/policyoptions.h"
#include "decision/serverreach.h"
#include "decision/slotwindow.h"
#include "group/serverpool.h"
#include "session/stagetimes.h"

#include <map>
#include <string>
#include <vector>

namespace kelptally::group {

// State of a server as observed during its current run, used for server selection. It is reset
// when another run of the server begins.
struct ObservedState
{
    // Highest position in the server's answers; a lower bound on what a read there sees.
    std::optional<Position> position;
    Instant positionAt {};
    // Last known replication lag.
    Duration lag {0};
    // Excluded from reads until then, after a refusal for lack of the required position.
    Instant laggingUntil {};
    // Backoff after such refusals, which grows with each.
    Duration laggingBackoff {0};
    // Excluded from all statements until then, after a refusal as busy.
    Instant busyUntil {};
    decision::ServerReach reach;
    // Earliest time of the next attempt to connect.
    Instant retryAt {};
};

// One server of a group from its owner's view: the connections within the owner's share of the
// server's limit, the slots in use, and the observed state.
class GroupServer
{
public:
    struct Parts
    {
        TimerService &timers;
        ServerConnector &connector;
        EventLog &log;
        session::StageTimes &times;
        // Called when a connection or a slot has become available.
        std::function<void()> onCapacityFreed;
        // Called when a connection was lost or could not be opened.
        std::function<void(const ServerName &, ConnectOutcome)> onConnectionFailure;
        // Called when open connections have stopped responding: those of this process without an
        // answer since the given time may be affected, too.
        std::function<void(Instant since)> onSilentConnections;
        decision::PolicyOptions policies;
    };

    GroupServer(const Parts &parts, const ListedServer &listed);
    ~GroupServer();

    // Applies the server's list entry. Returns whether it shows another run of the server; then the
    // observed state is reset and connections that may belong to the earlier run are closed.
    bool update(const ListedServer &listed);
    // Called when the server was removed from the list. It gets no more statements, but is still
    // queried for its position while it answers.
    void onUnlisted();
    bool isUnlisted() const { return unlisted_; }
    // See ServerPool.
    void setMaxConnections(int count, bool byOrganisation);
    void limitConnections(int count) { pool_.limitConnections(count); }
    void setMinIdleTime(Duration time) { pool_.setMinIdleTime(time); }
    // Opens connections for the slots in advance.
    void warmUp();
    void closeIdle() { pool_.closeIdle(); }
    // Closes all connections; running batches end as lost, and so do commands that wait for a
    // connection.
    void closeAll();

    // See ServerPool.
    ServerPool::TakeResult take(const std::map<std::string, std::string> &values,
                                const OrganisationName &organisation);
    bool hasConnectionFor(const OrganisationName &organisation) const
    {
        return pool_.hasConnectionFor(organisation);
    }
    void giveBack(const PooledConnectionPtr &connection);
    void discard(const PooledConnectionPtr &connection) { pool_.discard(connection); }

    // Sends a command of the owner on a separate control connection. Without an answer within the
    // timeout, the result is lost.
    void control(ServerCommand command, Duration timeout, BatchCallback callback);

    // Queries the server, to learn whether an unreachable one answers again.
    void probe(std::function<void()> callback);

    // To be called before each send, and before beginWork().
    void onSend();
    void beginWork(PooledConnection &connection, bool mayRepeat);
    void endWork(PooledConnection &connection);
    // Detects open connections that no longer respond. To be called regularly while statements are
    // running. Queries the server for the number of statements that it runs; surplus statements
    // free their slots, and the connections of those that may be repeated are closed.
    void detectSilentConnections(Instant now);
    // Closes idle connections without an answer since the given time.
    void closeStaleIdle(Instant since) { pool_.closeStaleIdle(since); }
    int inFlight() const { return inFlight_; }
    int slots() const { return listed_.slots; }
    // Whether another statement may be sent, see decision::SlotWindow.
    bool hasSlot() const;
    // A command without a slot was answered after this time.
    void onCommandAnswered(Duration answerTime);
    // A statement was answered after this time, or refused since all slots were busy.
    void onStatementAnswered(Duration answerTime);
    void onStatementBusy();

    // To be called for each answer of the server.
    void onResponse();
    Instant lastResponseAt() const { return lastResponseAt_; }
    // Returns since when an answer has been outstanding without any response; empty if none is.
    std::optional<Instant> awaitingAnswerSince() const;

    const ServerName &id() const { return listed_.id(); }
    const ListedServer &listed() const { return listed_; }
    bool isUnreachable() const { return observed.reach.isUnreachable(); }
    bool isAbsent() const { return observed.reach.isAbsent(); }
    // Returns whether a connection to the server's current run is open.
    bool isConnected() const { return pool_.open() > 0; }
    int connections() const { return pool_.open(); }
    ServerAddress address() const { return {listed_.id(), listed_.group, listed_.endpoint}; }

    ObservedState observed;

private:
    void open(const OrganisationName &organisation);
    void onConnected(const OrganisationName &organisation, ConnectOutcome outcome, Instant began,
                     const ServerConnectionPtr &connection);
    void onConnectionEnded(const PooledConnectionPtr &connection);
    void onBusyReport(int busy, Instant queriedAt);
    void queryBusySlots(bool mayRetry);
    std::vector<PooledConnectionPtr> workStartedBefore(Instant instant) const;
    void freeSlot(PooledConnection &connection);
    void closeRepeatable(Instant queriedAt);
    void recordOutcome(ConnectOutcome outcome, Instant began);
    void logReachable();
    void recordDisconnect();
    void closeBefore(Instant opened);
    void runControl(ServerCommand command, Duration timeout, BatchCallback callback);
    bool isAnswerPending() const;

    const Parts parts_;
    ListedServer listed_;
    bool unlisted_ = false;
    ServerPool pool_;
    ServerConnectionPtr control_;
    bool controlBusy_ = false;
    // Number of calls of closeAll().
    std::uint64_t closings_ = 0;
    int inFlight_ = 0;
    decision::SlotWindow window_;
    // Last time at which the server closed or refused a connection. Connections opened since then
    // belong to the run that followed.
    Instant disconnectedAt_ {};
    Instant lastResponseAt_;
    Instant awaitingAnswerFrom_ {};
    // Age of the oldest statement at which the server is queried; doubles while the statement runs.
    Duration queryAge_ {0};
    bool queryingBusySlots_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::group
