#include "schedule.h"

#include <algorithm>
#include <array>
#include <random>
#include <sstream>

namespace kelptally::decision {

using std::chrono::milliseconds;

namespace {

constexpr std::array<const char *, faultKindCount> kindNames = {
    "crash-process", "pause-process",  "isolate-process", "cut-processes",   "cut-server",
    "slow-link",     "cut-store",      "store-down",      "store-slow",      "store-loses-answers",
    "kill-server",   "pause-server",   "isolate-server",  "cut-replication", "server-leaving",
    "hand-over",     "promote-server",
};

constexpr int minFaultLength = 20;
constexpr int maxFaultLength = 3000;
constexpr int maxFaults = 8;
// Clustered faults begin in a window of this length, which starts at a random time up to the
// maximum.
constexpr std::uint32_t clusterWindow = 2500;
constexpr std::uint32_t maxClusterStart = 4500;

// Half of all faults target the owner or the primary.
int makeTarget(std::uint32_t number)
{
    return number % 2 == 0 ? Fault::ownerOrPrimary : static_cast<int>(number / 2 % 4);
}

} // namespace

Fault makeFault(std::uint32_t kind, std::uint32_t at, std::uint32_t targets, std::uint32_t length)
{
    Fault fault;
    fault.kind = static_cast<FaultKind>(kind % faultKindCount);
    fault.at = milliseconds(at % faultPeriod.count());
    fault.target = makeTarget(targets % 97);
    fault.otherTarget = makeTarget(targets / 97 % 97);
    fault.length = milliseconds(minFaultLength + length % (maxFaultLength - minFaultLength));
    return fault;
}

Schedule randomSchedule(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto draw = [&random] { return static_cast<std::uint32_t>(random()); };
    Schedule schedule;
    schedule.seed = seed;
    schedule.processes = 3 + static_cast<int>(random() % 2);
    const std::size_t count = 1 + random() % maxFaults;
    // In half of the schedules the faults are clustered in time.
    const bool clustered = random() % 2 == 0;
    const std::uint32_t clusterStart = draw() % maxClusterStart;
    for (std::size_t i = 0; i < count; ++i) {
        const std::uint32_t kind = draw();
        const std::uint32_t at = clustered ? clusterStart + draw() % clusterWindow : draw();
        const std::uint32_t targets = draw();
        schedule.faults.push_back(makeFault(kind, at, targets, draw()));
    }
    return schedule;
}

std::string toText(const Schedule &schedule)
{
    std::ostringstream text;
    text << "seed " << schedule.seed << "\nprocesses " << schedule.processes << '\n';
    for (const Fault &fault : schedule.faults) {
        text << "at " << fault.at.count() << ' ' << kindNames[static_cast<int>(fault.kind)] << ' '
             << fault.target << ' ' << fault.otherTarget << ' ' << fault.length.count() << '\n';
    }
    return text.str();
}

std::optional<Schedule> scheduleFromText(const std::string &text)
{
    Schedule schedule;
    std::istringstream input(text);
    std::string word;
    while (input >> word) {
        if (word == "seed") {
            input >> schedule.seed;
        } else if (word == "processes") {
            input >> schedule.processes;
        } else if (word == "at") {
            std::string name;
            std::int64_t at = 0;
            std::int64_t length = 0;
            Fault fault;
            input >> at >> name >> fault.target >> fault.otherTarget >> length;
            const auto kind = std::find(kindNames.begin(), kindNames.end(), name);
            if (kind == kindNames.end())
                return std::nullopt;
            fault.kind = static_cast<FaultKind>(kind - kindNames.begin());
            fault.at = milliseconds(at);
            fault.length = milliseconds(length);
            schedule.faults.push_back(fault);
        } else {
            return std::nullopt;
        }
        if (!input)
            return std::nullopt;
    }
    const bool isValid = schedule.processes >= 1 && schedule.processes <= 4;
    return isValid ? std::optional<Schedule>(schedule) : std::nullopt;
}

} // namespace kelptally::decision
