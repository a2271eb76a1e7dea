#pragma once

#include "bench/grouplogs.h"
#include "bench/signature.h"
#include "bench/trace.h"
#include "core/reason.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace kelptally::bench {

// The final answer that a caller receives.
struct Answer
{
    // Request identifier stated in the answer.
    RequestId request = 0;
    Executed executed = Executed::No;
    Reason reason = Reason::None;
    // Position that a read saw, or position of a write in the log.
    Position position;
    ServerName server;
    bool fromReplica = false;
    // How long a refused caller is asked to wait before it sends the request again.
    Duration retryAfter {0};
};

// Number of violations of each consistency and availability guarantee.
struct Violations
{
    int readYourWrites = 0;
    int statedAge = 0;
    // Acknowledged writes that are not in the final log.
    int lostWrites = 0;
    // Repeated executions of writes that must not be executed twice.
    int duplicateWrites = 0;
    // Writes answered as not executed that are in the final log.
    int executedDespiteRefusal = 0;
    int misdirectedAnswers = 0;
    int statementsOnLeavingServer = 0;
    int abortedRequests = 0;

    int all() const
    {
        return readYourWrites + statedAge + lostWrites + duplicateWrites + executedDespiteRefusal
            + misdirectedAnswers + statementsOnLeavingServer + abortedRequests;
    }
};

struct TeamFigures
{
    int requests = 0;
    int inTime = 0;
    std::vector<Duration> latency;
};

struct Figures
{
    Violations violations;
    // Requests whose final answer the trace doesn't allow.
    int unexpectedOutcomes = 0;
    int requests = 0;
    int done = 0;
    // Requests done within the caller's deadline.
    int inTime = 0;
    int refused = 0;
    int unknown = 0;
    // Reads with a stated age: all, those that a replica was fresh enough to answer, and those that
    // a replica answered.
    int statedAgeReads = 0;
    int replicaEligibleReads = 0;
    int replicaReads = 0;
    // Time from each fault that stops writes to the acknowledgement of the first write committed
    // after it.
    std::vector<Duration> gaps;
    // Time from sending to the answer, of requests done.
    std::vector<Duration> writeLatency;
    std::vector<Duration> readLatency;
    std::map<Reason, int> refusals;
    std::map<TeamName, TeamFigures> teams;
    // Digest of every answer with its time and server.
    Signature answers;
};

// Checks every answer against the logs of the model.
class Checker
{
public:
    using LogLookup = std::function<const GroupLogs &(const GroupName &)>;

    explicit Checker(LogLookup findLogs) : findLogs_(std::move(findLogs)) { }

    void onSent(const TraceRequest &request, Instant now);
    // The caller sends a refused request again; latency is measured from this attempt.
    void onRetried(const TraceRequest &request, Instant now) { sent_[request.id].at = now; }
    void onAnswer(const TraceRequest &request, const Answer &answer, Instant now);
    // A replica was fresh enough to answer a read with a stated age.
    void onReplicaEligibleRead() { ++figures_.replicaEligibleReads; }
    // A statement starts on a server that was marked as leaving this long ago.
    void onStatementOnLeavingServer(Duration since);
    // A planned stop of a proxy ended with this many requests unanswered.
    void onRequestsAborted(int requests) { figures_.violations.abortedRequests += requests; }
    // A fault stops the writes of these groups.
    void onWritesStop(const std::vector<GroupName> &groups, Instant now);
    // Checks the acknowledged and refused writes of a group against the log of its last term.
    // Called once, after the trace.
    void checkFinalLog(const GroupName &group, Term term);

    const Figures &figures() const { return figures_; }
    // Newest position of the session's acknowledged writes, for its session token.
    std::optional<Position> sessionPosition(SessionId session, const GroupName &group) const;
    // Whether a read of this prefix misses a write committed and acknowledged by these instants.
    bool isStale(const GroupName &group, Position prefix, Instant committedBy,
                 Instant acknowledgedBy) const;
    // Whether a read of this prefix misses a write of its session that was acknowledged before the
    // read was sent.
    bool missesOwnWrite(const TraceRequest &request, Position prefix) const;

private:
    struct Acknowledged
    {
        RequestId request = 0;
        Instant committedAt;
        Instant acknowledgedAt;
        Position position;
    };
    struct Sent
    {
        Instant at;
        // Number of writes of the session that were acknowledged when the request was sent.
        std::size_t knownWrites = 0;
    };
    using SessionGroup = std::pair<SessionId, GroupName>;

    void checkRead(const TraceRequest &request, const Answer &answer, Instant now);
    void recordWrite(const TraceRequest &request, const Answer &answer, Instant now);
    void recordLatency(const TraceRequest &request, Duration latency);
    void addToDigest(const Answer &answer, Instant now);
    void recordOutcome(const TraceRequest &request, const Answer &answer);

    LogLookup findLogs_;
    Figures figures_;
    std::map<RequestId, Sent> sent_;
    std::map<SessionGroup, std::vector<Acknowledged>> ownWrites_;
    // By time of commit.
    std::map<GroupName, std::map<Instant, std::vector<Acknowledged>>> acknowledged_;
    std::map<GroupName, std::set<RequestId>> refusedWrites_;
    // Writes that must not be executed twice.
    std::set<RequestId> nonRepeatableWrites_;
    std::map<GroupName, Instant> writesStopped_;
};

} // namespace kelptally::bench
