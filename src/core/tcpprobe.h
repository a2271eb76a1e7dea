#pragma once

#include "core/timerservice.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace kelptally {

// Outcome of an attempt to open a TCP connection.
enum class ProbeOutcome {
    // The connection was established.
    Accepted,
    // The connection was refused: the machine is up but no process listens on the port.
    Refused,
    // Timeout or any other error: the machine is down or unreachable.
    Silent,
};

// Opens a TCP connection to "ip:port" and closes it at once. Calls back exactly once, on the
// context's thread. An invalid address yields ProbeOutcome::Silent.
void probeTcp(boost::asio::io_context &context, TimerService &timers, const std::string &address,
              Duration timeout, std::function<void(ProbeOutcome)> callback);

} // namespace kelptally
