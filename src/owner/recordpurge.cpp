#include "owner/recordpurge.h"

namespace kelptally::owner {

namespace {

// Chosen: at most 10 records a second, above any rate at which a group of today records keys for a
// day.
constexpr Duration purgePeriod = std::chrono::seconds(20);
constexpr int purgeLimit = 200;
constexpr Duration purgeDeadline = std::chrono::seconds(2);
// Work of no request: numbers of requests begin at 1.
constexpr decision::WorkId purgeWork = 0;

} // namespace

void RecordPurge::tick()
{
    const Instant now = context_.now();
    if (now < next_ || !context_.primaryTerm())
        return;
    next_ = now + purgePeriod;
    ServerExecutor *executor = context_.servers.executor(*context_.failover.decision()->primary());
    if (executor && executor->admission().busy() == 0 && context_.ownership.holdsLease())
        run(*executor);
}

void RecordPurge::run(ServerExecutor &executor)
{
    const ServerName server = executor.server().name;
    ExecutorWork work;
    work.work.id = purgeWork;
    work.work.requestClass = settings::RequestClass::Browse;
    work.work.deadline = context_.now() + purgeDeadline;
    work.refused = [](const WorkRefusal &) {};
    std::weak_ptr<bool> alive = alive_;
    work.start = [this, alive, server, own = work.work](const ConnectionPtr &connection) {
        if (alive.expired())
            return;
        const Instant began = context_.now();
        connection->run(
            backend::makePurgeBatch(context_.statements(), context_.ownership.epoch(),
                                    std::chrono::system_clock::now(),
                                    context_.limits().keyRetention, purgeLimit),
            [this, alive, server, own, began, connection](const backend::BatchResult &result) {
                ServerExecutor *used =
                    alive.expired() ? nullptr : context_.servers.executor(server);
                if (!used)
                    return;
                used->finished(own, context_.now() - began);
                used->release(connection, !result.connectionLost);
            });
    };
    executor.submit(std::move(work));
}

} // namespace kelptally::owner
