#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/replicationwatch.h"
#include "decision/serverwatch.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

// When a primary is given up and which server follows it. Runs at the owner of the group only.
namespace kelptally::decision {

// What a server says of itself.
struct ServerReport
{
    // Newest term that it was prepared for or followed: it takes no log of a lower one.
    Term term = 0;
    bool isPrimary = false;
    // Newest record it holds, with the term that record was written in, and newest that its readers
    // see.
    Position received;
    Position applied;
    OwnerEpoch fence = 0;
};

// One term of a group's history: the offset at which it began.
struct TermStart
{
    Term term = 0;
    LogOffset start = 0;
};

// Actions.
struct SendProbe
{
    ServerName server;
    std::uint64_t sequence = 0;
};
struct SendPrepare
{
    ServerName server;
    Term term = 0;
};
struct SendPromote
{
    ServerName server;
    Term term = 0;
};
struct SendFollow
{
    ServerName server;
    ServerName primary;
    Term term = 0;
};
struct SendRaiseFence
{
    ServerName server;
    OwnerEpoch epoch = 0;
};
// Reads the term history of a new primary.
struct SendReadHistory
{
    ServerName server;
};
// Writes stop: the connections to this primary are closed, and what waits for confirmation there
// becomes unknown.
struct PrimaryGone
{
    ServerName server;
    std::string cause;
};
// Writes go on at this primary.
struct PrimaryReady
{
    ServerName server;
    Term term = 0;
    // From the first sign of trouble to now; zero at the first start.
    Duration gap {0};
    // Loss that an operator accepted: records after this position of the old term may be gone.
    std::optional<Position> lostAfter;
};

using FailoverAction = std::variant<SendProbe, SendPrepare, SendPromote, SendFollow, SendRaiseFence,
                                    SendReadHistory, PrimaryGone, PrimaryReady>;
using FailoverActions = std::vector<FailoverAction>;

// Why a command to a server was not carried out.
enum class CommandFailure {
    // The server answered that it will not.
    Refused,
    // Nothing was sent, as when there is no connection: no word of the server.
    NotSent,
    // Sent, and the answer was lost.
    Unknown,
};

struct FailoverChecks
{
    bool fence = true;
};

// Detection and promotion for one group.
class Failover
{
public:
    Failover(GroupName group, OwnerEpoch epoch, std::vector<ServerName> servers,
             FailoverChecks checks = {});

    // The owner begins to serve: finds the primary, raises the fence.
    FailoverActions start(Instant now, Term termHint, const ServerName &primaryHint);

    // Answers; sequence as in SendProbe. A failed probe or a refused connection is evidence too.
    FailoverActions onReport(Instant now, const ServerName &server, std::uint64_t sequence,
                             const ServerReport &report);
    FailoverActions onProbeFailed(Instant now, const ServerName &server, std::uint64_t sequence,
                                  bool connectionRefused);
    FailoverActions onPrepared(Instant now, const ServerName &server, Term term,
                               const ServerReport &report);
    FailoverActions onPromoted(Instant now, const ServerName &server, Term term);
    FailoverActions onFollowing(Instant now, const ServerName &server, Term term);
    FailoverActions onFenceRaised(Instant now, const ServerName &server, OwnerEpoch epoch);
    FailoverActions onHistory(Instant now, const ServerName &server,
                              const std::vector<TermStart> &history);
    FailoverActions onCommandFailed(Instant now, const ServerName &server, CommandFailure failure);
    // A statement of ordinary traffic was answered, or its connection was lost.
    void onTraffic(Instant now, const ServerName &server);
    FailoverActions onConnectionLost(Instant now, const ServerName &server);

    // Operator's wish. Without acceptLoss it needs a majority like any other promotion.
    FailoverActions promote(Instant now, const ServerName &server, bool acceptLoss);

    // Servers as the configuration has them now.
    FailoverActions setServers(Instant now, std::vector<ServerName> servers,
                               std::vector<ServerName> leaving);

    FailoverActions onTick(Instant now);

