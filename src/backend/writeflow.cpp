#include "backend/writeflow.h"

#include <utility>

namespace kelptally::backend {

namespace {

// Limit of attempts after lookups; a record is only deleted or replaced by concurrent attempts.
constexpr int maxFlowAttempts = 4;

// Runs the batches of one request; keeps itself alive until it calls back.
class WriteFlow : public std::enable_shared_from_this<WriteFlow>
{
public:
    enum class Purpose {
        Write,
        Commit,
        Resolve,
    };

    WriteFlow(WriteContext context, WriteRequest request, Purpose purpose, WriteCallback callback)
        : context_(std::move(context)), request_(std::move(request)), purpose_(purpose),
          callback_(std::move(callback))
    { }

    void start()
    {
        const bool expired = !request_.key.empty()
            && isKeyExpired(request_.key, request_.now, request_.keyRetention);
        if (expired)
            lookUp(purpose_ == Purpose::Commit);
        else
            attempt();
    }

private:
    using Step = void (WriteFlow::*)(BatchResult);

    void attempt();
    void onSingleBatch(BatchResult result);
    void onWork(BatchResult result);
    void onRecorded(BatchResult result);
    void onCorrected(BatchResult result);
    void lookUp(bool inTransaction);
    void onLookUp(BatchResult result);
    void onRecord(const FoundRecord &found, LogOffset offset);
    // Handles a batch that failed or was lost; returns false if it succeeded.
    bool handleFailure(const BatchResult &result, bool commitSent);
    bool isKeyConflict(const BatchResult &result) const;

    void run(WriteBatch batch, Step next);
    void finish(WriteState state, const BatchResult &result);
    void finish(WriteState state, std::string message);
    void finish(WriteOutcome outcome);

    const WriteContext context_;
    const WriteRequest request_;
    const Purpose purpose_;
    WriteCallback callback_;

