#pragma once

#include "bench/loadworker.h"

#include <memory>
#include <string>
#include <vector>

namespace kelptally::bench {

// Returns a name for a run, unique by the time of day.
std::string newRunName();

// Runs the workers of a load. The observer is called on the workers' threads.
class LoadRun
{
public:
    LoadRun(const LoadPlan &plan, std::string run, const LoadWorker::Observer &observer);

    void start();
    // Stops sending, waits up to the plan's requestTimeout for requests in flight and returns the
    // merged results.
    LoadResult finish();

private:
    const LoadPlan plan_;
    CounterLedger counter_;
    std::vector<std::unique_ptr<LoadWorker>> workers_;
};

} // namespace kelptally::bench
