#include "soak.h"

namespace kelptally::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration length = 20s;
constexpr Duration step = 25ms;
// A fault begins about this often, and some stay for seconds, so that they overlap.
constexpr double faultChance = 0.025;

class Soak
{
public:
    explicit Soak(std::uint64_t seed) : world_(seed), random_(seed * 7919 + 1) { }

    SoakResult run()
    {
        SoakResult result;
        world_.timeToWrite(0, 5s);
        for (Instant end = world_.timers.now() + length; world_.timers.now() < end;) {
            if (chance(faultChance))
                fault();
            heal(false);
            statement();
            world_.run(step);
        }
        heal(true);
        result.recovered = false;
        const auto recovery = world_.timeToWrite(0, 20s);
        result.recovered = recovery.has_value();
        result.recovery = recovery.value_or(Duration(0));
        world_.run(2s);
        world_.checkRefused();
        result.violations = world_.violations.all;
        result.acknowledged = world_.acknowledged;
        result.refused = world_.refused;
        result.unknown = world_.unknown;
        result.reads = world_.reads;
        result.promotions = world_.group.promotions;
        return result;
    }

private:
    bool chance(double part)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < part;
    }
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
    }
    Duration between(Duration least, Duration most)
    {
        return Duration(
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
    }

    ServerName anyServer()
    {
        // Often the primary: it matters most.
        if (chance(0.5) && !world_.group.primary().empty())
            return world_.group.primary();
        return "cases-" + std::to_string(below(3) + 1);
    }

    std::size_t anyHost()
    {
        const int owner = world_.owner();
        return owner >= 0 && chance(0.5) ? std::size_t(owner) : below(3);
    }

    void healAfter(Duration time, std::function<void()> what)
    {
        healing_.emplace_back(world_.timers.now() + time, std::move(what));
    }

    void heal(bool all)
    {
        auto due = std::move(healing_);
        healing_.clear();
        for (auto &[when, what] : due) {
            if (all || when <= world_.timers.now())
                what();
            else
                healing_.emplace_back(when, std::move(what));
        }
    }

    std::string addressOf(std::size_t host) { return "10.0.0." + std::to_string(host + 1) + ":1"; }

    void fault()
    {
        const Duration time = between(200ms, 6s);
        const std::size_t host = anyHost();
        const ServerName server = anyServer();
        ModelServer &model = world_.group.servers().at(server);
        switch (below(12)) {
        case 0:
            if (!world_.isUp(host))
                return;
            world_.kill(host);
            return healAfter(time, [this, host] { world_.restart(host); });
        case 1:
            if (world_.isUp(host))
                world_.freeze(host, time);
            return;
        case 2:
            if (!world_.isUp(host))
                return;
            world_.cut(host, true);
            return healAfter(time, [this, host] { world_.cut(host, false); });
        case 3:
            world_.store.down = true;
            return healAfter(time, [this] { world_.store.down = false; });
        case 4:
            world_.store.cut.insert(addressOf(host));
            return healAfter(time, [this, host] { world_.store.cut.erase(addressOf(host)); });
        case 5:
            world_.store.lostAnswers = 0.4;
            return healAfter(time, [this] { world_.store.lostAnswers = 0; });
        case 6:
            if (!model.running)
                return;
            world_.group.crash(server);
            return healAfter(time, [this, server] { world_.group.restart(server); });
        case 7:
            model.deaf = true;
            return healAfter(time, [&model] { model.deaf = false; });
        case 8:
            model.lag = between(100ms, 3s);
            return healAfter(time, [&model] { model.lag = 20ms; });
        case 9:
            world_.group.cuts.insert({addressOf(host), server});
            return healAfter(time, [this, host, server] {
                world_.group.cuts.erase({addressOf(host), server});
            });
        case 10:
            world_.group.replicationCuts.insert(server);
            return healAfter(time, [this, server] { world_.group.replicationCuts.erase(server); });
        default:
            model.leaving = true;
            world_.list();
            return healAfter(time, [this, &model] {
                model.leaving = false;
                world_.list();
            });
        }
    }

    void statement()
    {
        const std::size_t host = below(3);
        if (!world_.isUp(host))
            return;
        switch (below(4)) {
        case 0:
            world_.write(host);
            return;
        case 1:
            world_.read(host, inner::ReadRule::Newest);
            return;
        case 2:
            world_.read(host, inner::ReadRule::Bounded, 500ms);
            return;
        default:
            world_.write(host);
            world_.read(host, inner::ReadRule::Newest);
            return;
        }
    }

    World world_;
    std::mt19937_64 random_;
    std::vector<std::pair<Instant, std::function<void()>>> healing_;
};

} // namespace

SoakResult soak(std::uint64_t seed)
{
    return Soak(seed).run();
}

} // namespace kelptally::model
