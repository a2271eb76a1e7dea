#pragma once

#include "decision/routing.h"
#include "owner/groupcontext.h"

#include <memory>

namespace kelptally::owner {

// Runs the single reads of one group: chooses a server by session position and stated age, and
// checks both again once the answer is there.
class ReadRunner
{
public:
    explicit ReadRunner(GroupContext &context);
    ~ReadRunner();

    void run(const RequestPtr &request);

    // Reads that wait for a replica look again, as after new reports.
    void onReports();
    // A new configuration may have changed the share of reads that the primary takes.
    void configure();
    // Ends everything that has not been answered: nothing of a read was executed.
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
    // Answers that arrive after this object is gone are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::owner
