#pragma once

#include "admin/adminhandler.h"
#include "admin/adminpeers.h"
#include "admin/configservice.h"
#include "admin/frameprogram.h"
#include "admin/operatorapi.h"
#include "admin/operatorcalls.h"
#include "caller/httpserver.h"
#include "core/dutythread.h"
#include "core/metrics.h"
#include "settings/processsettings.h"

#include <absl/status/status.h>

#include <atomic>
#include <memory>
#include <string>

namespace kelptally::admin {

using ConfigStoreFactory =
    std::function<std::unique_ptr<ConfigStore>(DutyThread &, const settings::ProcessSettings &)>;

// The parts common to all daemons: the administration port, the configuration in force, and start
// and stop by signals. It has a thread of its own, the admin thread.
class ProcessFrame
{
public:
    // The program and the metrics must outlive the frame.
    ProcessFrame(std::string program, const settings::ProcessSettings &settings, Metrics &metrics,
                 FrameProgram &frameProgram,
                 const ConfigStoreFactory &makeStore = makePlatformConfigStore);
    ~ProcessFrame();
    ProcessFrame(const ProcessFrame &) = delete;
    ProcessFrame &operator=(const ProcessFrame &) = delete;

    // Receives the events of the program's links. The program calls setLinks() on it after creating
    // the links and before start(), and again with null after run(), before destroying them.
    AdminPeers &peers() { return peers_; }
    settings::ConfigurationPtr configuration() const { return config_.current(); }

    // Opens the administration port and starts to obtain the configuration.
    absl::Status start();
    // Blocks until SIGTERM or SIGINT, then until the program has drained, a second signal arrives
    // or the drain times out. Returns the exit code of the process.
    int run();

    // Port that the administration server listens on; for tests that let the system choose it.
    int adminPort() const { return server_.port(); }
    // Stops without draining; work in progress is aborted.
    void stop();

private:
    std::string notReady() const;

    const std::string program_;
    const settings::ProcessSettings settings_;
    FrameProgram &frameProgram_;
    DutyThread thread_ {"admin"};
    std::unique_ptr<ConfigStore> store_;
    AdminPeers peers_;
    ConfigService config_;
    OperatorCalls calls_;
    OperatorApi api_;
    AdminHandler handler_;
    caller::HttpServer server_;
    std::atomic<bool> draining_ {false};
};

} // namespace kelptally::admin
