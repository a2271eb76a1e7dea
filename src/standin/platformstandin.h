#pragma once

#include "core/dutythread.h"
#include "services/tableservice.h"

#include <memory>
#include <vector>

namespace kelptally::standin {

// In-memory stand-in for the platform's services on one port of 127.0.0.1: table service, object
// store and delayed host list, with fault injection over the same port. The protocol is in
// docs/STANDIN.md.
class PlatformStandin
{
public:
    // Port 0 selects a free port. Throws boost::system::system_error if the port can't be bound.
    // The thread must outlive the object. Destroy it on the thread or while the thread isn't
    // running.
    PlatformStandin(DutyThread &thread, int port);
    ~PlatformStandin();

    int port() const;

    // Sets the initial host list and the lag of later changes. Call it before the thread runs.
    void setHosts(std::vector<services::ListedHost> hosts, Duration lag);

private:
    class Server;
    std::shared_ptr<Server> server_;
};

} // namespace kelptally::standin
