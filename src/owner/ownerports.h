#pragma once

#include "backend/backendserver.h"
#include "core/timerservice.h"
#include "inner/peerlink.h"
#include "services/tableservice.h"
#include "settings/inventory.h"

#include <functional>
#include <memory>

namespace kelptally::owner {

class OwnerMetrics;

using ServerFactory =
    std::function<std::shared_ptr<backend::BackendServer>(const backend::ServerEndpoint &)>;

// External interfaces of an owner process. All but the links are used on the groups thread only.
struct OwnerPorts
{
    TimerService &timers;
    inner::PeerLinks &links;
    services::TableService &table;
    ServerFactory makeServer;
    OwnerMetrics &metrics;
    ProcessId self;
    HostName host;
    // Availability zone of the host.
    ZoneName zone;
};

} // namespace kelptally::owner
