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

// A fault that is injected at a time and lasts for a length of time.
struct Fault
{
    // Target value: the group's owner or primary at the time of the fault.
    static constexpr int ownerOrPrimary = 9;

    FaultKind kind = FaultKind::CrashProcess;
    std::chrono::milliseconds at {0};
    int target = 0;
    int otherTarget = 0;
    std::chrono::milliseconds length {0};
};

// Complete input of one run of the checker; equal schedules give equal runs.
struct Schedule
{
    // Determines delays, losses and the choices of the client.
    std::uint64_t seed = 0;
    int processes = 3;
    std::vector<Fault> faults;
};

// Faults are injected within this time; afterwards all of them are ended.
constexpr std::chrono::milliseconds faultPeriod {7000};

// Maps any four numbers to a fault, so that RapidCheck can generate and shrink faults.
Fault makeFault(std::uint32_t kind, std::uint32_t at, std::uint32_t targets, std::uint32_t length);
Schedule randomSchedule(std::uint64_t seed);

// Text form with one line for each fault. scheduleFromText() returns nothing for malformed text.
std::string toText(const Schedule &schedule);
std::optional<Schedule> scheduleFromText(const std::string &text);

} // namespace kelptally::decision
