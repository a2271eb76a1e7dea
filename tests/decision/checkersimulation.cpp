#include "checkersimulation.h"

#include <algorithm>
#include <ostream>
#include <utility>

namespace kelptally::decision {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Maximum time from the end of all faults to the acknowledgement of a later write. Covers a lease
// period, claims and delayed store writes of the last fault, and the client's timeout.
constexpr Duration resumeLimit = milliseconds(6000);
constexpr Duration callTimeout = milliseconds(500);
constexpr Duration storeTimeout = milliseconds(800);
constexpr Duration helloPeriod = milliseconds(200);
constexpr Duration replicationPeriod = milliseconds(100);
// Delay until the platform's list shows that a host is gone. Shorter than in production, to fit
// into a run.
constexpr Duration hostListLag = milliseconds(2500);

} // namespace

CheckerResult runSchedule(const Schedule &schedule, const CheckerOptions &options)
{
    CheckerSimulation simulation(schedule, options);
    return simulation.run();
}

CheckerSimulation::CheckerSimulation(const Schedule &schedule, const CheckerOptions &options)
    : schedule_(schedule), options_(options), random_(schedule.seed), startedAt_(timers_.now())
{
    slots_.resize(static_cast<std::size_t>(schedule.processes));
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        ProcessSlot &slot = slots_[i];
        slot.address = "p" + std::to_string(i);
        slot.clockOffset = milliseconds(randomBelow(1000000));
        slot.clockRate = 1 + (static_cast<double>(randomBelow(2001)) - 1000) / 100000;
        settings::Host host;
        host.name = "host" + std::to_string(i);
        host.zone = "zone" + std::to_string(i % 3);
        host.ownerAddress = slot.address;
        hosts_.push_back(host);
    }
    for (int i = 0; i < serverCount; ++i)
        servers_.push_back({ModelServer("s" + std::to_string(i), i == 0), true, Instant {}, {}});
}

CheckerResult CheckerSimulation::run()
{
    for (std::size_t i = 0; i < slots_.size(); ++i)
        startProcess(static_cast<int>(i));
    for (int i = 0; i < serverCount; ++i) {
        if (i != 0)
            servers_[static_cast<std::size_t>(i)].model.follow("s0", 1);
        replicatePeriodically(i);
    }
    for (const Fault &fault : schedule_.faults)
        after(fault.at + milliseconds(1000), [this, fault] { injectFault(fault); });
    after(faultPeriod + milliseconds(1000), [this] { heal(); });
    after(milliseconds(500), [this] { beginOperation(); });

    const Instant end = startedAt_ + faultPeriod + milliseconds(1000) + resumeLimit;
    while (result_.violation.empty() && now() < end && !resumedAt_) {
        timers_.advanceToNext();
        checkLeases();
    }
    if (result_.violation.empty())
        checkFinalState();
    result_.acknowledged = acknowledged_.size();
    result_.notRun = notRun_.size();
    if (resumedAt_)
        result_.resumedAfter = *resumedAt_ - healedAt_;
    return result_;
}

void CheckerSimulation::traceEvent(const ProcessId &process, const std::string &event)
{
    if (!options_.trace)
        return;
    const auto at = std::chrono::duration_cast<milliseconds>(now() - startedAt_);
    *options_.trace << at.count() << " ms " << process.address << '#' << process.incarnation << ' '
                    << event << '\n';
}

// ---- Network and time ----

Instant CheckerSimulation::localNow(const ProcessId &process) const
{
    const ProcessSlot &slot = slots_[static_cast<std::size_t>(slotIndex(process.address))];
    const double elapsed = static_cast<double>((now() - startedAt_).count());
    return startedAt_ + slot.clockOffset
        + Duration(static_cast<Duration::rep>(elapsed * slot.clockRate));
}

int CheckerSimulation::slotIndex(const std::string &address) const
{
    return address[1] - '0';
}

