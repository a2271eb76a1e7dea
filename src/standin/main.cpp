#include "settings/inidocument.h"
#include "standin/faultcontrol.h"
#include "standin/platformsettings.h"
#include "standin/platformstandin.h"

#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

// kelptally-standin: runs stand-ins for database groups and platform services in one process, for
// demos, tests and benchmarks.

using namespace kelptally;
using namespace kelptally::standin;

namespace {

// Waits for SIGINT or SIGTERM; both must be blocked in all threads.
void waitForSignal(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
    LOG(INFO) << "event=stop signal=" << signal;
}

sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int run(const StandinSettings &settings, const PlatformSettings &platformSettings)
{
    const sigset_t signals = blockSignals();
    DatabaseGroups groups;
    for (const DatabaseGroupSettings &group : settings.groups) {
        groups.push_back(std::make_unique<DatabaseGroup>(group));
        groups.back()->start();
    }
    FaultControl control(settings.control, groups);
    control.start();
    DutyThread platformThread("platform");
    std::unique_ptr<PlatformStandin> platform;
    if (platformSettings.port) {
        platform = std::make_unique<PlatformStandin>(platformThread, *platformSettings.port);
        platform->setHosts(platformSettings.hosts, platformSettings.hostLag);
    }
    platformThread.start();
    LOG(INFO) << "event=started groups=" << groups.size() << " control=" << control.port();
    waitForSignal(signals);
    platformThread.stop();
    control.stop();
    for (const auto &group : groups)
        group->stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    try {
        TCLAP::CmdLine line("Stand-ins for database groups and the platform", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> fileArgument("s", "settings", "INI file", true, "", "file",
                                                  line);
        TCLAP::SwitchArg checkArgument("c", "check", "Check the file and exit", line);
        line.parse(argc, argv);

        settings::Findings findings;
        const std::string &path = fileArgument.getValue();
        const std::string text = settings::readFile(path, findings);
        const StandinSettings settings = parseStandinSettings(path, text, findings);
        const PlatformSettings platform = parsePlatformSettings(path, text, findings);
        std::cerr << findings.toText();
        if (!findings.empty() || checkArgument.getValue())
            return findings.empty() ? 0 : 1;
        return run(settings, platform);
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.error() << " for " << error.argId() << "\n";
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
    }
    return 1;
}
