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

// What the parts of an owner process reach the world through. Everything but the links is used on
// the groups thread only.
struct OwnerPorts
{
    TimerService &timers;
    inner::PeerLinks &links;
    services::TableService &table;
    ServerFactory makeServer;
    OwnerMetrics &metrics;
    // This process, its host and its availability zone.
    ProcessId self;
    HostName host;
    ZoneName zone;
};

} // namespace kelptally::owner
