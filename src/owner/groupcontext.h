#pragma once

#include "backend/writeflow.h"
#include "owner/failoverdriver.h"
#include "owner/groupservers.h"
#include "owner/ownershipdriver.h"
#include "owner/responder.h"

namespace kelptally::owner {

// Returns the entry of a request for a server's queue.
decision::Work workOf(const Request &request);

// State shared by the request runners of one group. Owned by the group's GroupRuntime.
struct GroupContext
{
    OwnerPorts &ports;
    Responder &responder;
    OwnershipDriver &ownership;
    FailoverDriver &failover;
    GroupServers &servers;
    // The active configuration; replaced at run time.
    settings::ConfigurationPtr configuration;
    GroupName group;
    // Number of write attempts. Attempt numbers increase across owners, as the epoch is their
    // prefix.
    std::uint64_t attempts = 0;

    Instant now() const { return ports.timers.now(); }
    const settings::Limits &limits() const { return configuration->inventory.limits; }

    // Returns the term of the current primary; no value without a primary.
    std::optional<Term> primaryTerm() const
    {
        const decision::Failover *failoverDecision = failover.decision();
        if (!failoverDecision || !failoverDecision->primary())
            return std::nullopt;
        return failoverDecision->term();
    }

    // Whether writes may be sent to this server now: the lease is valid and the server is the
    // primary of this term.
    bool mayWriteAt(const ServerName &server, Term term) const;

    // Releases the slot of a statement that has ended.
    void onStatementEnded(const ServerName &server, const decision::Work &work, Instant sentAt,
                          bool connectionLost);

    const settings::GroupStatements &statements() const
    {
        return configuration->inventory.findGroup(group)->statements;
    }

    // Creates the write of a request with a new attempt number.
    backend::WriteRequest makeWrite(const inner::Execute &execute);
};

} // namespace kelptally::owner