bool CheckerSimulation::isAlive(const ProcessId &process) const
{
    const ProcessSlot &slot = slots_[static_cast<std::size_t>(slotIndex(process.address))];
    return slot.process && slot.incarnation == process.incarnation;
}

Duration CheckerSimulation::networkDelay()
{
    const Duration usual = microseconds(300 + randomBelow(1500));
    return randomBelow(50) == 0 ? usual + milliseconds(randomBelow(60)) : usual;
}

bool CheckerSimulation::isCut(int a, int b) const
{
    return now() < cutUntil_[static_cast<std::size_t>(a)][static_cast<std::size_t>(b)];
}

void CheckerSimulation::cut(int a, int b, Duration length)
{
    for (const auto &[from, to] : {std::pair(a, b), std::pair(b, a)}) {
        Instant &until = cutUntil_[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)];
        until = std::max(until, now() + length);
    }
}

void CheckerSimulation::isolate(int node, Duration length)
{
    for (int other = 0; other < nodeCount; ++other)
        cut(node, other, length);
}

void CheckerSimulation::runAtProcess(const ProcessId &id, ProcessCall call)
{
    if (!isAlive(id))
        return;
    ProcessSlot &slot = slots_[static_cast<std::size_t>(slotIndex(id.address))];
    if (now() < slot.pausedUntil) {
        slot.deferredCalls.push_back([this, id, call] { runAtProcess(id, call); });
        return;
    }
    call(*slot.process);
}

void CheckerSimulation::sendToProcess(int from, const std::string &address, ProcessCall call)
{
    const int to = slotIndex(address);
    if (isCut(from, to))
        return;
    after(networkDelay(), [this, to, call] {
        const ProcessSlot &slot = slots_[static_cast<std::size_t>(to)];
        if (slot.process)
            runAtProcess(slot.process->self(), call);
    });
}

void CheckerSimulation::runAtServer(int server, std::function<void(ModelServer &)> call)
{
    ServerSlot &slot = servers_[static_cast<std::size_t>(server)];
    if (now() < slot.pausedUntil) {
        slot.deferredCalls.push_back([this, server, call] { runAtServer(server, call); });
        return;
    }
    call(slot.model);
}

void CheckerSimulation::callServer(const ProcessId &process, const ServerName &name,
                                   ServerWork work, ServerFailed failed)
{
    const int from = slotIndex(process.address);
    const int server = name[1] - '0';
    const int to = firstServer + server;
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, process, answered](Call call) {
        runAtProcess(process, [answered, call](ModelProcess &) {
            if (!std::exchange(*answered, true))
                call();
        });
    };
    after(callTimeout, [answer, failed] { answer([failed] { failed(false); }); });
    if (isCut(from, to))
        return;
    Duration requestDelay = networkDelay();
    if (now() < slowUntil_[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)])
        requestDelay += milliseconds(randomBelow(3000));
    after(requestDelay, [=] {
        if (!servers_[static_cast<std::size_t>(server)].running) {
            after(networkDelay(), [=] { answer([failed] { failed(true); }); });
            return;
        }
        runAtServer(server, [=](ModelServer &model) {
            const Call onReply = work(model);
            replicate(server);
            if (!isCut(from, to))
                after(networkDelay(), [=] { answer(onReply); });
        });
    });
}

// ---- Processes ----

void CheckerSimulation::startProcess(int index)
{
    ProcessSlot &slot = slots_[static_cast<std::size_t>(index)];
    slot.incarnation = ++lastIncarnation_;
    slot.deferredCalls.clear();
    slot.pausedUntil = Instant {};
    const ProcessId self {slot.address, slot.incarnation};
    slot.process = std::make_unique<ModelProcess>(*this, self, hosts_, random_(), options_);
    sendHellos(index, slot.incarnation);
    tick(index, slot.incarnation, false);
    tick(index, slot.incarnation, true);
}

