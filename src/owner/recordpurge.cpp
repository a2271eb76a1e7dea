#include "owner/recordpurge.h"

namespace kelptally::owner {

namespace {

// Together these allow 10 deletions per second, which must exceed the mean rate of new keys.
constexpr Duration purgePeriod = std::chrono::seconds(20);
constexpr int maxRecordsPerPurge = 200;
constexpr Duration purgeTimeout = std::chrono::seconds(2);
// Reserved work id; request numbers start at 1.
constexpr decision::WorkId purgeWorkId = 0;

} // namespace

void RecordPurge::tick()
{
    const Instant now = context_.now();
    if (now < nextPurge_ || !context_.primaryTerm())
        return;
    nextPurge_ = now + purgePeriod;
    ServerExecutor *executor = context_.servers.executor(*context_.failover.decision()->primary());
    if (executor && executor->admission().busy() == 0 && context_.ownership.holdsLease())
        run(*executor);
}

void RecordPurge::run(ServerExecutor &executor)
{
    const ServerName server = executor.server().name;
    ExecutorWork work;
    work.work.id = purgeWorkId;
    work.work.requestClass = settings::RequestClass::Browse;
    work.work.deadline = context_.now() + purgeTimeout;
    work.refused = [](const WorkRefusal &) {};
    std::weak_ptr<bool> alive = alive_;
    work.start = [this, alive, server, workItem = work.work](const ConnectionPtr &connection) {
        if (alive.expired())
            return;
        const Instant startedAt = context_.now();
        connection->run(backend::makePurgeBatch(context_.statements(), context_.ownership.epoch(),
                                                std::chrono::system_clock::now(),
                                                context_.limits().keyRetention, maxRecordsPerPurge),
                        [this, alive, server, workItem, startedAt,
                         connection](const backend::BatchResult &result) {
                            ServerExecutor *currentExecutor =
                                alive.expired() ? nullptr : context_.servers.executor(server);
                            if (!currentExecutor)
                                return;
                            currentExecutor->finished(workItem, context_.now() - startedAt);
                            currentExecutor->release(connection, !result.connectionLost);
                        });
    };
    executor.submit(std::move(work));
}

} // namespace kelptally::owner
