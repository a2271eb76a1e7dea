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

// The final answer to a caller.
struct Answer
{
    // The request that the answer says it belongs to.
    RequestId request = 0;
    Executed executed = Executed::No;
    Reason reason = Reason::None;
    // What a read saw, or where a write is.
    Position position;
    ServerName server;
    bool fromReplica = false;
    // When a refused caller is asked to come back.
    Duration retryAfter {0};
};

// Broken promises of the brief, counted.
struct Violations
{
    int readYourWrites = 0;
    int statedAge = 0;
    int lostWrites = 0;
    int doubledWrites = 0;
    int falseNotRun = 0;
    int misdirectedAnswers = 0;
    int statementsOnLeavingServer = 0;
    int abortedRequests = 0;

    int all() const
    {
        return readYourWrites + statedAge + lostWrites + doubledWrites + falseNotRun
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
    // Requests whose final answer is not one that the trace states.
    int missedOutcomes = 0;
    int requests = 0;
    int done = 0;
    // Done within the caller's deadline.
    int inTime = 0;
    int refused = 0;
    int unknown = 0;
    // Reads that state an age: all, those that a perfectly informed router could send to a replica,
    // and those that a replica answered.
    int agedReads = 0;
    int replicaEligibleReads = 0;
    int byReplica = 0;
    // From each fault that stops writes to the first write committed after it and acknowledged.
    std::vector<Duration> gaps;
    // Time from sending to the answer, of those done.
    std::vector<Duration> writeLatency;
    std::vector<Duration> readLatency;
    std::map<Reason, int> refusals;
    // The same for each team: requests, those done within their deadline, and their latencies.
    std::map<TeamName, TeamFigures> teams;
    // Digest of every answer: when it came, from where, and what it said.
    Signature answers;
};

// Judges every answer against what really happened in the model.
class Checker
{
public:
    using LogLookup = std::function<const GroupLogs &(const GroupName &)>;

    explicit Checker(LogLookup findLogs) : findLogs_(std::move(findLogs)) { }

    void onSent(const TraceRequest &request, Instant now);
    // The caller sends a refused request again; its latency counts from here.
    void onRetried(const TraceRequest &request, Instant now) { sent_[request.id].at = now; }
    void onAnswer(const TraceRequest &request, const Answer &answer, Instant now);
    // A read that states an age was or was not such that a replica could have served it.
    void onReplicaEligibleRead() { ++figures_.replicaEligibleReads; }
    // A statement begins on a server that has been leaving for this long.
    void onStatementOnLeavingServer(Duration since);
    // A planned stop of a proxy ended with requests unanswered.
    void onRequestsAborted(int requests) { figures_.violations.abortedRequests += requests; }
    // Writes of these groups stop now.
    void onWritesStop(const std::vector<GroupName> &groups, Instant now);
    // The last primary's log of a group, once the trace is over.
    void checkFinalLog(const GroupName &group, Term term);

    const Figures &figures() const { return figures_; }
    // Newest position that a session has been told, for its token.
    std::optional<Position> sessionPosition(SessionId session, const GroupName &group) const;
    // Whether a read of this prefix would miss a write that was committed and acknowledged by these
    // instants, or one of the session's own.
    bool isStale(const GroupName &group, Position prefix, Instant committedBy,
                 Instant acknowledgedBy) const;
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
        // Writes that the session knew to be done when it sent this.
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
    // In the order of commit.
    std::map<GroupName, std::map<Instant, std::vector<Acknowledged>>> acknowledged_;
    std::map<GroupName, std::set<RequestId>> refusedWrites_;
    // Writes that must not run twice.
    std::set<RequestId> nonRepeatableWrites_;
    std::map<GroupName, Instant> writesStopped_;
};

} // namespace kelptally::bench
