#pragma once

#include "owner/confirmationwaits.h"
#include "owner/groupcontext.h"

#include <memory>

namespace kelptally::owner {

// Runs the single-statement writes of one group at its primary. A write is answered once a majority
// of the servers holds it. A write whose outcome is unknown after a lost connection or a failover
// runs again: with a key it finds the record of the earlier attempt, and without a key it may be
// repeated.
class WriteRunner
{
public:
    WriteRunner(GroupContext &context, ConfirmationWaits &confirmations);
    ~WriteRunner();

    void run(const RequestPtr &request);
    // Resolves a request with a key whose earlier attempt may have been committed, without running
    // it: answers from the record, or refuses once no attempt can be committed any more.
    void resolve(const RequestPtr &request, const Refusal &refusal);

    void onPrimaryGone();
    // Submits the writes that wait for a primary.
    void onPrimaryReady();
    // Refuses all writes and reports what is known of their execution.
    void stop(const Refusal &refusal);
    // Refuses writes that are past their deadline, were cancelled, or can no longer wait for a
    // primary.
    void expire();

    std::size_t waiting() const { return writes_.size(); }

private:
    struct Write;
    using WritePtr = std::shared_ptr<Write>;

    void submit(const WritePtr &write);
    void waitForPrimary(const WritePtr &write);
    bool mayWaitForPrimary(const Write &write) const;
    void start(const WritePtr &write, const ConnectionPtr &connection);
    bool mayStart(const Write &write) const;
    void onOutcome(const WritePtr &write, const ConnectionPtr &connection,
                   backend::WriteOutcome outcome);
    void onCommitted(const WritePtr &write, backend::WriteOutcome outcome);
    void onFailed(const WritePtr &write, const backend::WriteOutcome &outcome);
    void onConfirmed(const WritePtr &write, ConfirmationOutcome outcome);
    void onRefused(const WritePtr &write, const WorkRefusal &refusal);
    void retry(const WritePtr &write, Reason retryReason);
    void resolve(const WritePtr &write, const Refusal &refusal);
    void refuse(const WritePtr &write, Refusal refusal);
    void remove(const WritePtr &write);

    GroupContext &context_;
    ConfirmationWaits &confirmations_;
    std::map<std::uint64_t, WritePtr> writes_;
    std::optional<Instant> primaryLostAt_;
    // Guards callbacks that arrive after this object is destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::owner
