#pragma once

#include "core/eventlog.h"
#include "core/timerservice.h"
#include "decision/connectionplaces.h"
#include "group/serverport.h"
#include "session/stagetimes.h"

#include <map>
#include <string>
#include <vector>

namespace kelptally::group {

// A connection with what it holds of its last user.
struct PooledConnection
{
    ServerConnectionPtr connection;
    // Whose it is for good; empty where there are no organisations.
    OrganisationName organisation;
    std::map<std::string, std::string> values;
    // Number on this connection by kind and shape: "r" or "w" and the shape.
    std::map<std::string, int> prepared;
    int lastPrepared = 0;
    Instant openedAt {};
    // When it last answered.
    Instant answeredAt {};
    // While it works for a statement: since when, whether that may run again elsewhere, and whether
    // it takes a slot of the server.
    bool working = false;
    bool mayRepeat = false;
    bool takesSlot = false;
    Instant workSince {};
};

using PooledConnectionPtr = std::shared_ptr<PooledConnection>;

// What a server has shown of itself in its present run, and what follows for the next choice. The
// beginning of another run ends all of it.
struct RunBeliefs
{
    // Highest position in its answers; what a read there surely finds.
    std::optional<Position> shown;
    Instant shownAt {};
    // How far it was behind when it was last known.
    Duration lag {0};
    // Not asked for reads until then: it has just refused one as too new for it.
    Instant behindUntil {};
    // Grows while it goes on refusing.
    Duration behindPause {0};
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
        std::function<void()> onFree;
        // All connections ended or none can be opened.
        std::function<void(const ServerName &, ConnectOutcome)> onTrouble;
        // Connections have gone silent without an end: others of this process may have, too, that
        // have not answered since.
        std::function<void(Instant since)> onSilence;
        decision::Ways ways;
    };

    GroupServer(const Parts &parts, const ListedServer &listed);
    ~GroupServer();

    // What the list says now. True when it tells of another run of the server: then nothing is
    // believed of it any more, and connections that may belong to the earlier run are closed.
    bool update(const ListedServer &listed);
    // Connections of all owners together, of which this one takes a share; and whether each belongs
    // to one organisation.
    void setMaxConnections(int count, bool byOrganisation);
    // This one takes so many and no more, whatever the share.
    void limitConnections(int count) { limit_ = count; }
    // A connection that has rested for less is not closed to make room for another organisation.
    void setLeastRest(Duration time) { leastRest_ = time; }
    // Opens what the slots need, so that the first statements don't wait for it. Whose connections
    // will be needed is not known beforehand.
    void warmUp();
    // Closes what nobody uses.
    void closeIdle();
    // Closes everything; running batches end as lost.
    void closeAll();

    struct Taken
    {
        // Null when there is none.
        PooledConnectionPtr connection;
        decision::Place place = decision::Place::Use;
    };

    // A free connection of the organisation, best one with these values. If there is none, one is
    // opened where that is allowed.
    Taken take(const std::map<std::string, std::string> &values,
               const OrganisationName &organisation);
    // A connection of the organisation is free, or is being opened.
    bool isHeldBy(const OrganisationName &organisation) const;
    // Gives back a connection that is in a known state and in no transaction.
    void giveBack(const PooledConnectionPtr &connection);
    void discard(const PooledConnectionPtr &connection);

    // Sends commands of the owner's own on a connection kept for them. Without an answer within the
    // timeout the result is lost.
    void control(ServerCommand command, Duration timeout, BatchCallback callback);

    // Called before anything is sent, and before beginWork().
    void sent();
    void beginWork(PooledConnection &connection, bool mayRepeat);
    void endWork(PooledConnection &connection);
    // Called every few ms while statements run. An open connection may go silent while new ones
    // work: the server is asked how many statements it runs. Those that it does not run take no
    // slot; such as may run again are given up with their connections, others wait for their time.
    void watchSilence(Instant now);
    // Closes idle connections that have not answered since.
    void dropIdle(Instant since);
    int inFlight() const { return inFlight_; }
    int slots() const { return listed_.slots; }
    bool hasSlot() const { return inFlight_ + openingOwned_ < listed_.slots; }

    // Something was heard from it.
    void heard();
    Instant lastHeard() const { return lastHeard_; }
    // Since when it owes an answer and has said nothing; nothing when it owes none.
    std::optional<Instant> owesSince() const;

    const ServerName &id() const { return listed_.id(); }
    const ListedServer &listed() const { return listed_; }
    bool isUnreachable() const { return seen.unreachable; }
    bool isAbsent() const { return seen.absent; }
    // Whether a connection to the present run is open.
    bool isConnected() const { return total_ > 0; }
    int connections() const { return total_; }
    ServerAddress address() const { return {listed_.id(), listed_.group, listed_.endpoint}; }

    RunBeliefs seen;

private:
    void open(const OrganisationName &organisation);
    void forgetEnded();
    void noteAsked(const OrganisationName &organisation, Instant now);
    double askedPerIdle(const OrganisationName &organisation, Instant now) const;
    void closeSurplus();
    void onConnected(const OrganisationName &organisation, ConnectOutcome outcome,
                     const ServerConnectionPtr &connection);
    void onIdleEnded(const PooledConnectionPtr &connection);
    void onBusyReport(int busy, Instant asked);
    void askWhatRuns(bool again);
    std::vector<PooledConnectionPtr> workingSince(Instant instant) const;
    void freeSlot(PooledConnection &connection);
    void giveUpReads(Instant asked);
    void noteOutcome(ConnectOutcome outcome);
    void noteBreak();
    void closeBefore(Instant opened);
    void runControl(ServerCommand command, Duration timeout, BatchCallback callback);
    int share() const;
    bool owes() const;
    // False when the connection was not out, as after closeAll().
    bool untake(const PooledConnectionPtr &connection);

    const Parts parts_;
    ListedServer listed_;
    int maxConnections_ = 0;
    bool byOrganisation_ = false;
    std::optional<int> limit_;
    Duration leastRest_ {0};
    // Until then it takes no more connections than these from here.
    Instant crowdedUntil_ {};
    int crowdedShare_ = 0;
    std::vector<PooledConnectionPtr> idle_;
    std::vector<PooledConnectionPtr> taken_;
    ServerConnectionPtr control_;
    bool controlBusy_ = false;
    int total_ = 0;
    int opening_ = 0;
    // How often organisations have asked for a connection of late, halved by time.
    struct Asked
    {
        double count = 0;
        Instant at {};
    };
    std::map<OrganisationName, Asked> asked_;
    // Of those, the ones for organisations, each of which takes a slot meanwhile.
    int openingOwned_ = 0;
    std::map<OrganisationName, int> openingFor_;
    int inFlight_ = 0;
    // When a connection ended by itself last, or was refused: what was opened since then belongs to
    // whichever run came after.
    Instant brokenAt_ {};
    Instant lastHeard_;
    Instant owedFrom_ {};
    // The oldest statement is looked at when it has this age; doubles while the server runs it.
    Duration lookAge_ {0};
    bool looking_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::group
