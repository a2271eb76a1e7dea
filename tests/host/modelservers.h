#pragma once

#include "core/manualtimerservice.h"
#include "group/serverinterface.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Database servers of one group that exist in memory only, on a manual clock: a log with terms,
// synchronous confirmation by one replica, lag, and the commands of a change of primary.
namespace kelptally::model {

struct LogEntry
{
    Term term = 0;
    // Id of the statement that committed it.
    std::string id;
};

class ModelConnection;

struct ModelServer
{
    ServerName id;
    std::string endpoint;
    ZoneName zone;
    bool running = true;
    // Counts its starts.
    int run = 1;
    bool primary = false;
    Term term = 1;
    // Everything received; a read sees the applied part.
    std::vector<LogEntry> log;
    std::size_t applied = 0;
    Term stoppedTerm = 0;
    Duration lag {std::chrono::milliseconds(20)};
    // Receives nothing from the primary, though it runs.
    bool stalled = false;
    // Follows the primary, and has received nothing of its log yet.
    bool awaitsLog = false;
    // The term of its positions is the one that it follows, not that of the last entry.
    bool reportsFollowedTerm = false;
    // It never comes back under this id. What it held has moved to another server, or is lost.
    bool retired = false;
    // When the platform's list last had an entry of it, if entries lapse.
    std::optional<Instant> lastListedAt;
    bool leaving = false;
    // Its entry is gone from the list, whether it runs or not.
    bool unlisted = false;
    // Statements that run.
    int busy = 0;
    // It takes no more connections than these, also of hosts that are gone without a word.
    std::size_t maxConnections = 1000;
    std::vector<std::shared_ptr<ModelConnection>> connections;

    Position position(std::size_t count) const
    {
        if (reportsFollowedTerm)
            return {term, count};
        return {count == 0 ? 1 : log[count - 1].term, count};
    }
    // Whether the applied part of the log reaches the position.
    bool holds(Position needed) const
    {
        if (needed.offset == 0 || needed.offset > applied)
            return needed.offset == 0;
        return log[needed.offset - 1].term == needed.term || needed.term < position(applied).term
            || (reportsFollowedTerm && needed.term == term);
    }
};

// What the servers and their callers are found to have done wrong.
struct Violations
{
    std::vector<std::string> all;
    void add(const std::string &what) { all.push_back(what); }
};

class ModelGroup
{
public:
    ModelGroup(ManualTimerService &timers, GroupName name, Violations &violations);

    GroupName name() const { return name_; }
    std::map<ServerName, ModelServer> &servers() { return servers_; }
    std::vector<group::ListedServer> listed() const;

    // Another replica joins, with an empty log. Hosts know it once it is listed.
    void add(const ServerName &id);
    void crash(const ServerName &id);
    // Connections that are open now carry nothing any more, and neither end is told.
    void silenceConnections(const ServerName &id);
    // How often the statement is in the primary's log.
    int commitCount(const std::string &id) const;
    // Ends and starts again so quickly that nobody is refused.
    void restartQuickly(const ServerName &id);
    // Comes back with its log.
    void restart(const ServerName &id);
    // A crashed server comes back with its log at its address, as a replica with another id. Hosts
    // know it once it is listed.
    void restartAs(const ServerName &id, const ServerName &newId);
    // Another server starts at the address of one that does not run, with its log and a new id; the
    // new id.
    ServerName replaceWithLog(const ServerName &id);
    // The server and its log are gone for good.
    void destroy(const ServerName &id);
    // An empty server starts at the address of one that is lost; its id.
    ServerName replaceEmpty(const ServerName &id);
    // All servers that have had the address of this one, and itself.
    std::vector<ServerName> serversAtAddressOf(const ServerName &id) const;
    // Servers that run, or will again.
    std::vector<ServerName> existingServers() const;
    ServerName primary() const;

    // The promotion call of one process; checks the fencing token.
    group::PromotionOutcome promote(const ServerName &id, OwnerEpoch token);

    // A write was acknowledged to its caller at this time.
    void onAcknowledged(const std::string &id);
    // Acknowledged before the instant.
    std::vector<std::string> acknowledgedBefore(Instant instant) const;
    // It was acknowledged, and not lost together with all that held it.
    bool isAcknowledged(const std::string &id) const { return acknowledged_.count(id) != 0; }
    bool isCommitted(const std::string &id) const;
    bool isReachable(const std::string &client, const ServerName &id) const;
    // Processes by their address that are cut off from a server.
    std::set<std::pair<std::string, ServerName>> partitions;
    // How much longer than usual a server's answers take to a process.
    std::map<std::pair<std::string, ServerName>, Duration> answerDelays;
    // Of those, the ones whose connections are refused instead of left without an answer.
    std::set<std::pair<std::string, ServerName>> refusingPartitions;
    // Begins such a cut: open connections are reset.
    void refuseConnections(const std::string &client, const ServerName &id);
    void healPartition(const std::string &client, const ServerName &id);
    // Replicas that are cut off from the primary.
    std::set<ServerName> replicationPartitions;

    std::unique_ptr<group::ServerConnector> connector(const std::string &client);

    // The server that will lead in a moment; empty when none was named.
    bool isPromoting() const { return promotionPending_; }
    ServerName promotionCandidate() const { return candidate_; }

    // Existing servers with the ends of their logs, in words.
    std::string summary() const;
    // Whether entries tell when their servers started.
    bool entriesHaveStart = true;

    // So many calls are turned away for the moment; what happens at each.
    int rejectedPromotions = 0;
    std::function<void(const ServerName &)> onPromotionRejected;

    int promotions = 0;
    int commits = 0;
    // Signatures of the statements before the commit of each transaction that was committed, by
    // that of its commit.
    std::map<std::string, std::vector<std::string>> statementsByCommit;
    // Connections in a transaction.
    int openTransactionCount() const;
    // Acknowledged commits that were lost because every server that held them is gone for good.
    int unrecoverableCommits = 0;

private:
    friend class ModelConnection;

    const std::vector<LogEntry> &newestLog() const;
    void replicate(const ServerName &primaryId);
    void resumeReplication();
    void completePromotion(const ServerName &id);
    void acknowledgeReplicated(const ServerName &primaryId);
    ModelServer &addAtAddressOf(const ServerName &predecessor);
    void checkNoCommitLost(const ModelServer &promoted);
    std::string describeHolders(const std::string &commit) const;
    bool isKnownToHosts(const ModelServer &server) const;

    ManualTimerService &timers_;
    const GroupName name_;
    Violations &violations_;
    std::map<ServerName, ModelServer> servers_;
    // Commits that wait for a replica: primary, log length, what to do.
    struct PendingCommit
    {
        ServerName primary;
        std::size_t length;
        std::function<void()> done;
    };
    std::vector<PendingCommit> pendingCommits_;
    std::map<std::string, Instant> acknowledged_;
    OwnerEpoch highestToken_ = 0;
    // Of the servers that were promoted so far.
    Term highestPromotedTerm_ = 1;
    int lastServerNumber_ = 3;
    bool promotionPending_ = false;
    ServerName candidate_;
};

} // namespace kelptally::model
