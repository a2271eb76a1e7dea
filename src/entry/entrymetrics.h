#pragma once

#include "core/metrics.h"

namespace kelptally::entry {

// Metrics of the entry process. Thread-safe.
class EntryMetrics
{
public:
    explicit EntryMetrics(Metrics &metrics);

    void countAnswered(Duration took);
    // Counts an answer that refuses a request; retried failures are counted by countRetry().
    void countRefused(Reason reason);
    void countRetry(Reason reason);
    void countCallerDisconnected();
    // Answers of owners that were dropped.
    void countLateAnswer();
    void countDamagedAnswer();
    void countStaleAnswer();
    void setInFlight(std::size_t count);
    void setConnections(int count);
    void setOwnerLinks(std::size_t count);

private:
    Metrics &metrics_;
    prometheus::Histogram &answered_;
    prometheus::Counter &callerDisconnects_;
    prometheus::Counter &lateAnswers_;
    prometheus::Counter &damagedAnswers_;
    prometheus::Counter &staleAnswers_;
    prometheus::Gauge &inFlight_;
    prometheus::Gauge &connections_;
    prometheus::Gauge &ownerLinks_;
};

} // namespace kelptally::entry
