#pragma once

#include "core/metrics.h"
#include "decision/connectionchoice.h"
#include "inner/messages.h"

#include <array>

namespace kelptally::session {

// Histograms and counters of where the time of statements goes, as the metrics page lists them.
class StageTimes
{
public:
    explicit StageTimes(Metrics &metrics);

    // A statement's way through its entry, from its arrival to its answer.
    void addStatement(inner::ReadRule rule, Duration time);
    // At the owner, from the arrival to the sending to a server.
    void addQueue(Duration time);
    // Opening a connection to a server.
    void addConnection(Duration time);
    // From the sending to a server to its answer.
    void addServer(Duration time);
    // From the sending to the owner on another host to its answer.
    void addOwner(Duration time);
    // What a statement found when it asked for a connection to a server.
    void countConnectionAction(decision::ConnectionAction action);

private:
    prometheus::Histogram *rules_[3];
    prometheus::Histogram &queue_;
    prometheus::Histogram &connection_;
    prometheus::Histogram &server_;
    prometheus::Histogram &owner_;
    std::array<prometheus::Counter *, decision::connectionActionCount> connectionActions_;
};

} // namespace kelptally::session