    // The primary that takes writes now; nothing while there is none.
    const std::optional<ServerName> &primary() const;
    Term term() const;
    const std::vector<TermStart> &history() const;
    // Whether a session's position is known not to be part of the history. False while the history
    // of a new term has not been read yet.
    bool isLost(Position position) const;
    const std::optional<ServerReport> &report(const ServerName &server) const;
    // Servers that have not been heard for two seconds, or never.
    std::vector<ServerName> silentServers(Instant now) const;
    // Whether too few servers for a majority have been heard for two seconds. Either they are gone
    // or this process is cut off from them, and another one may hear them.
    bool isCutOff(Instant now) const;

    static constexpr Duration tickPeriod = std::chrono::milliseconds(20);

private:
    enum class Phase {
        Idle,
        // Looks for the primary with the highest term among a majority.
        Locating,
        // Writes have stopped for a planned switch; the next primary catches up.
        Switching,
        Preparing,
        Promoting,
        // A primary is there; fence, history and a majority that holds its term are awaited.
        Establishing,
        Ready,
        // A newer owner has been here.
        Superseded,
    };

    struct ServerState
    {
        ServerName name;
        bool leaving = false;
        std::optional<ServerReport> report;
        // Sequence of the probe that the report answers.
        std::uint64_t reportSequence = 0;
        ServerWatch watch;
        Instant nextProbe;
        // In the term that is being made or served.
        bool prepared = false;
        bool followed = false;
        Instant nextCommand;
    };

    bool isResponding(Instant now, const ServerState &server) const;
    ServerState *find(const ServerName &server);
    const ServerState *find(const ServerName &server) const;
    std::size_t majority() const { return servers_.size() / 2 + 1; }

    void recordAnswer(Instant now, ServerState &server);
    bool hasFailed(Instant now, const ServerState &server) const;
    bool othersAnswer(Instant now, const ServerState &server) const;
    void sendProbe(Instant now, ServerState &server, FailoverActions &actions);
    void sendProbes(Instant now, FailoverActions &actions);
    void resetWatches(Instant now);

    void watchReplication(Instant now, const ServerState &server);
    bool isStalled(Instant now) const;
    bool isSupersededBy(const ServerReport &report) const;
    void checkReport(Instant now, const ServerState &server, FailoverActions &actions);
    void step(Instant now, FailoverActions &actions);
    void locatePrimary(Instant now, FailoverActions &actions);
    void stopWrites(Instant now, const std::string &cause, FailoverActions &actions);
    void beginPromotion(Instant now, const std::string &cause, FailoverActions &actions);
    void beginSwitch(Instant now, const ServerName &target, FailoverActions &actions);
    void continueSwitch(Instant now, FailoverActions &actions);
    void replaceLeavingPrimary(Instant now, FailoverActions &actions);
    void choosePrimary(Instant now);
    void establish(Instant now, const ServerName &leader, Term term, FailoverActions &actions);
    bool holdsTerm(const ServerState &server) const;
    bool needsFollow(const ServerState &server) const;
    void finishEstablishing(Instant now, FailoverActions &actions);
    void sendCommands(Instant now, FailoverActions &actions);
    void enterPhase(Instant now, Phase phase);

    GroupName group_;
    OwnerEpoch epoch_;
    FailoverChecks checks_;
    std::vector<ServerState> servers_;
    Phase phase_ = Phase::Idle;
    Instant phaseSince_;
    Instant lastTick_;
    // Silence is counted from here: the start, or the end of a pause of this process.
    Instant watchedSince_;
    std::uint64_t sequence_ = 0;

    // The server that is, or is about to be, primary.
    ServerName leader_;
    std::uint64_t leaderSequence_ = 0;
    std::optional<ServerName> primary_;
    Term term_ = 0;
    Term newTerm_ = 0;
    std::uint64_t termCount_ = 0;
    std::vector<TermStart> history_;
    bool fenceRaised_ = false;
    bool historyRead_ = false;
    ReplicationWatch replication_;

    // Given up last; chosen again only if nothing else is safe.
    ServerName replacedPrimary_;
    std::optional<Instant> outageSince_;
    // An operator's or a planned choice.
    ServerName target_;
    bool acceptLoss_ = false;
    std::optional<Position> lostAfter_;
};

// Whether a position of any term is part of the history that leads to the current term: its term
// is the current one, or its offset lies before the start of the next term.
bool isInHistory(Position position, Term currentTerm, const std::vector<TermStart> &history);

} // namespace kelptally::decision
