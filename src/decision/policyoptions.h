#pragma once

// Alternative policies, selected in the [experiments] section of the settings file. The defaults
// are used in production.
namespace kelptally::decision {

// How statements of equal priority are ordered.
enum class QueueDiscipline {
    // By due time, except that an organisation without a quota that is over its fair share comes
    // last.
    FairUnlessLimited,
    // As FairUnlessLimited, for organisations with a quota too.
    Fair,
    EarliestDueDate,
};

struct PolicyOptions
{
    QueueDiscipline queueDiscipline = QueueDiscipline::FairUnlessLimited;
    // Percentage of a server's connections that one owner may open, for groups whose connections
    // each belong to one organisation.
    int ownerSharePercent = 60;
    // The same with the connections added that are idle in a transaction.
    int maxOwnerSharePercent = 85;
    // Routing cost of a server that needs a new connection, in percent of its slots.
    int openingCost = 100;
};

} // namespace kelptally::decision
