#include "checkersimulation.h"

#include <utility>

// Client and invariant checks of the checker's simulation.
namespace kelptally::decision {

using std::chrono::milliseconds;

namespace {

constexpr Duration operationInterval = milliseconds(60);
constexpr Duration clientTimeout = milliseconds(900);
constexpr Duration clientLatency = milliseconds(1);
constexpr Duration clientRetryDelay = milliseconds(25);

} // namespace

void CheckerSimulation::beginOperation()
{
    operations_.push_back({operations_.size() + 1, now(), true, 0, 0});
    sendRequest(operations_.size() - 1, false);
    after(operationInterval, [this] { beginOperation(); });
}

void CheckerSimulation::sendRequest(std::size_t index, bool lookUp)
{
    Operation &operation = operations_[index];
    if (!operation.open)
        return;
    const std::uint64_t requestNumber = ++operation.requestNumber;
    const ClientRequest request {operation.key, ++lastAttempt_, lookUp};
    const auto reply = [=](ClientAnswer answer) {
        after(clientLatency, [=] { onAnswer(index, requestNumber, request, answer); });
    };
    const int target = targetProcess_;
    after(clientLatency, [=] {
        ProcessSlot &slot = slots_[static_cast<std::size_t>(target)];
        if (slot.process)
            runAtProcess(slot.process->self(),
                         [=](ModelProcess &p) { p.onRequest(request, reply); });
        else
            reply({lookUp ? Outcome::Unknown : Outcome::Refused, {}});
    });
    after(clientTimeout, [=] { onAnswer(index, requestNumber, request, {Outcome::Unknown, {}}); });
}

void CheckerSimulation::onAnswer(std::size_t index, std::uint64_t requestNumber,
                                 const ClientRequest &request, ClientAnswer answer)
{
    // A refusal is binding even if it arrives late.
    if (answer.outcome == Outcome::Refused)
        refusedAttempts_.insert(request.attempt);
    Operation &operation = operations_[index];
    if (!operation.open || operation.requestNumber != requestNumber)
        return;
    switch (answer.outcome) {
    case Outcome::Done:
        operation.open = false;
        acknowledged_[operation.key] = answer.position;
        if (healed_ && operation.startedAt > healedAt_ && !resumedAt_)
            resumedAt_ = now();
        return;
    case Outcome::NotRun:
        operation.open = false;
        notRun_.insert(operation.key);
        return;
    case Outcome::Refused:
        targetProcess_ = (targetProcess_ + 1) % schedule_.processes;
        return scheduleRetry(index, request.lookUp);
    case Outcome::Unknown:
        targetProcess_ = (targetProcess_ + 1) % schedule_.processes;
        return scheduleRetry(index, randomBelow(2) == 0);
    }
}

void CheckerSimulation::scheduleRetry(std::size_t index, bool lookUp)
{
    ++operations_[index].requestNumber;
    after(clientRetryDelay, [this, index, lookUp] { sendRequest(index, lookUp); });
}

// ---- Invariants ----

void CheckerSimulation::reportViolation(const std::string &description)
{
    if (!result_.violation.empty())
        return;
    const auto at = std::chrono::duration_cast<milliseconds>(now() - startedAt_);
    result_.violation = "at " + std::to_string(at.count()) + " ms: " + description;
}

void CheckerSimulation::checkLeases()
{
    std::string holder;
    for (const ProcessSlot &slot : slots_) {
        if (!slot.process || !slot.process->holdsLease())
            continue;
        if (!holder.empty())
            reportViolation("both " + holder + " and " + slot.address + " hold the lease");
        holder = slot.address;
    }
}

void CheckerSimulation::onPrimaryReady(const ProcessId &process, const PrimaryReady &ready)
{
    ++result_.promotions;
    if (!slots_[static_cast<std::size_t>(slotIndex(process.address))].process->holdsLease())
        return;
    readyTerm_ = std::max(readyTerm_, ready.term);
    const std::size_t server = static_cast<std::size_t>(ready.server[1] - '0');
    checkHistory(servers_[server].model, "when " + ready.server + " became primary");
}

void CheckerSimulation::onAcknowledged(const ProcessId &process, Term term)
{
    if (term < readyTerm_)
        reportViolation(process.address + " acknowledged a write of a replaced primary");
}

void CheckerSimulation::checkHistory(const ModelServer &server, const std::string &when)
{
    const Log &log = server.log();
    for (const auto &[key, position] : acknowledged_) {
        const bool isPresent = position.offset <= log.size() && log[position.offset - 1].key == key
            && log[position.offset - 1].term == position.term;
        if (!isPresent)
            reportViolation("acknowledged key " + std::to_string(key) + " is lost " + when);
    }
    std::set<std::uint64_t> executedKeys;
    OwnerEpoch newestEpoch = 0;
    for (const Record &record : log) {
        if (record.key == 0)
            continue;
        if (record.epoch < newestEpoch)
            reportViolation("a write of a replaced owner took effect " + when);
        newestEpoch = record.epoch;
        if (record.isVoid)
            continue;
        if (!executedKeys.insert(record.key).second)
            reportViolation("key " + std::to_string(record.key) + " ran twice " + when);
        if (notRun_.count(record.key) != 0)
            reportViolation("key " + std::to_string(record.key) + " ran after \"not run\" " + when);
        if (refusedAttempts_.count(record.attempt) != 0)
            reportViolation("a refused attempt ran " + when);
    }
}

void CheckerSimulation::checkFinalState()
{
    if (!resumedAt_) {
        reportViolation("writes have not resumed");
        return;
    }
    const int primary = primaryServer();
    checkHistory(servers_[static_cast<std::size_t>(primary)].model, "at the end");
}

} // namespace kelptally::decision
