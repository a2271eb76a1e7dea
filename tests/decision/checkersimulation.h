#pragma once

#include "core/manualtimerservice.h"
#include "modelprocess.h"
#include "schedule.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace kelptally::decision {

// Result of running a schedule.
struct CheckerResult
{
    // First violated invariant; empty if there is none.
    std::string violation;
    std::size_t acknowledged = 0;
    std::size_t notRun = 0;
    std::size_t claims = 0;
    std::size_t promotions = 0;
    // Time from the end of all faults to the first acknowledgement of a write begun after it.
    Duration resumedAfter {0};
};

// Runs the schedule in a new simulation.
CheckerResult runSchedule(const Schedule &schedule, const CheckerOptions &options = {});

// Deterministic simulation of owner processes, database servers, the table service and a client on
// a manual clock. Injects the faults of a schedule and checks the safety invariants as it runs.
class CheckerSimulation : public ProcessEnvironment
{
public:
    CheckerSimulation(const Schedule &schedule, const CheckerOptions &options);
    CheckerResult run();

    Instant localNow(const ProcessId &process) const override;
    void readRow(const ProcessId &process) override;
    void writeRow(const ProcessId &process, const WriteRow &write) override;
    void sendLeaseRequest(const ProcessId &from, const SendLeaseRequest &request) override;
    void sendHandOver(const ProcessId &from, const SendHandOver &handOver) override;
    void callServer(const ProcessId &process, const ServerName &server, ServerWork work,
                    ServerFailed failed) override;
    void traceEvent(const ProcessId &process, const std::string &event) override;
    void onPrimaryReady(const ProcessId &process, const PrimaryReady &ready) override;
    void onAcknowledged(const ProcessId &process, Term term) override;

private:
    static constexpr int serverCount = 3;
    static constexpr int maxProcesses = 4;
    // Nodes of the network: processes, then servers, then the store.
    static constexpr int firstServer = maxProcesses;
    static constexpr int store = firstServer + serverCount;
    static constexpr int nodeCount = store + 1;

    // An address at which one process at a time runs, with the clock of its host.
    struct ProcessSlot
    {
        std::string address;
        std::unique_ptr<ModelProcess> process;
        Incarnation incarnation = 0;
        Instant pausedUntil;
        std::deque<std::function<void()>> deferredCalls;
        Duration clockOffset {0};
        double clockRate = 1;
    };

    // A server and whether it currently answers.
    struct ServerSlot
    {
        ModelServer model;
        bool running = true;
        Instant pausedUntil;
        std::deque<std::function<void()>> deferredCalls;
    };

    // A write of one key, repeated by the client until its outcome is known.
    struct Operation
    {
        std::uint64_t key = 0;
        Instant startedAt;
        bool open = true;
        int attempts = 0;
        // Number of the latest request. Answers to earlier ones are ignored.
        std::uint64_t requestNumber = 0;
    };

    using Call = std::function<void()>;
    using ProcessCall = std::function<void(ModelProcess &)>;

    Instant now() const { return timers_.now(); }
    void after(Duration delay, Call call) { timers_.subscribeAfter(delay, std::move(call)); }
    std::uint64_t randomBelow(std::uint64_t bound) { return random_() % bound; }
    Duration networkDelay();
    bool isCut(int a, int b) const;
    void cut(int a, int b, Duration length);
    void isolate(int node, Duration length);
    int slotIndex(const std::string &address) const;
    bool isAlive(const ProcessId &process) const;

    // Runs a call at the process, at the end of its pause if it is paused. Drops the call if this
    // incarnation has ended.
    void runAtProcess(const ProcessId &process, ProcessCall call);
    void sendToProcess(int from, const std::string &address, ProcessCall call);
    void runAtServer(int server, std::function<void(ModelServer &)> call);
    void resume(int slot);

    void startProcess(int slot);
    void crash(int slot, Duration length);
    void pause(int slot, Duration length);
    void tick(int slot, Incarnation incarnation, bool failover);
    void sendHellos(int slot, Incarnation incarnation);
    void replicate(int server);
    void replicatePeriodically(int server);

    void injectFault(const Fault &fault);
    int ownerSlot() const;
    int primaryServer() const;
    void heal();

    void applyWrite(const ProcessId &process, const WriteRow &write, bool answered);
    void answerWrite(const ProcessId &process, const std::string &changeId, WriteOutcome outcome,
                     const std::string &etag);

    void beginOperation();
    void sendRequest(std::size_t index, bool lookUp);
    void onAnswer(std::size_t index, std::uint64_t requestNumber, const ClientRequest &request,
                  ClientAnswer answer);
    void scheduleRetry(std::size_t index, bool lookUp);

    void reportViolation(const std::string &description);
    void checkLeases();
    void checkHistory(const ModelServer &server, const std::string &when);
    void checkFinalState();

    const Schedule &schedule_;
    CheckerOptions options_;
    ManualTimerService timers_;
    std::mt19937_64 random_;
    Instant startedAt_;
    std::vector<settings::Host> hosts_;
    std::vector<ProcessSlot> slots_;
    std::vector<ServerSlot> servers_;
    std::array<std::array<Instant, nodeCount>, nodeCount> cutUntil_ {};
    std::array<std::array<Instant, nodeCount>, nodeCount> slowUntil_ {};
    Incarnation lastIncarnation_ = 0;

    std::optional<TaggedRow> row_;
    std::uint64_t lastEtag_ = 0;
    Instant storeDownUntil_;
    Instant storeSlowUntil_;
    Instant storeLosesAnswersUntil_;

    std::vector<Operation> operations_;
    std::uint64_t lastAttempt_ = 0;
    int targetProcess_ = 0;
    std::map<std::uint64_t, Position> acknowledged_;
    std::set<std::uint64_t> notRun_;
    std::set<std::uint64_t> refusedAttempts_;
    Term readyTerm_ = 0;
    Instant healedAt_;
    bool healed_ = false;
    std::optional<Instant> resumedAt_;
    CheckerResult result_;
};

} // namespace kelptally::decision
