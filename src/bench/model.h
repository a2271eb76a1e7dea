#pragma once

#include "bench/checker.h"
#include "bench/grouplogs.h"
#include "bench/trace.h"
#include "core/manualtimerservice.h"
#include "decision/failover.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

// Discrete-event model of the environment of the decision code: network delays and partitions, and
// servers with slots, service times and replication. Runs in virtual time.
namespace kelptally::bench {

// Result of a call to a model server.
enum class ReplyKind {
    Done,
    // The server rejected the call: it is not the primary, is fenced, or has prepared a higher
    // term.
    Failed,
    // The connection was refused; nothing was executed.
    Refused,
    // The connection was lost during the call.
    Lost,
};

struct Reply
{
    ReplyKind kind = ReplyKind::Lost;
    decision::ServerReport report;
    // Position that a read saw, or position of a write in the log.
    Position position;
};
using ReplyCallback = std::function<void(const Reply &)>;

// A statement that a proxy sends to a server.
struct ModelStatement
{
    const TraceRequest *request = nullptr;
    OwnerEpoch epoch = 0;
    // The server checks whether the request's idempotency key is recorded, and records it with the
    // write.
    bool keyed = false;
};

class Model;

// One server of a group. A call from a zone gets no reply if a partition drops a message.
class ModelServer
{
public:
    ModelServer(Model &model, const TraceServer &details);

    void run(const ZoneName &from, const ModelStatement &statement, ReplyCallback callback);
    void status(const ZoneName &from, ReplyCallback callback);
    void prepare(const ZoneName &from, Term term, ReplyCallback callback);
    void promote(const ZoneName &from, Term term, ReplyCallback callback);
    void follow(const ZoneName &from, ModelServer &primary, Term term, ReplyCallback callback);
    void raiseFence(const ZoneName &from, OwnerEpoch epoch, ReplyCallback callback);

    void kill();
    void start();
    void setHung(bool hung);
    void setSlowness(int factor) { slowness_ = factor; }
    void setLag(Duration lag) { lag_ = lag; }
    // Replicates the primary's current log to this server.
    void replicate();
    void startAsPrimary(Term term);

    const TraceServer &details() const { return details_; }
    bool alive() const { return alive_; }
    bool hung() const { return hung_; }
    bool primary() const { return primary_; }
    Term term() const { return term_; }
    // Newest record received, and newest record visible to reads.
    Position position() const { return position_; }
    Position applied() const { return applied_; }
    int running() const { return running_; }

private:
    struct Call
    {
        ZoneName from;
        ModelStatement statement;
        ReplyCallback callback;
    };

    void call(const ZoneName &from, ReplyCallback callback, std::function<ReplyKind()> work);
    void answer(const ZoneName &to, const ReplyCallback &callback, ReplyKind kind);
    decision::ServerReport report() const;
    void startQueuedCalls();
    void finish(const std::shared_ptr<Call> &call);
    ReplyKind write(const ModelStatement &statement, Position &position);
    void replicateToFollowers();
    void receive(ModelServer *source, Position end, Term term);

    Model &model_;
    const TraceServer details_;
    bool alive_ = true;
    bool hung_ = false;
    int slowness_ = 1;
    Duration lag_ {0};
    Term term_ = 0;
    bool primary_ = false;
    ModelServer *source_ = nullptr;
    Position position_;
    Position applied_;
    OwnerEpoch fence_ = 0;
    // Incremented by each kill, so that work started before it is ignored.
    int incarnation_ = 0;
    int running_ = 0;
    std::deque<std::shared_ptr<Call>> queuedCalls_;
    std::set<std::shared_ptr<Call>> inFlight_;
    std::vector<std::function<void()>> deferredCalls_;
};

// The environment of the policy in one replay.
class Model
{
public:
    explicit Model(const Trace &trace);

    // One-way network delay, or nothing while a partition separates the zones.
    std::optional<Duration> networkDelay(const ZoneName &from, const ZoneName &to) const;
    // Calls the function after the network delay; drops it if a partition separates the zones.
    void send(const ZoneName &from, const ZoneName &to, std::function<void()> function);

    ModelServer &server(const ServerName &name);
    std::vector<ModelServer *> serversOf(const GroupName &group);
    ModelServer *primaryOf(const GroupName &group);
    GroupLogs &logs(const GroupName &group) { return logs_[group]; }

    void setPartitioned(const ZoneName &zone, bool partitioned);
    bool isPartitioned(const ZoneName &zone) const { return partitionedZones_.count(zone) > 0; }
    void setLeaving(const ServerName &name) { leaving_.emplace(name, timers.now()); }
    // Reports to the checker if the server is leaving.
    void onStatementStarted(const ServerName &name);
    bool isLeaving(const ServerName &name) const { return leaving_.count(name) > 0; }

    const Trace &trace;
    ManualTimerService timers;
    Checker checker;
    bool storeAvailable = true;
    // Operations of the table service, and the times at which a process began to own a group.
    int storeReads = 0;
    int storeWrites = 0;
    std::vector<Instant> ownerStarts;
    // See ReplayOptions.
    std::optional<int> primaryBrowseSlots;

private:
    std::map<ServerName, std::unique_ptr<ModelServer>> servers_;
    std::map<GroupName, GroupLogs> logs_;
    std::set<ZoneName> partitionedZones_;
    std::map<ServerName, Instant> leaving_;
};

} // namespace kelptally::bench
