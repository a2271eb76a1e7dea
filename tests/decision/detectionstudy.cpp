#include "detectionstudy.h"

#include "core/manualtimerservice.h"
#include "decision/failover.h"

#include <algorithm>
#include <iomanip>
#include <memory>
#include <ostream>
#include <random>

namespace kelptally::decision {

namespace {

using std::chrono::milliseconds;

constexpr Duration roundTrip = milliseconds(3);
constexpr int faultCount = 500;

// Simulates three servers that answer all probes that are not lost. The first is the primary.
class DetectionSimulation
{
public:
    DetectionSimulation(double loss, std::uint64_t seed) : loss_(loss), random_(seed) { }

    // Returns the number of false positives within the time.
    int countFalseAlarms(Duration time)
    {
        int alarms = 0;
        const Instant end = timers_.now() + time;
        restart();
        while (timers_.now() < end) {
            timers_.advanceToNext();
            if (!primaryGone_)
                continue;
            ++alarms;
            restart();
        }
        return alarms;
    }

    // Returns the time from a fault of the primary to its detection.
    Duration detectionTime(bool refuses)
    {
        restart();
        const auto phase = std::chrono::microseconds(1000000 + random_() % 500000);
        const Instant begin = timers_.now() + phase;
        while (timers_.now() < begin && !primaryGone_)
            timers_.advanceToNext();
        if (!failover_->primary())
            return detectionTime(refuses);
        const Instant fault = timers_.now();
        primaryRefuses_ = refuses;
        primaryHangs_ = !refuses;
        if (refuses)
            performAll(failover_->onConnectionLost(timers_.now(), "s0"));
        while (!primaryGone_)
            timers_.advanceToNext();
        return timers_.now() - fault;
    }

private:
    void restart()
    {
        ++run_;
        primaryGone_ = primaryRefuses_ = primaryHangs_ = false;
        failover_ =
            std::make_unique<Failover>("offers", 1, std::vector<ServerName> {"s0", "s1", "s2"});
        performAll(failover_->start(timers_.now(), 0, ""));
        timers_.subscribeAfter(std::chrono::microseconds(random_() % 20000),
                               [this, run = run_] { tick(run); });
    }

    void tick(int run)
    {
        if (run != run_)
            return;
        performAll(failover_->onTick(timers_.now()));
        timers_.subscribeAfter(Failover::tickPeriod, [this, run] { tick(run); });
    }

    void performAll(const FailoverActions &actions)
    {
        for (const FailoverAction &action : actions) {
            if (const auto *probe = std::get_if<SendProbe>(&action))
                answer(*probe);
            else if (const auto *fence = std::get_if<SendRaiseFence>(&action))
                performAll(failover_->onFenceRaised(timers_.now(), fence->server, fence->epoch));
            else if (const auto *history = std::get_if<SendReadHistory>(&action))
                performAll(failover_->onHistory(timers_.now(), history->server, {{1, 1}}));
            else if (std::get_if<PrimaryGone>(&action))
                primaryGone_ = true;
        }
    }

    void answer(const SendProbe &probe)
    {
        const bool primary = probe.server == "s0";
        const bool lost = std::uniform_real_distribution<>(0, 1)(random_) < loss_;
        if (lost || (primary && primaryHangs_))
            return;
        const bool refused = primary && primaryRefuses_;
        timers_.subscribeAfter(roundTrip, [this, probe, primary, refused, run = run_] {
            if (run != run_)
                return;
            const Instant now = timers_.now();
            ServerReport report;
            report.term = 1;
            report.received = {1, 1};
            report.isPrimary = primary;
            performAll(refused ? failover_->onProbeFailed(now, probe.server, probe.sequence, true)
                               : failover_->onReport(now, probe.server, probe.sequence, report));
        });
    }

    double loss_;
    std::mt19937_64 random_;
    ManualTimerService timers_;
    std::unique_ptr<Failover> failover_;
    int run_ = 0;
    bool primaryGone_ = false;
    bool primaryRefuses_ = false;
    bool primaryHangs_ = false;
};

void printTimes(std::ostream &out, DetectionSimulation &simulation, bool refuses)
{
    std::vector<Duration> times;
    for (int i = 0; i < faultCount; ++i)
        times.push_back(simulation.detectionTime(refuses));
    std::sort(times.begin(), times.end());
    out << std::setw(12) << toMilliseconds(times[times.size() / 2]) << std::setw(12)
        << toMilliseconds(times[times.size() * 99 / 100]);
}

} // namespace

void printDetectionStudy(std::ostream &out, std::uint64_t seed)
{
    out << std::fixed << std::setprecision(1)
        << "lost  alarms/day  refused p50  p99  hung p50  p99 (ms)\n";
    for (const double loss : {0.0, 0.001, 0.01, 0.03, 0.05, 0.1, 0.2}) {
        // False positives are rare at low loss, so these runs are longer.
        const int hours = loss <= 0.03 ? 96 : 8;
        DetectionSimulation simulation(loss, seed);
        const int alarms = simulation.countFalseAlarms(std::chrono::hours(hours));
        out << std::setw(4) << loss * 100 << '%' << std::setw(12) << alarms * 24.0 / hours;
        printTimes(out, simulation, true);
        printTimes(out, simulation, false);
        out << std::endl;
    }
}

} // namespace kelptally::decision
