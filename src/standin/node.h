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

    // Runs the message at the other server, on its thread, unless it is lost.
    virtual void send(const ServerName &to, std::function<void(Node &)> message) = 0;
};

// A replica asks its primary for the records after its own.
struct FetchMessage
{
    ServerName replica;
    Term term = 0;
    Position end;
    std::vector<TermRange> termRanges;
};

// The primary's records after a position that both logs hold.
struct AppendMessage
{
    Term term = 0;
    Position common;
    std::vector<RecordPtr> records;
    std::vector<TermStart> history;
    // Set in the answer to a fetch: the replica's end as it was asked with. Only then may the
    // replica drop what lies after the common position.
    std::optional<Position> fetchedEnd;
};

// The state of one server of a database group: its databases, log, term and role. Reads see the
// committed database. A transaction that writes works on a second database, one at a time; its
// statements run again on the committed database when it commits, as they do on each replica.
class Node
{
public:
    Node(ServerName name, std::string schema, TimerService &timers, PeerNetwork &network);

    // The state of a new installation: empty, as the primary or a replica of the first term.
    void install(const ServerName &initialPrimary);
    // Loses everything, as a server whose storage was lost.
    void eraseState();
    // Forgets what a restarted process would not know: open transactions, the replicas' requests.
    void restart();

    SqliteDatabase &committedDatabase() { return *committedDatabase_; }
    SqliteDatabase &writerDatabase() { return *writerDatabase_; }

    // Control functions. Each gives false and sets the error when refused.
    bool prepare(Term term, SqlError &error);
    bool promote(Term term, SqlError &error);
    bool follow(const ServerName &primary, Term term, SqlError &error);
    OwnerEpoch fence(SqliteDatabase &database) const;
    LogOffset endOffset() const { return log_.end().offset; }
    LogOffset applied() const { return applied_; }
    Term term() const { return term_; }
    bool acceptsWrites() const { return primary_ && preparedTerm_ <= term_; }

    // The writer's transaction. Begin when the lock was just acquired.
    WriterLock &writerLock() { return writerLock_; }
    void beginWriterTransaction();
    void rollBackWriterTransaction();
    // Commits the writer's transaction and logs its statements.
    bool commitWriterTransaction(std::vector<LoggedStatement> statements, SqlError &error);

    void setReplicationLag(Duration replicationLag) { replicationLag_ = replicationLag; }
    Duration replicationLag() const { return replicationLag_; }

    // Messages of the peers.
    void onFetch(const FetchMessage &message);
    void onAppend(const AppendMessage &message);
    // Asks the primary again; call it each fetchPeriod.
    void onTick();

    // Names as in the columns of kelptally_status, and "history" as JSON.
    std::string stateValue(std::string_view name) const;
    const ServerName &name() const { return name_; }

    static constexpr Duration fetchPeriod = std::chrono::milliseconds(20);

private:
    struct ReplicationSource
    {
        ServerName primary;
        Term term = 0;
        // Our log is a beginning of the primary's.
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
    // Replicas that asked us lately, at a primary.
    std::map<ServerName, Instant> replicas_;

    Duration replicationLag_ {0};
    DelayQueue applyQueue_;
};

} // namespace kelptally::standin