void CheckerSimulation::tick(int index, Incarnation incarnation, bool failover)
{
    ProcessSlot &slot = slots_[static_cast<std::size_t>(index)];
    if (!slot.process || slot.incarnation != incarnation)
        return;
    if (now() >= slot.pausedUntil) {
        if (failover)
            slot.process->onFailoverTick();
        else
            slot.process->onOwnershipTick();
    }
    after(failover ? Failover::tickPeriod : Ownership::tickPeriod,
          [=] { tick(index, incarnation, failover); });
}

void CheckerSimulation::sendHellos(int index, Incarnation incarnation)
{
    ProcessSlot &slot = slots_[static_cast<std::size_t>(index)];
    if (!slot.process || slot.incarnation != incarnation)
        return;
    const ProcessId self = slot.process->self();
    for (const ProcessSlot &other : slots_) {
        if (now() < slot.pausedUntil || other.address == slot.address)
            continue;
        sendToProcess(index, other.address, [self](ModelProcess &p) { p.onHello(self); });
    }
    after(helloPeriod, [=] { sendHellos(index, incarnation); });
}

void CheckerSimulation::crash(int index, Duration length)
{
    ProcessSlot &slot = slots_[static_cast<std::size_t>(index)];
    if (!slot.process)
        return;
    const ProcessId dead = slot.process->self();
    slot.process.reset();
    after(length, [=] {
        if (!slots_[static_cast<std::size_t>(index)].process)
            startProcess(index);
    });
    after(hostListLag, [=] {
        for (const ProcessSlot &other : slots_) {
            if (other.process && other.address != dead.address)
                runAtProcess(other.process->self(),
                             [dead](ModelProcess &p) { p.onProcessGone(dead); });
        }
    });
}

void CheckerSimulation::pause(int index, Duration length)
{
    ProcessSlot &slot = slots_[static_cast<std::size_t>(index)];
    if (!slot.process)
        return;
    slot.pausedUntil = std::max(slot.pausedUntil, now() + length);
    after(slot.pausedUntil - now(), [this, index] { resume(index); });
}

void CheckerSimulation::resume(int index)
{
    ProcessSlot &slot = slots_[static_cast<std::size_t>(index)];
    if (now() < slot.pausedUntil)
        return;
    const auto waiting = std::exchange(slot.deferredCalls, {});
    for (const Call &call : waiting)
        call();
}

void CheckerSimulation::sendLeaseRequest(const ProcessId &from, const SendLeaseRequest &send)
{
    const int index = slotIndex(from.address);
    const LeaseRequest request = send.request;
    sendToProcess(index, send.to.address, [this, index, from, request](ModelProcess &to) {
        OwnershipActions actions;
        const auto answer = to.ownership().onLeaseRequest(localNow(to.self()), request, actions);
        to.performAll(actions);
        if (!answer)
            return;
        sendToProcess(
            slotIndex(to.self().address), from.address, [this, answer](ModelProcess &owner) {
                owner.performAll(owner.ownership().onLeaseAnswer(localNow(owner.self()), *answer));
            });
    });
}

void CheckerSimulation::sendHandOver(const ProcessId &from, const SendHandOver &handOver)
{
    const OwnerEpoch epoch = handOver.epoch;
    sendToProcess(slotIndex(from.address), handOver.to.address, [this, epoch](ModelProcess &to) {
        to.performAll(to.ownership().onHandOver(localNow(to.self()), epoch));
    });
}

// ---- Servers ----

// Sends the log of a primary to the other servers.
void CheckerSimulation::replicate(int server)
{
    const ServerSlot &slot = servers_[static_cast<std::size_t>(server)];
    if (!slot.running || now() < slot.pausedUntil || !slot.model.takesWrites())
        return;
    const auto message = std::make_shared<Replication>(slot.model.replication());
    for (int other = 0; other < serverCount; ++other) {
        if (other == server || isCut(firstServer + server, firstServer + other))
            continue;
        after(networkDelay(), [this, other, message] {
            if (servers_[static_cast<std::size_t>(other)].running)
                runAtServer(other, [message](ModelServer &m) { m.onReplication(*message); });
        });
    }
}

