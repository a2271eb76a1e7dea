#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kelptally::decision {

enum class FaultKind {
    CrashProcess,
    PauseProcess,
    IsolateProcess,
    CutProcesses,
    CutServer,
    SlowServerLink,
    CutStore,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    KillServer,
    PauseServer,
    IsolateServer,
    CutReplication,
    ServerLeaving,
    HandOver,
    PromoteServer,
};
constexpr int faultKindCount = 17;

// One fault: what, when, to whom, for how long.
struct Fault
{
    // A target that is looked up when the fault strikes: the group's owner or its primary.
    static constexpr int ownerOrPrimary = 9;

    FaultKind kind = FaultKind::CrashProcess;
    std::chrono::milliseconds at {0};
    int target = 0;
    int otherTarget = 0;
    std::chrono::milliseconds length {0};
};

// Everything that decides one run of the checker: the same schedule gives the same run.
struct Schedule
{
    // Drives delays, losses and the clients' choices.
    std::uint64_t seed = 0;
    int processes = 3;
    std::vector<Fault> faults;
};

// Faults strike within this time; then all is healed.
constexpr std::chrono::milliseconds faultPeriod {7000};

// Any four numbers make a fault; a library's generator shrinks them.
Fault makeFault(std::uint32_t kind, std::uint32_t at, std::uint32_t targets, std::uint32_t length);
Schedule randomSchedule(std::uint64_t seed);

// One line for each fault; what toText() gives, fromText() takes.
std::string toText(const Schedule &schedule);
std::optional<Schedule> scheduleFromText(const std::string &text);

} // namespace kelptally::decision
