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

    // Starts with a new ownership epoch, which is part of the transaction ids.
    void start(OwnerEpoch epoch);
    void run(const RequestPtr &request);
    // Rolls back the transaction of a caller that has disconnected.
    void cancel(const std::string &transaction);

    void onPrimaryGone();
    // Ends all transactions and refuses all requests.
    void stop(const Refusal &refusal);
    // Ends transactions past their idle limit and refuses requests past their deadline.
    void expire();

    std::size_t openCount() const { return transactions_ ? transactions_->openCount() : 0; }
    // Number of unanswered requests.
    std::size_t waiting() const { return steps_.size(); }

private:
    struct Step;
    struct PinnedTransaction;
    using StepPtr = std::shared_ptr<Step>;

    void begin(const StepPtr &step);
    void enter(const StepPtr &step);
    void onEnterRefused(const StepPtr &step, Reason reason);
    // Resolves a commit of unknown outcome by its key.
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

    // Ends the transaction and returns its connection to the pool, which rolls back open work.
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
    // By transaction number.
    std::map<std::uint64_t, PinnedTransaction> pinned_;
    // Guards callbacks that arrive after this object is destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::owner
