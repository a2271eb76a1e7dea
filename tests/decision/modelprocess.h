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

// Which checks the run has in force; one is switched off to show that the checker notices.
struct CheckerOptions
{
    OwnershipChecks ownership;
    FailoverChecks failover;
    bool requireMajority = true;
    // Where to tell what happens, for a replay; nothing: nowhere.
    std::ostream *trace = nullptr;
};

enum class Outcome {
    // In the log for ever.
    Done,
    // The key has not run and never will.
    NotRun,
    // This attempt has not run and never will.
    Refused,
    Unknown,
};

struct ClientRequest
{
    std::uint64_t key = 0;
    std::uint64_t attempt = 0;
    // Asks whether the key has run; if not, a void record keeps it from running.
    bool lookUp = false;
};

struct ClientAnswer
{
    Outcome outcome = Outcome::Unknown;
    Position position;
};

using AnswerCallback = std::function<void(ClientAnswer)>;

// What a model process needs of the world around it. Answers come back to this run of the process
// only, and not while it is paused.
class ProcessEnvironment
{
public:
    virtual ~ProcessEnvironment() = default;

    // Time as this process's own clock shows it.
    virtual Instant localNow(const ProcessId &process) const = 0;
    virtual void readRow(const ProcessId &process) = 0;
    virtual void writeRow(const ProcessId &process, const WriteRow &write) = 0;
    virtual void sendLeaseRequest(const ProcessId &from, const SendLeaseRequest &request) = 0;
    virtual void sendHandOver(const ProcessId &from, const SendHandOver &handOver) = 0;

    // Work at a server returns what is to be done with its answer at the process.
    using ServerWork = std::function<std::function<void()>(ModelServer &)>;
    using ServerFailed = std::function<void(bool refused)>;
    virtual void callServer(const ProcessId &process, const ServerName &server, ServerWork work,
                            ServerFailed failed) = 0;

    virtual void traceEvent(const ProcessId &process, const std::string &event) = 0;
    virtual void onPrimaryReady(const ProcessId &process, const PrimaryReady &ready) = 0;
    virtual void onAcknowledged(const ProcessId &process, Term term) = 0;
};

// An owner process: the decisions, and a small writer in place of the owner program.
class ModelProcess
{
public:
    ModelProcess(ProcessEnvironment &environment, ProcessId self, std::vector<settings::Host> hosts,
                 std::uint64_t seed, const CheckerOptions &options);

    const ProcessId &self() const { return self_; }
    Ownership &ownership() { return ownership_; }
    void carryOut(const OwnershipActions &actions);

    // Ticks as in the program, each at its own period.
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

    void carryOut(const FailoverActions &actions);
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
    // Counts runs of failover_, so that answers to an earlier one are dropped.
    std::uint64_t failoverRun_ = 0;
    Confirmation confirmation_;
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t lastId_ = 0;
};

} // namespace kelptally::decision
