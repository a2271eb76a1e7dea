#pragma once

#include "core/timerservice.h"
#include "standin/delayqueue.h"
#include "standin/grouplog.h"
#include "standin/writerlock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kelptally::standin {

class Node;

// The network between the servers of one group.
class PeerNetwork
{
public:
    virtual ~PeerNetwork() = default;

    // Runs the message on the receiver's thread, unless the message is lost.
    virtual void send(const ServerName &to, std::function<void(Node &)> message) = 0;
};

// Request of a replica for the primary's records that follow its own log.
struct FetchMessage
{
    ServerName replica;
    Term term = 0;
    Position end;
    std::vector<TermRange> termRanges;
};

// Records of the primary that follow a position common to both logs.
struct AppendMessage
{
    Term term = 0;
    Position common;
    std::vector<RecordPtr> records;
    std::vector<TermStart> history;
    // The end of the replica's log as in the fetch that this message answers; unset in pushed
    // messages. The replica truncates its log only if its end is still the same.
    std::optional<Position> fetchedEnd;
};

// Replicated state of one server of a database group: its databases, log, term and role. Reads use
// the committed database. At most one writing transaction at a time uses the writer database; on
// commit its statements are repeated on the committed database, as on each replica.
class Node
{
public:
    Node(ServerName name, std::string schema, TimerService &timers, PeerNetwork &network);

    // Initialises a new server as the primary or a replica of the first term.
    void install(const ServerName &initialPrimary);
    // Erases all state, as after a loss of the storage.
    void eraseState();
    // Drops the state that a process restart loses: open transactions and known replicas.
    void restart();

    SqliteDatabase &committedDatabase() { return *committedDatabase_; }
    SqliteDatabase &writerDatabase() { return *writerDatabase_; }

    // Control functions. Each returns false and sets `error` if refused.
    bool prepare(Term term, SqlError &error);
    bool promote(Term term, SqlError &error);
    bool follow(const ServerName &primary, Term term, SqlError &error);
    OwnerEpoch fence(SqliteDatabase &database) const;
    LogOffset endOffset() const { return log_.end().offset; }
    LogOffset applied() const { return applied_; }
    Term term() const { return term_; }
    bool acceptsWrites() const { return primary_ && preparedTerm_ <= term_; }

    // Writer transaction. Call beginWriterTransaction() after the writer lock was acquired.
    WriterLock &writerLock() { return writerLock_; }
    void beginWriterTransaction();
    void rollBackWriterTransaction();
    // Commits the writer transaction, appends its statements to the log and replicates them.
    bool commitWriterTransaction(std::vector<LoggedStatement> statements, SqlError &error);

    void setReplicationLag(Duration replicationLag) { replicationLag_ = replicationLag; }
    Duration replicationLag() const { return replicationLag_; }

    // Messages from peers.
    void onFetch(const FetchMessage &message);
    void onAppend(const AppendMessage &message);
    // Fetches from the primary on a replica. Call it every fetchPeriod.
    void onTick();

    // Returns a column of kelptally_status, or the term history as JSON for "history".
    std::string stateValue(std::string_view name) const;
    const ServerName &name() const { return name_; }

    static constexpr Duration fetchPeriod = std::chrono::milliseconds(20);

private:
    struct ReplicationSource
    {
        ServerName primary;
        Term term = 0;
        // Whether the local log is a prefix of the primary's.
        bool logsMatch = false;
    };

    void resetDatabases();
    void stopWriter();
    void fetch();
    void receive(const RecordPtr &record);
    void applyUpTo(LogOffset offset);
    void applyRecord(const Record &record);
    void truncate(LogOffset offset);
    void pushToReplicas(const RecordPtr &record, Position before);
    std::string historyJson() const;

    const ServerName name_;
    const std::string schema_;
    TimerService &timers_;
    PeerNetwork &network_;
    std::unique_ptr<SqliteDatabase> committedDatabase_;
    std::unique_ptr<SqliteDatabase> writerDatabase_;
    WriterLock writerLock_;
    bool writerTransactionOpen_ = false;

    GroupLog log_;
    LogOffset applied_ = 0;
    std::vector<TermStart> history_;
    Term term_ = 0;
    Term preparedTerm_ = 0;
    bool primary_ = false;
    std::optional<ReplicationSource> replicationSource_;
    // On a primary: time of the last fetch of each replica.
    std::map<ServerName, Instant> replicas_;

    Duration replicationLag_ {0};
    DelayQueue applyQueue_;
};

} // namespace kelptally::standin
