#pragma once

#include "decision/confirmation.h"
#include "decision/failover.h"
#include "decision/membership.h"
#include "decision/ownership.h"
#include "modelserver.h"

#include <functional>
#include <iosfwd>
#include <map>
#include <memory>

namespace kelptally::decision {

// Safety checks that are enabled in a run. Tests disable one to verify that the checker finds the
// violation.
struct CheckerOptions
{
    OwnershipChecks ownership;
    FailoverChecks failover;
    bool requireMajority = true;
    // Receives the events of the run if not null.
    std::ostream *trace = nullptr;
};

enum class Outcome {
    // The key was executed, and its record is in the log permanently.
    Done,
    // The key was not executed and never will be.
    NotRun,
    // This attempt was not executed and never will be.
    Refused,
    Unknown,
};

struct ClientRequest
{
    std::uint64_t key = 0;
    std::uint64_t attempt = 0;
    // Queries whether the key was executed. If not, writes a void record that prevents it from
    // being executed later.
    bool lookUp = false;
};

struct ClientAnswer
{
    Outcome outcome = Outcome::Unknown;
    Position position;
};

using AnswerCallback = std::function<void(ClientAnswer)>;

// Network, clock and storage of a model process. Answers are delivered only to the incarnation that
// sent the request, and not while it is paused.
class ProcessEnvironment
{
public:
    virtual ~ProcessEnvironment() = default;

    // Returns the time of the process's own clock.
    virtual Instant localNow(const ProcessId &process) const = 0;
    virtual void readRow(const ProcessId &process) = 0;
    virtual void writeRow(const ProcessId &process, const WriteRow &write) = 0;
    virtual void sendLeaseRequest(const ProcessId &from, const SendLeaseRequest &request) = 0;
    virtual void sendHandOver(const ProcessId &from, const SendHandOver &handOver) = 0;

    // Runs at the server. Returns the continuation that handles the answer at the process.
    using ServerWork = std::function<std::function<void()>(ModelServer &)>;
    using ServerFailed = std::function<void(bool refused)>;
    virtual void callServer(const ProcessId &process, const ServerName &server, ServerWork work,
                            ServerFailed failed) = 0;

    virtual void traceEvent(const ProcessId &process, const std::string &event) = 0;
    virtual void onPrimaryReady(const ProcessId &process, const PrimaryReady &ready) = 0;
    virtual void onAcknowledged(const ProcessId &process, Term term) = 0;
};

// An owner process: the production state machines and a minimal executor of writes.
class ModelProcess
{
public:
    ModelProcess(ProcessEnvironment &environment, ProcessId self, std::vector<settings::Host> hosts,
                 std::uint64_t seed, const CheckerOptions &options);

    const ProcessId &self() const { return self_; }
    Ownership &ownership() { return ownership_; }
    void performAll(const OwnershipActions &actions);

    // Called at the tick periods of Ownership and Failover.
    void onOwnershipTick();
    void onFailoverTick();
    void onHello(const ProcessId &peer);
    void onProcessGone(const ProcessId &process);
    void onRequest(const ClientRequest &request, AnswerCallback answer);
    void handOver();
    void setLeaving(const std::vector<ServerName> &leaving);
    void promote(const ServerName &server);

    bool holdsLease() const;
    bool hasPrimary() const { return failover_ && failover_->primary(); }

private:
    struct Pending
    {
        ClientRequest request;
        AnswerCallback answer;
        Position position;
        Outcome outcome = Outcome::Unknown;
    };

    void performAll(const FailoverActions &actions);
    void perform(const ReadRow &action);
    void perform(const WriteRow &action);
    void perform(const SendLeaseRequest &action);
    void perform(const SendHandOver &action);
    void perform(const StartServing &action);
    void perform(const StopServing &action);
    void perform(const SendProbe &action);
    void perform(const SendPrepare &action);
    void perform(const SendPromote &action);
    void perform(const SendFollow &action);
    void perform(const SendRaiseFence &action);
    void perform(const SendReadHistory &action);
    void perform(const PrimaryGone &action);
    void perform(const PrimaryReady &action);

    void command(const ServerName &server, std::function<bool(ModelServer &)> work,
                 std::function<void(const ModelServer &)> done);
    void write(std::uint64_t id);
    void onWriteAnswer(std::uint64_t id, const WriteAnswer &answer);
    void probeReplicas();
    void acknowledge(std::uint64_t id);
    void finish(std::uint64_t id, Outcome outcome);
    void abandonAll();
    Instant now() const { return environment_.localNow(self_); }

    ProcessEnvironment &environment_;
    ProcessId self_;
    CheckerOptions options_;
    Ownership ownership_;
    Membership membership_;
    std::map<std::string, Instant> lastHello_;
    std::vector<ServerName> servers_;
    std::vector<ServerName> leaving_;
    std::optional<Failover> failover_;
    // Incremented with each start and stop of failover_, so that answers to an earlier run are
    // dropped.
    std::uint64_t failoverRun_ = 0;
    Confirmation confirmation_;
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t lastId_ = 0;
};

} // namespace kelptally::decision
