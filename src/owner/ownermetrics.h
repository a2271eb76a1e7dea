#pragma once

#include "core/metrics.h"
#include "core/types.h"
#include "decision/routing.h"

#include <array>

namespace kelptally::owner {

// The metrics of an owner process, as listed in docs/METRICS.md. Thread-safe.
class OwnerMetrics
{
public:
    explicit OwnerMetrics(Metrics &metrics);

    void countAnswer(Reason reason);
    void countRetry(Reason reason);
    // Counts an answer that could not be sent, as its link was closed or full.
    void countUnsent();
    void countRead(decision::PrimaryCause cause);
    // Counts a read that was repeated because its data was too old, or its term had ended, by the
    // time the server answered.
    void countReadRepeated();
    void countWrite();
    void countReplay();
    void countClaim();
    void countHandOver();
    void countPromotion();

    void observeFailoverGap(Duration gap);
    void observeQueueWait(Duration wait);
    void observeConfirmation(Duration wait);
    void observeHandOver(Duration elapsed);

    void setLeaseLeft(const GroupName &group, Duration left);
    void setLag(const GroupName &group, const ServerName &server, Duration lag);
    void setPool(const GroupName &group, const ServerName &server, int open, int busy, int queued);
    void setGroupsServed(std::size_t count);

private:
    Metrics &metrics_;
    std::array<prometheus::Counter *, decision::primaryCauseCount> reads_ {};
    prometheus::Counter &unsent_;
    prometheus::Counter &readsRepeated_;
    prometheus::Counter &writes_;
    prometheus::Counter &replays_;
    prometheus::Counter &claims_;
    prometheus::Counter &handOvers_;
    prometheus::Counter &promotions_;
    prometheus::Histogram &failoverGap_;
    prometheus::Histogram &queueWait_;
    prometheus::Histogram &confirmation_;
    prometheus::Histogram &handOverTime_;
    prometheus::Gauge &groupsServed_;
};

} // namespace kelptally::owner
