#pragma once

#include "admin/adminpeers.h"
#include "admin/frameprogram.h"
#include "core/dutythread.h"
#include "core/metrics.h"
#include "owner/groupdirectory.h"
#include "owner/ownermetrics.h"
#include "owner/peerinbox.h"
#include "settings/processsettings.h"

#include <absl/status/status.h>

#include <atomic>
#include <memory>

namespace kelptally::owner {

// An owner process. Peer links have a thread of their own; decisions, connections to backend
// servers and platform calls run on the groups thread.
class OwnerProcess : public admin::FrameProgram
{
public:
    // The metrics must outlive the process.
    OwnerProcess(settings::ProcessSettings settings, Metrics &metrics);
    ~OwnerProcess() override;
    OwnerProcess(const OwnerProcess &) = delete;
    OwnerProcess &operator=(const OwnerProcess &) = delete;

    // Starts the links and the groups thread. If adminPeers is set, it receives the links and their
    // events. Returns an error if the links cannot listen.
    absl::Status start(admin::AdminPeers *adminPeers = nullptr);
    // Stops at once without a hand-over; call drain() first for a graceful stop.
    void stop();

    void install(settings::ConfigurationPtr configuration) override;
    // Whether a configuration was installed.
    bool ready() const override { return ready_; }
    // Starts to hand over all groups; drained() returns true once no group is served any more.
    void drain() override;
    bool drained() const override { return drained_; }
    void operate(const inner::OperatorRequest &request, admin::OperatorReply reply) override;

    const ProcessId &self() const { return self_; }

private:
    void startGroups();
    void tick();
    void fetchHosts();

    const settings::ProcessSettings settings_;
    const ProcessId self_;
    Metrics &metrics_;
    OwnerMetrics ownerMetrics_;
    DutyThread groupsThread_ {"groups"};
    PeerInbox inbox_;
    std::unique_ptr<inner::PeerLinks> links_;
    // Used and destroyed on the groups thread or while it is stopped.
    std::unique_ptr<services::TableService> table_;
    std::unique_ptr<services::HostList> hostList_;
    std::unique_ptr<OwnerPorts> ports_;
    std::unique_ptr<GroupDirectory> directory_;
    admin::AdminPeers *adminPeers_ = nullptr;
    bool fetchingHosts_ = false;
    bool started_ = false;
    std::atomic<bool> drained_ {false};
    std::atomic<bool> ready_ {false};
    std::atomic<ConfigVersion> configVersion_ {0};
};

} // namespace kelptally::owner
