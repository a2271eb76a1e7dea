#pragma once

#include "core/metrics.h"
#include "decision/connectionchoice.h"
#include "inner/messages.h"

#include <array>

namespace kelptally::session {

// Metrics of the time that statements spend in each stage.
class StageTimes
{
public:
    explicit StageTimes(Metrics &metrics);

    // From the arrival of a statement at this process to its answer.
    void addStatement(inner::ReadRule rule, Duration time);
    // From the arrival at the owner until the statement is sent to a server.
    void addQueue(Duration time);
    // Time to open a connection to a server.
    void addConnection(Duration time);
    // From sending to a server to its answer.
    void addServer(Duration time);
    // From sending to an owner on another host to its answer.
    void addOwner(Duration time);
    // Counts how a statement's request for a server connection was handled.
    void countConnectionAction(decision::ConnectionAction action);
    // Count groups that entered overload, and statements refused in one for want of a slot.
    void countOverload();
    void countOverloadRefusal();
    // Counts probes of servers that were unreachable.
    void countServerProbe();

private:
    // By read rule.
    prometheus::Histogram *rules_[3];
    prometheus::Histogram &queue_;
    prometheus::Histogram &connection_;
    prometheus::Histogram &server_;
    prometheus::Histogram &owner_;
    std::array<prometheus::Counter *, decision::connectionActionCount> connectionActions_;
    prometheus::Counter &overloads_;
    prometheus::Counter &overloadRefusals_;
    prometheus::Counter &serverProbes_;
};

} // namespace kelptally::session
