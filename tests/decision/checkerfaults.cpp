#include "checkersimulation.h"

#include <utility>

// Fault injection of the checker's simulation.
namespace kelptally::decision {

int CheckerSimulation::ownerSlot() const
{
    return row_ ? slotIndex(row_->row.owner.address) : 0;
}

int CheckerSimulation::primaryServer() const
{
    int best = 0;
    for (int i = 0; i < serverCount; ++i) {
        const ModelServer &model = servers_[static_cast<std::size_t>(i)].model;
        const ModelServer &leader = servers_[static_cast<std::size_t>(best)].model;
        if (model.takesWrites() && (!leader.takesWrites() || leader.end() < model.end()))
            best = i;
    }
    return best;
}

void CheckerSimulation::injectFault(const Fault &fault)
{
    const int processes = schedule_.processes;
    const int process =
        fault.target == Fault::ownerOrPrimary ? ownerSlot() : fault.target % processes;
    const int otherProcess = fault.otherTarget == Fault::ownerOrPrimary
        ? (process + 1) % processes
        : fault.otherTarget % processes;
    const int primary = primaryServer();
    const int server = fault.target == Fault::ownerOrPrimary ? primary : fault.target % serverCount;
    const int otherServer =
        fault.otherTarget == Fault::ownerOrPrimary ? primary : fault.otherTarget % serverCount;
    const Duration length = fault.length;
    const Instant until = now() + length;
    ServerSlot &slot = servers_[static_cast<std::size_t>(server)];
    switch (fault.kind) {
    case FaultKind::CrashProcess:
        return crash(process, length);
    case FaultKind::PauseProcess:
        return pause(process, length);
    case FaultKind::IsolateProcess:
        return isolate(process, length);
    case FaultKind::CutProcesses:
        return cut(process, otherProcess, length);
    case FaultKind::CutServer:
        return cut(process, firstServer + otherServer, length);
    case FaultKind::SlowServerLink:
        slowUntil_[static_cast<std::size_t>(process)]
                  [static_cast<std::size_t>(firstServer + otherServer)] = until;
        return;
    case FaultKind::CutStore:
        return cut(process, store, length);
    case FaultKind::StoreDown:
        storeDownUntil_ = until;
        return;
    case FaultKind::StoreSlow:
        storeSlowUntil_ = until;
        return;
    case FaultKind::StoreLosesAnswers:
        storeLosesAnswersUntil_ = until;
        return;
    case FaultKind::KillServer:
        slot.running = false;
        slot.deferredCalls.clear();
        after(length,
              [this, server] { servers_[static_cast<std::size_t>(server)].running = true; });
        return;
    case FaultKind::PauseServer:
        slot.pausedUntil = until;
        after(length, [this, server] {
            ServerSlot &paused = servers_[static_cast<std::size_t>(server)];
            for (const Call &call : std::exchange(paused.deferredCalls, {}))
                call();
        });
        return;
    case FaultKind::IsolateServer:
        return isolate(firstServer + server, length);
    case FaultKind::CutReplication:
        return cut(firstServer + server, firstServer + otherServer, length);
    case FaultKind::ServerLeaving:
    case FaultKind::HandOver:
    case FaultKind::PromoteServer:
        break;
    }
    for (ProcessSlot &processSlot : slots_) {
        if (!processSlot.process)
            continue;
        const ServerName name = "s" + std::to_string(server);
        runAtProcess(processSlot.process->self(), [=](ModelProcess &p) {
            if (fault.kind == FaultKind::ServerLeaving)
                p.setLeaving({name});
            else if (fault.kind == FaultKind::HandOver)
                p.handOver();
            else
                p.promote(name);
        });
    }
}

void CheckerSimulation::heal()
{
    healed_ = true;
    healedAt_ = now();
    cutUntil_ = {};
    slowUntil_ = {};
    storeDownUntil_ = storeSlowUntil_ = storeLosesAnswersUntil_ = Instant {};
    for (ServerSlot &server : servers_)
        server.running = true;
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        if (!slots_[i].process)
            startProcess(static_cast<int>(i));
    }
}

} // namespace kelptally::decision
