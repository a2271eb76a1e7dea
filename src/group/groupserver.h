#pragma once

#include "core/eventlog.h"
#include "core/timerservice.h"
#include "decision/ways.h"
#include "group/serverpool.h"
#include "session/stagetimes.h"

#include <map>
#include <string>
#include <vector>

namespace kelptally::group {

// What a server has shown of itself in its present run, and what follows for the next choice. The
// beginning of another run ends all of it.
struct ObservedState
{
    // Highest position in its answers; what a read there surely finds.
    std::optional<Position> position;
    Instant positionAt {};
    // How far it was behind when it was last known.
    Duration lag {0};
    // Not asked for reads until then: it has just refused one as too new for it.
    Instant laggingUntil {};
    // Grows while it goes on refusing.
    Duration laggingBackoff {0};
    // Not asked for anything until then: it has just refused work.
    Instant busyUntil {};
    // The last attempt to connect failed and none has succeeded since.
    bool unreachable = false;
    // It is not running: nothing listens at its address, or another server does.
    bool absent = false;
    // No attempt to connect before then.
    Instant retryAt {};
};

// One server of a group as its owner sees it: connections within the owner's share of the server's
// limit, slots in use, and what the server has shown of itself.
class GroupServer
{
public:
    struct Parts
    {
        TimerService &timers;
        ServerConnector &connector;
        EventLog &log;
        session::StageTimes &times;
        // A connection or a slot has become free, or the server was heard again.
        std::function<void()> onCapacityFreed;
        // All connections ended or none can be opened.
        std::function<void(const ServerName &, ConnectOutcome)> onConnectionFailure;
        // Connections have gone silent without an end: others of this process may have, too, that
        // have not answered since.
        std::function<void(Instant since)> onSilentConnections;
        decision::Ways ways;
    };

    GroupServer(const Parts &parts, const ListedServer &listed);
    ~GroupServer();

    // What the list says now. True when it tells of another run of the server: then nothing is
    // believed of it any more, and connections that may belong to the earlier run are closed.
    bool update(const ListedServer &listed);
    // The list has dropped it, though it answers: it gets no statement any more, and is asked like
    // the others what it holds.
    void onUnlisted();
    bool isUnlisted() const { return unlisted_; }
    // See ServerPool.
    void setMaxConnections(int count, bool byOrganisation);
    void limitConnections(int count) { pool_.limitConnections(count); }
    void setMinIdleTime(Duration time) { pool_.setMinIdleTime(time); }
    // Opens what the slots need, so that the first statements don't wait for it.
    void warmUp();
    void closeIdle() { pool_.closeIdle(); }
    // Closes everything; running batches end as lost.
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

    // Sends commands of the owner's own on a connection kept for them. Without an answer within the
    // timeout the result is lost.
    void control(ServerCommand command, Duration timeout, BatchCallback callback);

    // Called before anything is sent, and before beginWork().
    void onSend();
    void beginWork(PooledConnection &connection, bool mayRepeat);
    void endWork(PooledConnection &connection);
    // Called every few ms while statements run. An open connection may go silent while new ones
    // work: the server is asked how many statements it runs. Those that it does not run take no
    // slot; such as may run again are given up with their connections, others wait for their time.
    void detectSilentConnections(Instant now);
    // Closes idle connections that have not answered since.
    void closeStaleIdle(Instant since) { pool_.closeStaleIdle(since); }
    int inFlight() const { return inFlight_; }
    int slots() const { return listed_.slots; }
    bool hasSlot() const { return inFlight_ + pool_.slotsOpening() < listed_.slots; }

    // Something was heard from it.
    void onResponse();
    Instant lastResponseAt() const { return lastResponseAt_; }
    // Since when it owes an answer and has said nothing; nothing when it owes none.
    std::optional<Instant> awaitingAnswerSince() const;

    const ServerName &id() const { return listed_.id(); }
    const ListedServer &listed() const { return listed_; }
    bool isUnreachable() const { return observed.unreachable; }
    bool isAbsent() const { return observed.absent; }
    // Whether a connection to the present run is open.
    bool isConnected() const { return pool_.open() > 0; }
    int connections() const { return pool_.open(); }
    ServerAddress address() const { return {listed_.id(), listed_.group, listed_.endpoint}; }

    ObservedState observed;

private:
    void open(const OrganisationName &organisation);
    void onConnected(const OrganisationName &organisation, ConnectOutcome outcome,
                     const ServerConnectionPtr &connection);
    void onConnectionEnded(const PooledConnectionPtr &connection);
    void onBusyReport(int busy, Instant asked);
    void queryBusySlots(bool again);
    std::vector<PooledConnectionPtr> workStartedBefore(Instant instant) const;
    void freeSlot(PooledConnection &connection);
    void closeRepeatable(Instant asked);
    void recordOutcome(ConnectOutcome outcome);
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
    int inFlight_ = 0;
    // When a connection ended by itself last, or was refused: what was opened since then belongs to
    // whichever run came after.
    Instant disconnectedAt_ {};
    Instant lastResponseAt_;
    Instant awaitingAnswerFrom_ {};
    // The oldest statement is looked at when it has this age; doubles while the server runs it.
    Duration queryAge_ {0};
    bool queryingBusySlots_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::group
