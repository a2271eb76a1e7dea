#pragma once

#include "owner/confirmationwaits.h"
#include "owner/groupcontext.h"

#include <memory>

namespace kelptally::owner {

// Runs the single writes of one group at its primary. A write is answered once a majority of the
// servers holds it. One whose outcome a lost connection or a failover left open runs again: by its
// key it finds its own record, and one without a key may be repeated.
class WriteRunner
{
public:
    WriteRunner(GroupContext &context, ConfirmationWaits &confirmations);
    ~WriteRunner();

    void run(const RequestPtr &request);
    // Settles a request with a key of which an earlier attempt may have been committed, without
    // running it: answers from the record, or refuses once no attempt can be committed any more.
    void resolve(const RequestPtr &request, const Refusal &refusal);

    void onPrimaryGone();
    // Starts what waited for a primary.
    void onPrimaryReady();
    // Ends everything with what is known of its execution.
    void stop(const Refusal &refusal);
    // Refuses what can no longer be done in time.
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
    // Answers that arrive after this object is gone are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::owner
