#include "owner/heartbeatbatch.h"

namespace kelptally::owner {

void HeartbeatBatch::add(const ProcessId &to, inner::GroupHeartbeat heartbeat)
{
    if (byAddress_.empty())
        ports_.timers.subscribeAfter(Duration(0), [this] { flush(); });
    byAddress_[to.address].groups.push_back(std::move(heartbeat));
}

// Send errors are ignored: the request remains unanswered and is repeated with the next heartbeat.
void HeartbeatBatch::flush()
{
    for (auto &[address, heartbeat] : byAddress_) {
        heartbeat.from = ports_.self;
        heartbeat.configVersion = configVersion_;
        ports_.links.sendTo(address, std::move(heartbeat)).IgnoreError();
    }
    byAddress_.clear();
}

} // namespace kelptally::owner