    WriteBatch batch_;
    // Result of the work.
    WriteOutcome outcome_;
    VoidRecord voidRecord_ = VoidRecord::Keep;
    int attemptCount_ = 0;
};

void WriteFlow::attempt()
{
    if (++attemptCount_ > maxFlowAttempts)
        return finish(WriteState::Unknown, "other attempts with the same key are in progress");
    if (purpose_ == Purpose::Commit)
        run(makeCommitBatch(context_.statements, request_), &WriteFlow::onSingleBatch);
    else if (purpose_ == Purpose::Resolve)
        run(makeVoidBatch(context_.statements, request_), &WriteFlow::onSingleBatch);
    else if (fitsSingleBatch(request_))
        run(makeSingleBatch(context_.statements, request_, voidRecord_), &WriteFlow::onSingleBatch);
    else
        run(makeWorkBatch(context_.statements, request_, voidRecord_), &WriteFlow::onWork);
}

void WriteFlow::run(WriteBatch batch, Step next)
{
    batch_ = std::move(batch);
    context_.connection->run(batch_.statements,
                             [self = shared_from_this(), next](BatchResult result) {
                                 (self.get()->*next)(std::move(result));
                             });
}

// The batch included the commit: the request is done unless its answer differs from the recorded
// one.
void WriteFlow::onSingleBatch(BatchResult result)
{
    if (handleFailure(result, true))
        return;
    if (purpose_ == Purpose::Resolve)
        return finish(WriteState::NotRun, result);
    outcome_.state = WriteState::Done;
    outcome_.offset = offsetOf(batch_, result);
    if (batch_.workIndex)
        outcome_.rows = std::move(result.rows[*batch_.workIndex]);
    const bool recordDiffers = batch_.keyIndex && batch_.workIndex && outcome_.rows.affected != 1;
    if (!recordDiffers)
        return finish(std::move(outcome_));
    run(makeCorrectionBatch(context_.statements, request_, outcome_.rows), &WriteFlow::onCorrected);
}

// Nothing takes effect without the commit, so a lost connection means that the work did not run.
void WriteFlow::onWork(BatchResult result)
{
    if (handleFailure(result, false))
        return;
    if (context_.mayCommit && !context_.mayCommit())
        return finish(WriteState::NotRun, "the lease expired before the commit");
    outcome_.rows = std::move(result.rows[*batch_.workIndex]);
    run(makeRecordBatch(context_.statements, request_, outcome_.rows), &WriteFlow::onRecorded);
}

void WriteFlow::onRecorded(BatchResult result)
{
    if (handleFailure(result, true))
        return;
    outcome_.state = WriteState::Done;
    outcome_.offset = offsetOf(batch_, result);
    finish(std::move(outcome_));
}

// The work is already committed: a failure here only leaves the expected count in the record.
void WriteFlow::onCorrected(BatchResult result)
{
    if (result.state == BatchState::Done)
        outcome_.offset = offsetOf(batch_, result);
    outcome_.connectionLost = result.connectionLost;
    finish(std::move(outcome_));
}

bool WriteFlow::isKeyConflict(const BatchResult &result) const
{
    return result.state == BatchState::Failed && result.sqlState == uniqueViolationState
        && batch_.keyIndex && result.failedStatement == *batch_.keyIndex;
}

bool WriteFlow::handleFailure(const BatchResult &result, bool commitSent)
{
    switch (result.state) {
    case BatchState::Done:
        return false;
    case BatchState::NotSent:
        finish(WriteState::NotRun, result);
        return true;
    case BatchState::Unknown:
        finish(commitSent ? WriteState::Unknown : WriteState::NotRun, result);
        return true;
    case BatchState::Failed:
        break;
    }
    if (isKeyConflict(result))
        lookUp(result.inTransaction);
    else if (result.sqlState == fencedState)
        finish(WriteState::Fenced, result);
    else if (result.sqlState == readOnlyState)
        finish(WriteState::NotPrimary, result);
    else
        finish(WriteState::Failed, result);
    return true;
}

void WriteFlow::lookUp(bool inTransaction)
{
    run(makeLookupBatch(context_.statements, request_, inTransaction), &WriteFlow::onLookUp);
}

void WriteFlow::onLookUp(BatchResult result)
{
    if (result.state != BatchState::Done)
        return finish(WriteState::Unknown, result);
    if (const auto found = findRecord(batch_, result))
        return onRecord(*found, offsetOf(batch_, result));
    // The conflicting attempt was rolled back, or there was none.
    if (isKeyExpired(request_.key, request_.now, request_.keyRetention))
        return finish(WriteState::KeyExpired, result);
    if (purpose_ == Purpose::Commit)
        return finish(WriteState::NotRun, result);
    attempt();
}

void WriteFlow::onRecord(const FoundRecord &found, LogOffset offset)
{
    WriteOutcome outcome;
    outcome.offset = offset;
    if (found.digest != request_.keyDigest) {
        outcome.state = WriteState::KeyReused;
        return finish(std::move(outcome));
    }
    if (found.record.state == RecordState::Done) {
        outcome.state = WriteState::Replayed;
        outcome.rows = found.record.rows;
        outcome.rowsMissing = found.record.rowsMissing;
        return finish(std::move(outcome));
    }
    if (isKeyExpired(request_.key, request_.now, request_.keyRetention)) {
        outcome.state = WriteState::KeyExpired;
        return finish(std::move(outcome));
    }
    // The failed commit has rolled the transaction back.
    if (purpose_ == Purpose::Commit)
        return finish(WriteState::NotRun,
                      "this attempt was abandoned; begin the transaction again");
    voidRecord_ = VoidRecord::Replace;
    attempt();
}

void WriteFlow::finish(WriteState state, const BatchResult &result)
{
    WriteOutcome outcome;
    outcome.state = state;
    outcome.offset = offsetOf(batch_, result);
    outcome.sqlState = result.sqlState;
    outcome.message = result.message;
    outcome.connectionLost = result.connectionLost;
    finish(std::move(outcome));
}

void WriteFlow::finish(WriteState state, std::string message)
{
    WriteOutcome outcome;
    outcome.state = state;
    outcome.message = std::move(message);
    finish(std::move(outcome));
}

void WriteFlow::finish(WriteOutcome outcome)
{
    std::exchange(callback_, nullptr)(std::move(outcome));
}

void startFlow(WriteContext context, WriteRequest request, WriteFlow::Purpose purpose,
               WriteCallback callback)
{
    std::make_shared<WriteFlow>(std::move(context), std::move(request), purpose,
                                std::move(callback))
        ->start();
}

} // namespace

void runWrite(WriteContext context, WriteRequest request, WriteCallback callback)
{
    startFlow(std::move(context), std::move(request), WriteFlow::Purpose::Write,
              std::move(callback));
}

void runCommit(WriteContext context, WriteRequest request, WriteCallback callback)
{
    startFlow(std::move(context), std::move(request), WriteFlow::Purpose::Commit,
              std::move(callback));
}

void resolveUnknown(WriteContext context, WriteRequest request, WriteCallback callback)
{
    startFlow(std::move(context), std::move(request), WriteFlow::Purpose::Resolve,
              std::move(callback));
}

} // namespace kelptally::backend
