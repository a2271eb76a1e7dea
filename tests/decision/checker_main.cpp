#include "checkersimulation.h"
#include "detectionstudy.h"

#include <tclap/CmdLine.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

// Model checker: runs random fault schedules, or replays one from a file.
using namespace kelptally;
using namespace kelptally::decision;

namespace {

// Removes all faults that are not needed to reproduce the violation.
Schedule shrink(Schedule schedule, const CheckerOptions &options)
{
    for (std::size_t i = 0; i < schedule.faults.size();) {
        Schedule reduced = schedule;
        reduced.faults.erase(reduced.faults.begin() + static_cast<std::ptrdiff_t>(i));
        if (runSchedule(reduced, options).violation.empty())
            ++i;
        else
            schedule = std::move(reduced);
    }
    return schedule;
}

void printFailure(const Schedule &schedule, const CheckerOptions &options)
{
    const Schedule minimal = shrink(schedule, options);
    std::cout << "violation: " << runSchedule(minimal, options).violation << '\n'
              << toText(minimal) << std::flush;
}

struct Totals
{
    std::mutex mutex;
    std::size_t failed = 0;
    std::size_t acknowledged = 0;
    std::size_t notRun = 0;
    std::size_t claims = 0;
    std::size_t promotions = 0;
    Duration slowestResume {0};
};

void runRange(std::uint64_t first, std::uint64_t count, std::atomic<std::uint64_t> &next,
              const CheckerOptions &options, Totals &totals)
{
    for (std::uint64_t i = next++; i < count; i = next++) {
        const Schedule schedule = randomSchedule(first + i);
        const CheckerResult result = runSchedule(schedule, options);
        const std::lock_guard<std::mutex> lock(totals.mutex);
        totals.acknowledged += result.acknowledged;
        totals.notRun += result.notRun;
        totals.claims += result.claims;
        totals.promotions += result.promotions;
        totals.slowestResume = std::max(totals.slowestResume, result.resumedAfter);
        if (!result.violation.empty() && totals.failed++ < 3)
            printFailure(schedule, options);
    }
}

int replay(const std::string &file, CheckerOptions options)
{
    options.trace = &std::cout;
    std::ifstream input(file);
    std::stringstream text;
    text << input.rdbuf();
    const auto schedule = scheduleFromText(text.str());
    if (!input || !schedule) {
        std::cerr << "not a schedule: " << file << '\n';
        return 2;
    }
    const CheckerResult result = runSchedule(*schedule, options);
    std::cout << (result.violation.empty() ? "no violation" : result.violation) << '\n';
    return result.violation.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine(
        "Checks ownership, failover and confirmation with random fault schedules.");
    TCLAP::ValueArg<std::uint64_t> count("n", "schedules", "Number of schedules", false, 1000,
                                         "count", commandLine);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "First seed", false, 1, "seed", commandLine);
    TCLAP::ValueArg<unsigned> threads("t", "threads", "Number of threads, 1 to 4", false, 4,
                                      "count", commandLine);
    TCLAP::ValueArg<std::string> file("r", "replay", "File with the schedule to replay", false, "",
                                      "file", commandLine);
    TCLAP::ValueArg<std::string> disabledCheck("w", "without",
                                               "Check to disable: lease, incarnation,"
                                               " fence or majority",
                                               false, "", "check", commandLine);
    TCLAP::SwitchArg detection("d", "detection", "Measure false positives and detection times",
                               commandLine);
    commandLine.parse(argc, argv);
    if (detection.getValue()) {
        printDetectionStudy(std::cout, seed.getValue());
        return 0;
    }

    CheckerOptions options;
    options.ownership.lease = disabledCheck.getValue() != "lease";
    options.ownership.incarnation = disabledCheck.getValue() != "incarnation";
    options.failover.fence = disabledCheck.getValue() != "fence";
    options.requireMajority = disabledCheck.getValue() != "majority";
    if (file.isSet())
        return replay(file.getValue(), options);

    const auto startedAt = std::chrono::steady_clock::now();
    Totals totals;
    std::atomic<std::uint64_t> next {0};
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < std::min(4u, std::max(1u, threads.getValue())); ++i)
        workers.emplace_back(
            [&] { runRange(seed.getValue(), count.getValue(), next, options, totals); });
    for (std::thread &worker : workers)
        worker.join();
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - startedAt;
    std::cout << "schedules=" << count.getValue() << " failed=" << totals.failed
              << " acknowledged=" << totals.acknowledged << " not_run=" << totals.notRun
              << " claims=" << totals.claims << " primaries=" << totals.promotions
              << " slowest_resume_ms=" << toMilliseconds(totals.slowestResume)
              << " seconds=" << elapsed.count() << '\n';
    return totals.failed == 0 ? 0 : 1;
}
