#pragma once

// Decisions that can be made in several ways. The first of each is the one that measured best, and
// is what a process does; a section of a settings file that is meant for experiments picks others.
namespace kelptally::decision {

// Which statement of a priority goes first.
enum class QueueDiscipline {
    // The one that would be late first; but an organisation without a quota that has had more than
    // its share goes behind the others.
    FairUnlessLimited,
    // The same for organisations with a quota.
    Fair,
    // The one that would be late first.
    EarliestDueDate,
};

struct PolicyOptions
{
    QueueDiscipline queueDiscipline = QueueDiscipline::FairUnlessLimited;
    // Of a server's connections an owner may have this part, in percent, where each belongs to an
    // organisation.
    int ownerSharePercent = 60;
    // And up to this part for connections that rest inside transactions.
    int maxOwnerSharePercent = 85;
    // What speaks against a server to which a connection would have to be opened, in percent of its
    // slots.
    int openingCost = 100;
};

} // namespace kelptally::decision
