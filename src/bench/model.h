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

// A discrete model of what stands around the decisions: the network's delays and cuts, and servers
// with slots, service times and replication. Time is manual.
namespace kelptally::bench {

// How a call to a server of the model ended.
enum class ReplyKind {
    Done,
    // The server refused: it is no primary, fenced, or has prepared a higher term.
    Failed,
    // No connection: nothing was run.
    Refused,
    // The connection was lost while the call ran.
    Lost,
};

struct Reply
{
    ReplyKind kind = ReplyKind::Lost;
    decision::ServerReport report;
    // What a read saw, or where a write is.
    Position position;
};
using ReplyCallback = std::function<void(const Reply &)>;

// A statement as a proxy sends it.
struct ModelStatement
{
    const TraceRequest *request = nullptr;
    OwnerEpoch epoch = 0;
    // The server looks the request's key up first and records it with the work.
    bool keyed = false;
};

class Model;

// One server of a group. Calls come from a zone; an answer that a cut swallows never comes.
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
    // Sends what the primary holds now to this server.
    void replicate();
    void startAsPrimary(Term term);

    const TraceServer &details() const { return details_; }
    bool alive() const { return alive_; }
    bool hung() const { return hung_; }
    bool primary() const { return primary_; }
    Term term() const { return term_; }
    // Newest record that it holds, and newest that its readers see.
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
    // Counts kills, so that what a dead run left behind is told apart.
    int run_ = 0;
    int running_ = 0;
    std::deque<std::shared_ptr<Call>> queuedCalls_;
    std::set<std::shared_ptr<Call>> inFlight_;
    std::vector<std::function<void()>> deferredCalls_;
};

// Everything around the policy in one replay.
class Model
{
public:
    explicit Model(const Trace &trace);

    // Delay of one way; nothing while the two are cut off from each other.
    std::optional<Duration> networkDelay(const ZoneName &from, const ZoneName &to) const;
    // Runs the function at the other end, unless the message is lost.
    void send(const ZoneName &from, const ZoneName &to, std::function<void()> function);

    ModelServer &server(const ServerName &name);
    std::vector<ModelServer *> serversOf(const GroupName &group);
    ModelServer *primaryOf(const GroupName &group);
    GroupLogs &logs(const GroupName &group) { return logs_[group]; }

    void setPartitioned(const ZoneName &zone, bool cut);
    bool isPartitioned(const ZoneName &zone) const { return partitionedZones_.count(zone) > 0; }
    void setLeaving(const ServerName &name) { leaving_.emplace(name, timers.now()); }
    // A statement begins at the server.
    void onStatementStarted(const ServerName &name);
    bool isLeaving(const ServerName &name) const { return leaving_.count(name) > 0; }

    const Trace &trace;
    ManualTimerService timers;
    Checker checker;
    bool storeAvailable = true;
    // What was asked of the table service, and when a process began to serve a group.
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