void CheckerSimulation::replicatePeriodically(int server)
{
    replicate(server);
    after(replicationPeriod, [this, server] { replicatePeriodically(server); });
}

// ---- Table service ----

void CheckerSimulation::readRow(const ProcessId &process)
{
    const int from = slotIndex(process.address);
    const bool fails = isCut(from, store) || now() < storeDownUntil_;
    const Duration requestDelay = networkDelay();
    Duration replyDelay = networkDelay();
    if (now() < storeSlowUntil_)
        replyDelay += milliseconds(randomBelow(1000));
    const bool late = requestDelay + replyDelay >= storeTimeout;
    after(fails || late ? storeTimeout : requestDelay, [=] {
        const std::optional<TaggedRow> row = row_;
        const bool lost = fails || late;
        after(lost ? Duration {0} : replyDelay, [=] {
            runAtProcess(process, [=](ModelProcess &p) {
                const Instant local = localNow(process);
                p.performAll(lost ? p.ownership().onRowReadFailed(local)
                                  : p.ownership().onRow(local, row));
            });
        });
    });
}

void CheckerSimulation::writeRow(const ProcessId &process, const WriteRow &write)
{
    const int from = slotIndex(process.address);
    if (isCut(from, store) || now() < storeDownUntil_) {
        // The write is refused at once, lost, or delayed and applied later.
        const std::uint64_t lossCase = randomBelow(3);
        const WriteOutcome outcome = lossCase == 0 ? WriteOutcome::NotSent : WriteOutcome::Unknown;
        if (lossCase == 2)
            after(milliseconds(randomBelow(4000)), [=] { applyWrite(process, write, false); });
        after(lossCase == 0 ? Duration {0} : storeTimeout,
              [=] { answerWrite(process, write.row.changeId, outcome, ""); });
        return;
    }
    Duration requestDelay = networkDelay();
    if (now() < storeSlowUntil_)
        requestDelay += milliseconds(randomBelow(2000));
    const bool answered = now() >= storeLosesAnswersUntil_ && requestDelay < storeTimeout;
    after(requestDelay, [=] { applyWrite(process, write, answered); });
    if (!answered)
        after(storeTimeout,
              [=] { answerWrite(process, write.row.changeId, WriteOutcome::Unknown, ""); });
}

void CheckerSimulation::applyWrite(const ProcessId &process, const WriteRow &write, bool answered)
{
    const bool conditionHolds =
        write.expectedEtag ? row_ && row_->etag == *write.expectedEtag : !row_;
    std::string etag;
    std::string successors;
    for (const ProcessId &successor : write.row.successors)
        successors += ' ' + successor.address + '#' + std::to_string(successor.incarnation);
    traceEvent(process,
               std::string(conditionHolds ? "row" : "refused row") + " epoch "
                   + std::to_string(write.row.epoch) + " owner " + write.row.owner.address
                   + " successors" + successors);
    if (conditionHolds) {
        etag = "etag" + std::to_string(++lastEtag_);
        if (!row_ || row_->row.epoch != write.row.epoch)
            ++result_.claims;
        row_ = TaggedRow {write.row, etag};
    }
    if (!answered)
        return;
    const WriteOutcome outcome = conditionHolds ? WriteOutcome::Done : WriteOutcome::Conflict;
    after(networkDelay(), [=] { answerWrite(process, write.row.changeId, outcome, etag); });
}

void CheckerSimulation::answerWrite(const ProcessId &process, const std::string &changeId,
                                    WriteOutcome outcome, const std::string &etag)
{
    runAtProcess(process, [=](ModelProcess &p) {
        p.performAll(p.ownership().onWriteOutcome(localNow(process), changeId, outcome, etag));
    });
}

} // namespace kelptally::decision
