#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/replicationwatch.h"
#include "decision/serverwatch.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

// Failure detection and promotion for a group. Runs on the group's owner only.
namespace kelptally::decision {

// State of a server as the server reports it.
struct ServerReport
{
    // Newest term that the server was prepared for or follows. It rejects logs of lower terms.
    Term term = 0;
    bool isPrimary = false;
    // Newest record in its log and newest record visible to its readers, each with the term in
    // which it was written.
    Position received;
    Position applied;
    OwnerEpoch fence = 0;
};

// Start of a term in the log of a group.
struct TermStart
{
    Term term = 0;
    LogOffset start = 0;
};

// Actions for the caller to carry out.
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
// Writes stop: the connections to this primary are closed, and the outcome of writes that wait for
// confirmation becomes unknown.
struct PrimaryGone
{
    ServerName server;
    std::string cause;
};
// Writes continue on this primary.
struct PrimaryReady
{
    ServerName server;
    Term term = 0;
    // Time since the first sign of a failure or the stop of writes; zero at the first start.
    Duration gap {0};
    // Set if an operator accepted data loss: records of the old term after this position may be
    // lost.
    std::optional<Position> lostAfter;
};

using FailoverAction = std::variant<SendProbe, SendPrepare, SendPromote, SendFollow, SendRaiseFence,
                                    SendReadHistory, PrimaryGone, PrimaryReady>;
using FailoverActions = std::vector<FailoverAction>;

// Why a command to a server was not carried out.
enum class CommandFailure {
    // The server rejected the command.
    Refused,
    // Nothing was sent, for example for lack of a connection.
    NotSent,
    // The command was sent and the answer was lost.
    Unknown,
};

// Safety checks, always enabled in production (see OwnershipChecks).
struct FailoverChecks
{
    bool fence = true;
};

// State machine for failure detection and promotion in one group. It has no I/O and no clock:
// callers pass the current time and carry out the returned actions.
class Failover
{
public:
    Failover(GroupName group, OwnerEpoch epoch, std::vector<ServerName> servers,
             FailoverChecks checks = {});

    // Starts serving as owner: locates the primary and raises the fence.
    FailoverActions start(Instant now, Term termHint, const ServerName &primaryHint);

    // Handle the answers to actions. The sequence is that of the SendProbe.
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
    // A statement was answered, or its connection was lost.
    void onTraffic(Instant now, const ServerName &server);
    FailoverActions onConnectionLost(Instant now, const ServerName &server);

    // Promotes the server at an operator's request. Without acceptLoss this needs a majority like
    // any other promotion.
    FailoverActions promote(Instant now, const ServerName &server, bool acceptLoss);

    // Sets the configured servers and those of them that are leaving.
    FailoverActions setServers(Instant now, std::vector<ServerName> servers,
                               std::vector<ServerName> leaving);

    FailoverActions onTick(Instant now);

    // Returns the primary that accepts writes, if there is one.
    const std::optional<ServerName> &primary() const;
    Term term() const;
    const std::vector<TermStart> &history() const;
    // Whether a session's position is known not to be part of the history. False until the history
    // of the current term has been read.
    bool isLost(Position position) const;
    const std::optional<ServerReport> &report(const ServerName &server) const;
    // Returns the servers that have not answered for two seconds, or never.
    std::vector<ServerName> silentServers(Instant now) const;
    // Whether fewer than a majority of the servers have answered within two seconds. Another
    // process may still reach them.
    bool isCutOff(Instant now) const;

    static constexpr Duration tickPeriod = std::chrono::milliseconds(20);

private:
    enum class Phase {
        Idle,
        // Searches for the primary with the highest term among a majority.
        Locating,
        // Writes have stopped for a planned switch while the next primary catches up.
        Switching,
        Preparing,
        Promoting,
        // Waits for the primary's fence and history and for a majority that holds its term.
        Establishing,
        Ready,
        // A newer owner has taken over the group.
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
        // In the term being established or served.
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
    // Start of the observation of the servers: the start, or the end of a pause of this process.
    Instant watchedSince_;
    std::uint64_t sequence_ = 0;

    // The current or next primary.
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

    // The primary being replaced. Chosen again only if no other server is safe.
    ServerName replacedPrimary_;
    std::optional<Instant> outageSince_;
    // The server that an operator or a planned switch selected.
    ServerName target_;
    bool acceptLoss_ = false;
    std::optional<Position> lostAfter_;
};

// Whether the position is part of the history that leads to the current term: its term is the
// current one, or its offset precedes the start of the next term.
bool isInHistory(Position position, Term currentTerm, const std::vector<TermStart> &history);

} // namespace kelptally::decision
