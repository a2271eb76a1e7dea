#pragma once

#include "inner/messages.h"
#include "settings/inventory.h"

#include <functional>

namespace kelptally::admin {

using OperatorReply = std::function<void(inner::OperatorAnswer)>;

// Interface through which ProcessFrame controls the program that it runs. Callable from any thread.
class FrameProgram
{
public:
    virtual ~FrameProgram() = default;

    // Puts a configuration version in force.
    virtual void install(settings::ConfigurationPtr configuration) = 0;
    // Returns whether the load balancer should send requests to this process.
    virtual bool ready() const = 0;
    // Starts a graceful stop: accepts no new work. drained() returns true when no work is left.
    virtual void drain() = 0;
    virtual bool drained() const = 0;
    // Executes an operator's call on this process; replies exactly once, on any thread.
    virtual void operate(const inner::OperatorRequest &request, OperatorReply reply) = 0;
    // Updates the gauges before the metrics are written.
    virtual void collect() { }
};

} // namespace kelptally::admin
