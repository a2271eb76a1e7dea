#include "soak.h"

#include "membershipfaults.h"

namespace kelptally::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration faultPhase = 20s;
constexpr Duration step = 25ms;
// Probability of a fault in each step. Faults may overlap, as some last for seconds.
constexpr double faultProbability = 0.025;
// Lower, as the membership faults come on top and most statements should still be served.
constexpr double faultProbabilityWithMembership = 0.01;
constexpr double connectionFaultProbability = 0.01;
// For each host and step, when hosts write in every step.
constexpr double readProbability = 0.1;

class Soak
{
public:
    Soak(std::uint64_t seed, SoakKind kind)
        : kind_(kind), cluster_(seed, kind != SoakKind::Membership || seed % 2 == 0),
          random_(seed * 7919 + 1), extraRandom_(seed * 104729 + 5)
    {
        if (kind == SoakKind::Membership)
            membership_ = std::make_unique<MembershipFaults>(cluster_, recoveries_, seed);
    }

    SoakResult run()
    {
        SoakResult result;
        cluster_.timeToWrite(0, 5s);
        for (Instant end = cluster_.timers.now() + faultPhase; cluster_.timers.now() < end;) {
            if (chance(membership_ ? faultProbabilityWithMembership : faultProbability))
                injectFault();
            recoveries_.run();
            if (membership_) {
                membership_->step();
                runManyStatements();
            } else {
                runStatement();
            }
            if (kind_ != SoakKind::Faults) {
                injectConnectionFault();
                stepTransaction();
            }
            cluster_.logToHosts("step");
            cluster_.run(step);
        }
        recoveries_.runAll();
        cluster_.logToHosts("end of faults");
        result.recovered = false;
        const auto recovery = cluster_.timeToWrite(0, 20s);
        result.recovered = recovery.has_value();
        result.recovery = recovery.value_or(Duration(0));
        cluster_.run(2s);
        cluster_.checkStatementResults();
        result.violations = cluster_.violations.all;
        result.acknowledged = cluster_.acknowledged;
        result.refused = cluster_.refused;
        result.unknown = cluster_.unknown;
        result.reads = cluster_.reads;
        result.promotions = cluster_.group.promotions;
        result.unrecoverableCommits = cluster_.group.unrecoverableCommits;
        return result;
    }

private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    std::size_t randomBelow(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
    }
    Duration randomDuration(Duration minimum, Duration maximum)
    {
        return Duration(
            std::uniform_int_distribution<std::int64_t>(minimum.count(), maximum.count())(random_));
    }

    ServerName randomServer()
    {
        // Prefers the primary.
        if (chance(0.5) && !cluster_.group.primary().empty())
            return cluster_.group.primary();
        const std::vector<ServerName> servers = cluster_.group.existingServers();
        return servers[randomBelow(servers.size())];
    }

    std::size_t randomHost()
    {
        const int owner = cluster_.owner();
        return owner >= 0 && chance(0.5) ? std::size_t(owner) : randomBelow(3);
    }

    std::string addressOf(std::size_t host) { return "10.0.0." + std::to_string(host + 1) + ":1"; }

    void injectFault()
    {
        const Duration time = randomDuration(200ms, 6s);
        const std::size_t host = randomHost();
        const ServerName server = randomServer();
        ModelServer &model = cluster_.group.servers().at(server);
        switch (randomBelow(12)) {
        case 0:
            if (!cluster_.isUp(host))
                return;
            cluster_.kill(host);
            return recoveries_.schedule(time, [this, host] {
                if (!cluster_.isUp(host))
                    cluster_.restart(host);
            });
        case 1:
            if (cluster_.isUp(host))
                cluster_.freeze(host, time);
            return;
        case 2:
            if (!cluster_.isUp(host))
                return;
            cluster_.partition(host, true);
            return recoveries_.schedule(time, [this, host] { cluster_.partition(host, false); });
        case 3:
            cluster_.store.down = true;
            return recoveries_.schedule(time, [this] { cluster_.store.down = false; });
        case 4:
            cluster_.store.partitionedHosts.insert(addressOf(host));
            return recoveries_.schedule(
                time, [this, host] { cluster_.store.partitionedHosts.erase(addressOf(host)); });
        case 5:
            cluster_.store.lostAnswerRate = 0.4;
            return recoveries_.schedule(time, [this] { cluster_.store.lostAnswerRate = 0; });
        case 6:
            if (!model.running)
                return;
            if (membership_)
                return membership_->crash(server, time);
            cluster_.group.crash(server);
            return recoveries_.schedule(time, [this, server] { cluster_.group.restart(server); });
        case 7:
            model.stalled = true;
            return recoveries_.schedule(time, [&model] { model.stalled = false; });
        case 8:
            model.lag = randomDuration(100ms, 3s);
            return recoveries_.schedule(time, [&model] { model.lag = 20ms; });
        case 9:
            cluster_.group.partitions.insert({addressOf(host), server});
            return recoveries_.schedule(time, [this, host, server] {
                cluster_.group.healPartition(addressOf(host), server);
            });
        case 10:
            cluster_.group.replicationPartitions.insert(server);
            return recoveries_.schedule(time, [this, server] {
                for (const ServerName &each : cluster_.group.serversAtAddressOf(server))
                    cluster_.group.replicationPartitions.erase(each);
            });
        default:
            if (membership_)
                return membership_->leave(server, time);
            model.leaving = true;
            cluster_.list();
            return recoveries_.schedule(time, [this, &model] {
                model.leaving = false;
                cluster_.list();
            });
        }
    }

