#pragma once

#include "decision/ownership.h"
#include "owner/ownerports.h"

#include <map>

namespace kelptally::owner {

// Collects the lease requests of all groups of this process to the same successor and sends them as
// one message. Must live until the timers stop.
class HeartbeatBatch
{
public:
    explicit HeartbeatBatch(OwnerPorts &ports) : ports_(ports) { }

    void setConfigVersion(ConfigVersion version) { configVersion_ = version; }

    // Adds a request to the batch, which is sent from the event loop after the caller returns.
    void add(const ProcessId &to, inner::GroupHeartbeat heartbeat);

private:
    void flush();

    OwnerPorts &ports_;
    ConfigVersion configVersion_ = 0;
    std::map<std::string, inner::Heartbeat> byAddress_;
};

} // namespace kelptally::owner
