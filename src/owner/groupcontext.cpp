#include "owner/groupcontext.h"

namespace kelptally::owner {

decision::Work workOf(const Request &request)
{
    return {request.number, request.execute.team, request.requestClass, request.deadline};
}

bool GroupContext::mayWriteAt(const ServerName &server, Term term) const
{
    return ownership.holdsLease() && primaryTerm() == term
        && *failover.decision()->primary() == server;
}

void GroupContext::onStatementEnded(const ServerName &server, const decision::Work &work,
                                    Instant sentAt, bool connectionLost)
{
    if (ServerExecutor *executor = servers.executor(server))
        executor->finished(work,
                           connectionLost ? std::nullopt : std::make_optional(now() - sentAt));
    if (connectionLost)
        failover.onConnectionLost(server);
    else
        failover.onTraffic(server);
}

backend::WriteRequest GroupContext::makeWrite(const inner::Execute &execute)
{
    backend::WriteRequest write;
    write.statement = {execute.sql, execute.parameters};
    write.key = execute.key;
    write.team = execute.team;
    write.keyDigest = execute.keyDigest;
    write.epoch = ownership.epoch();
    write.attempt = backend::makeAttemptNumber(ownership.epoch(), ++attempts);
    write.now = std::chrono::system_clock::now();
    write.keyRetention = limits().keyRetention;
    return write;
}

} // namespace kelptally::owner
