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

// What every daemon has around its own work: the administration port, the configuration in force,
// and the start and stop by signals. Its own work is on the admin thread.
class ProcessFrame
{
public:
    // The program and the metrics outlive the frame.
    ProcessFrame(std::string program, const settings::ProcessSettings &settings, Metrics &metrics,
                 FrameProgram &frameProgram,
                 const ConfigStoreFactory &makeStore = makePlatformConfigStore);
    ~ProcessFrame();
    ProcessFrame(const ProcessFrame &) = delete;
    ProcessFrame &operator=(const ProcessFrame &) = delete;

    // What the program passes the events of its links to. Its setLinks() is called once they are
    // made, before start(), and again with null before they are destroyed, after run().
    AdminPeers &peers() { return peers_; }
    settings::ConfigurationPtr configuration() const { return config_.current(); }

    // Opens the administration port and begins to look for a configuration.
    absl::Status start();
    // Blocks until SIGTERM or SIGINT, then until the program has drained. A second signal ends the
    // wait. Gives the exit code of the process.
    int run();

    // Port of the administration server; for tests, which start it on a free one.
    int adminPort() const { return server_.port(); }
    // Stops without draining: what is in progress is cut off.
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
