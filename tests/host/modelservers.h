#pragma once

#include "core/manualtimerservice.h"
#include "group/serverinterface.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

// In-memory database servers of one group on a manual clock: a log with terms, synchronous
// confirmation by one replica, replication lag, and the commands for a change of primary.
namespace kelptally::model {

struct LogEntry
{
    Term term = 0;
    // The statement that committed the entry.
    std::string id;
};

class ModelConnection;

struct ModelServer
{
    ServerName id;
    std::string endpoint;
    ZoneName zone;
    bool running = true;
    // Number of starts.
    int run = 1;
    bool primary = false;
    Term term = 1;
    // All entries received. Reads see the first `applied` entries.
    std::vector<LogEntry> log;
    std::size_t applied = 0;
    Term stoppedTerm = 0;
    Duration lag {std::chrono::milliseconds(20)};
    // Replication to the server is stalled, though it runs.
    bool stalled = false;
    // Follows the primary's term, but has not received its log yet.
    bool awaitsLog = false;
    // Positions carry the term that the server follows instead of the term of the last entry.
    bool reportsFollowedTerm = false;
    // Never comes back under this id. Its log has moved to another server or is lost.
    bool retired = false;
    // When the platform's list last contained the server, if entries expire.
    std::optional<Instant> lastListedAt;
    bool leaving = false;
    // Not in the list, whether it runs or not.
    bool unlisted = false;
    // Number of running statements.
    int busy = 0;
    // Connection limit. Connections of hosts that have ended without closing them count as well.
    std::size_t maxConnections = 1000;
    std::vector<std::shared_ptr<ModelConnection>> connections;

    Position position(std::size_t count) const
    {
        if (reportsFollowedTerm)
            return {term, count};
        return {count == 0 ? 1 : log[count - 1].term, count};
    }
    // Whether the applied part of the log includes the position.
    bool holds(Position needed) const
    {
        if (needed.offset == 0 || needed.offset > applied)
            return needed.offset == 0;
        return log[needed.offset - 1].term == needed.term || needed.term < position(applied).term
            || (reportsFollowedTerm && needed.term == term);
    }
};

// Violations of the guarantees by servers or their callers.
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

    // Adds a replica with an empty log. Hosts know it once it is listed.
    void add(const ServerName &id);
    void crash(const ServerName &id);
    // Drops everything sent on the server's open connections. Neither end is notified.
    void silenceConnections(const ServerName &id);
    // Returns how often the statement is in the primary's log.
    int commitCount(const std::string &id) const;
    // Restarts the server so quickly that no connection is refused.
    void restartQuickly(const ServerName &id);
    // Starts a crashed server with its log.
    void restart(const ServerName &id);
    // Starts a crashed server with its log and address as a replica with another id. Hosts know it
    // once it is listed.
    void restartAs(const ServerName &id, const ServerName &newId);
    // Starts a server with a new id and with the log and address of one that does not run. Returns
    // the new id.
    ServerName replaceWithLog(const ServerName &id);
    // Removes the server and its log for good.
    void destroy(const ServerName &id);
    // Starts an empty server at the address of a destroyed one. Returns its id.
    ServerName replaceEmpty(const ServerName &id);
    // Returns the server and all others that have had its address.
    std::vector<ServerName> serversAtAddressOf(const ServerName &id) const;
    // Returns the servers that are not retired.
    std::vector<ServerName> existingServers() const;
    ServerName primary() const;

    // Handles a promotion call and checks its fencing token.
    group::PromotionOutcome promote(const ServerName &id, OwnerEpoch token);

    // Records that the write is acknowledged to its caller now.
    void onAcknowledged(const std::string &id);
    // Returns the writes that were acknowledged before the instant.
    std::vector<std::string> acknowledgedBefore(Instant instant) const;
    // Whether the write was acknowledged, and not lost with all servers that held it.
    bool isAcknowledged(const std::string &id) const { return acknowledged_.count(id) != 0; }
    bool isCommitted(const std::string &id) const;
    bool isReachable(const std::string &client, const ServerName &id) const;
    // Pairs of a process address and a server that cannot reach each other.
    std::set<std::pair<std::string, ServerName>> partitions;
    // Additional delay of the server's answers to the process.
    std::map<std::pair<std::string, ServerName>, Duration> answerDelays;
    // The pairs of `partitions` whose connections are refused instead of not being answered.
    std::set<std::pair<std::string, ServerName>> refusingPartitions;
    // Begins a refusing partition and resets the open connections.
    void refuseConnections(const std::string &client, const ServerName &id);
    void healPartition(const std::string &client, const ServerName &id);
    // Servers that are separated from the rest of the group.
    std::set<ServerName> replicationPartitions;

    std::unique_ptr<group::ServerConnector> connector(const std::string &client);

    // Whether a promotion is in progress, and the last server chosen for promotion.
    bool isPromoting() const { return promotionPending_; }
    ServerName promotionCandidate() const { return candidate_; }

    // Describes the existing servers and the ends of their logs.
    std::string summary() const;
    // Whether list entries contain the start time of their server.
    bool entriesHaveStart = true;

    // Number of promotion calls still to be rejected, and the function called for each.
    int rejectedPromotions = 0;
    std::function<void(const ServerName &)> onPromotionRejected;

    int promotions = 0;
    int commits = 0;
    // For each committed transaction: the signature of its commit, and the signatures of the
    // statements before it.
    std::map<std::string, std::vector<std::string>> statementsByCommit;
    // How often each read outside a transaction has run.
    std::map<std::string, int> readRuns;
    // How often each statement within a transaction has begun to run, except commits.
    std::map<std::string, int> transactionRuns;
    // Returns the number of connections that are in a transaction.
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
    // A commit that waits for a replica. `length` is the length of the log up to the commit.
    struct PendingCommit
    {
        ServerName primary;
        std::size_t length;
        std::function<void()> done;
    };
    std::vector<PendingCommit> pendingCommits_;
    std::map<std::string, Instant> acknowledged_;
    OwnerEpoch highestToken_ = 0;
    // The highest term of the servers promoted so far.
    Term highestPromotedTerm_ = 1;
    int lastServerNumber_ = 3;
    bool promotionPending_ = false;
    ServerName candidate_;
};

} // namespace kelptally::model
