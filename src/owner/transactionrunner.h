#pragma once

#include "decision/transactions.h"
#include "owner/confirmationwaits.h"
#include "owner/groupcontext.h"
#include "owner/writerunner.h"

#include <memory>

namespace kelptally::owner {

// Runs the transactions of one group at its primary, each pinned to one connection.
class TransactionRunner
{
public:
    TransactionRunner(GroupContext &context, ConfirmationWaits &confirmations, WriteRunner &writes);
    ~TransactionRunner();

    // A new time as owner begins; ids name its epoch.
    void start(OwnerEpoch epoch);
    void run(const RequestPtr &request);
    // The caller of this transaction has gone: it is rolled back.
    void cancel(const std::string &transaction);

    void onPrimaryGone();
    // Ends every transaction and refuses what runs or waits.
    void stop(const Refusal &refusal);
    // Ends those idle for too long and refuses what can no longer be done in time.
    void expire();

    std::size_t openCount() const { return transactions_ ? transactions_->openCount() : 0; }
    // Requests that have been neither answered nor refused.
    std::size_t waiting() const { return steps_.size(); }

private:
    struct Step;
    struct PinnedTransaction;
    using StepPtr = std::shared_ptr<Step>;

    void begin(const StepPtr &step);
    void enter(const StepPtr &step);
    void onEnterRefused(const StepPtr &step, Reason reason);
    // The outcome of a commit is not known: its key tells.
    void resolveCommit(const StepPtr &step, const Refusal &refusal);
    void submit(const StepPtr &step, ServerExecutor &executor, ConnectionPtr pinned);
    void start(const StepPtr &step, const ConnectionPtr &connection);
    bool mayStart(const Step &step) const;
    static std::vector<backend::Statement> makeStepBatch(const Step &step);
    void onResult(const StepPtr &step, const ConnectionPtr &connection,
                  backend::BatchResult result);
    void onBegun(const StepPtr &step, const ConnectionPtr &connection);
    void onRolledBack(const StepPtr &step, bool clean);
    void onStatementDone(const StepPtr &step, backend::BatchResult result);
    void runCommit(const StepPtr &step, const ConnectionPtr &connection);
    void onCommitOutcome(const StepPtr &step, backend::WriteOutcome outcome);
    void onCommitted(const StepPtr &step, backend::WriteOutcome outcome);
    void onConfirmed(const StepPtr &step, ConfirmationOutcome outcome);
    void onLost(const StepPtr &step, const backend::BatchResult &result);
    void onRefused(const StepPtr &step, const WorkRefusal &refusal);

    // Ends the transaction and gives its connection back, which rolls back what is open.
    void end(const decision::TransactionId &id, Reason endReason, bool reusable);
    void releaseConnection(const decision::TransactionId &id, bool reusable);
    void endAllPinned();
    void answer(const StepPtr &step, inner::ExecuteResult result);
    void refuse(const StepPtr &step, Refusal refusal);

    GroupContext &context_;
    ConfirmationWaits &confirmations_;
    WriteRunner &writes_;
    std::unique_ptr<decision::Transactions> transactions_;
    std::map<std::uint64_t, StepPtr> steps_;
    // By the number of the transaction.
    std::map<std::uint64_t, PinnedTransaction> pinned_;
    // Answers that arrive after this object is gone are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::owner
