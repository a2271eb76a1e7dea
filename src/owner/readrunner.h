#pragma once

#include "decision/routing.h"
#include "owner/groupcontext.h"

#include <memory>

namespace kelptally::owner {

// Runs the single-statement reads of one group. Chooses a server that satisfies the session
// position and the stated age, and checks both again before the answer is returned.
class ReadRunner
{
public:
    explicit ReadRunner(GroupContext &context);
    ~ReadRunner();

    void run(const RequestPtr &request);

    // Routes the reads that wait for a replica again after new server reports.
    void onReports();
    // Applies the configured share of reads that the primary takes.
    void configure();
    // Refuses all unanswered reads as not executed.
    void stop(const Refusal &refusal);
    // Refuses the reads whose deadline has passed.
    void expire();

    std::size_t waiting() const;

private:
    struct Read;
    using ReadPtr = std::shared_ptr<Read>;

    void route(const ReadPtr &read);
    bool admit(const ReadPtr &read);
    void submit(const ReadPtr &read, const decision::Route &route);
    void start(const ReadPtr &read, const ConnectionPtr &connection);
    static std::vector<backend::Statement> makeBatch(const Read &read);
    void onResult(const ReadPtr &read, const ConnectionPtr &connection,
                  backend::BatchResult result);
    void onDone(const ReadPtr &read, Rows rows);
    bool isStillValid(const Read &read) const;
    void onRefused(const ReadPtr &read, const WorkRefusal &refusal);
    void retry(const ReadPtr &read, Reason retryReason);
    void refuse(const ReadPtr &read, Refusal refusal);
    void remove(const ReadPtr &read);

    GroupContext &context_;
    std::unique_ptr<decision::Routing> routing_;
    std::map<std::uint64_t, ReadPtr> reads_;
    // Guards callbacks that arrive after this object is destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::owner
