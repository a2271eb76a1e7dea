#pragma once

#include "core/timerservice.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace kelptally {

// What an attempt to open a TCP connection tells of the process at the other end.
enum class ProbeOutcome {
    // Something listens there.
    Accepted,
    // The machine answers and nothing listens: the process that listened there is gone.
    Refused,
    // No answer in time: gone, cut off, or the network is.
    Silent,
};

// Opens a TCP connection to "ip:port" and closes it at once. Calls back exactly once, on the
// context's thread.
void probeTcp(boost::asio::io_context &context, TimerService &timers, const std::string &address,
              Duration timeout, std::function<void(ProbeOutcome)> callback);

} // namespace kelptally
