#pragma once

#include "core/dutythread.h"
#include "services/tableservice.h"

#include <memory>
#include <vector>

namespace kelptally::standin {

// A small stand-in of the platform on one port of 127.0.0.1: table service, object store and the
// lagging host list, all in memory, with faults that are set over the same port. docs/STANDIN.md
// gives the protocol.
class PlatformStandin
{
public:
    // Port 0 takes a free one. Throws boost::system::system_error when the port cannot be had. The
    // thread outlives it; it is destroyed while the thread does not run, or on it.
    PlatformStandin(DutyThread &thread, int port);
    ~PlatformStandin();

    int port() const;

    // The list at start, and the lag of later changes. Called before the thread runs.
    void setHosts(std::vector<services::ListedHost> hosts, Duration lag);

private:
    class Server;
    std::shared_ptr<Server> server_;
};

} // namespace kelptally::standin
