#pragma once

#include "admin/frameprogram.h"
#include "caller/httpserver.h"
#include "core/dutythread.h"
#include "entry/callerapi.h"
#include "entry/dispatcher.h"
#include "entry/requestinbox.h"
#include "services/tableservice.h"
#include "settings/processsettings.h"

#include <atomic>
#include <memory>

namespace kelptally::entry {

// The entry process. Threads: callers runs the HTTP server, requests runs the dispatcher and the
// table service client, and the peer links have a thread of their own.
class EntryProcess : public admin::FrameProgram, public RequestEvents
{
public:
    EntryProcess(const settings::ProcessSettings &settings, Metrics &metrics);
    ~EntryProcess() override;

    // Opens the peer and caller endpoints and starts the threads. peers receives the events of the
    // links and must stay valid until stop().
    absl::Status start(admin::AdminPeers &peers);
    // Stops without waiting for requests in progress.
    void stop();

    void install(settings::ConfigurationPtr configuration) override;
    bool ready() const override { return serving_ && !draining_; }
    void drain() override;
    bool drained() const override { return drained_; }
    void operate(const inner::OperatorRequest &request, admin::OperatorReply reply) override;
    void collect() override;

    void onArrival(Arrival arrival) override;
    void onCallerDisconnected(caller::ConnectionId connection) override;
    void onPeerUp(inner::LinkId link, const std::string &address) override;
    void onPeerMessage(inner::LinkId link, inner::Message message) override;
    void onPeerDown(inner::LinkId link) override;

    int callerPort() const { return server_.port(); }

private:
    class TableServiceRowReader;

    void configure(const settings::ConfigurationPtr &configuration);

    const settings::ProcessSettings settings_;
    const ProcessId self_;
    Metrics &allMetrics_;
    EntryMetrics metrics_;
    DutyThread callers_ {"callers"};
    DutyThread requests_ {"requests"};
    RequestInbox inbox_;
    caller::HttpServer server_;
    CallerApi api_;
    admin::AdminPeers *adminPeers_ = nullptr;
    std::unique_ptr<inner::PeerLinks> links_;
    // Accessed on the requests thread only while it runs.
    std::unique_ptr<services::TableService> table_;
    std::unique_ptr<OwnershipRowReader> rows_;
    std::unique_ptr<OwnerLinks> ownerLinks_;
    std::unique_ptr<OwnerDirectory> directory_;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::atomic<ConfigVersion> configVersion_ {0};
    std::atomic<std::size_t> inProgress_ {0};
    std::atomic<std::size_t> connectedLinks_ {0};
    std::atomic<bool> serving_ {false};
    std::atomic<bool> draining_ {false};
    std::atomic<bool> drained_ {false};
};

} // namespace kelptally::entry