    void runStatement()
    {
        const std::size_t host = randomBelow(3);
        if (!cluster_.isUp(host))
            return;
        switch (randomBelow(4)) {
        case 0:
            cluster_.write(host);
            return;
        case 1:
            cluster_.read(host, inner::ReadRule::Newest);
            return;
        case 2:
            cluster_.read(host, inner::ReadRule::Bounded, 500ms);
            return;
        default:
            cluster_.write(host);
            cluster_.read(host, inner::ReadRule::Newest);
            return;
        }
    }

    // Runs several statements at each host.
    void runManyStatements()
    {
        for (std::size_t host = 0; host < cluster_.hosts.size(); ++host) {
            if (!cluster_.isUp(host))
                continue;
            const std::size_t writes = 1 + randomBelow(2);
            for (std::size_t i = 0; i < writes; ++i)
                cluster_.write(host);
            if (chance(readProbability))
                cluster_.read(host, inner::ReadRule::Newest);
            if (chance(readProbability))
                cluster_.read(host, inner::ReadRule::Bounded, 500ms);
        }
    }

    // Uses a random sequence of its own, so that the other faults of a seed stay the same.
    void injectConnectionFault()
    {
        if (std::uniform_real_distribution<double>(0, 1)(extraRandom_)
            >= connectionFaultProbability)
            return;
        switch (std::uniform_int_distribution<int>(0, 2)(extraRandom_)) {
        case 0:
            return cluster_.silenceLinks();
        case 1:
            return cluster_.resetLinks();
        default:
            for (const auto &[id, server] : cluster_.group.servers())
                cluster_.group.silenceConnections(id);
        }
    }

    // Runs one transaction at a time, and commits it some steps after its begin.
    void stepTransaction()
    {
        if (beginOutcome_ && beginOutcome_->done) {
            const bool open =
                beginOutcome_->result.reason == Reason::None && cluster_.isUp(entryHost_);
            beginOutcome_ = nullptr;
            if (open)
                cluster_.commit(entryHost_, session_);
            return;
        }
        if (beginOutcome_ && cluster_.timers.now() - transactionStart_ < 2s)
            return;
        entryHost_ = std::uniform_int_distribution<std::size_t>(0, 2)(extraRandom_);
        if (!cluster_.isUp(entryHost_))
            return;
        session_ = ++lastSession_;
        transactionStart_ = cluster_.timers.now();
        beginOutcome_ = cluster_.begin(entryHost_, session_);
    }

    const SoakKind kind_;
    ModelCluster cluster_;
    std::mt19937_64 random_;
    std::mt19937_64 extraRandom_;
    ModelCluster::OutcomePtr beginOutcome_;
    std::size_t entryHost_ = 0;
    std::uint64_t session_ = 0;
    std::uint64_t lastSession_ = 1'000'000;
    Instant transactionStart_ {};
    RecoveryQueue recoveries_ {cluster_.timers};
    std::unique_ptr<MembershipFaults> membership_;
};

} // namespace

SoakResult runSoak(std::uint64_t seed, SoakKind kind)
{
    return Soak(seed, kind).run();
}

} // namespace kelptally::model
