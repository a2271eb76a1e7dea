#include "admin/processframe.h"
#include "admin/startup.h"
#include "core/logging.h"
#include "entry/entryprocess.h"

#include <glog/logging.h>

// kelptally-entry: accepts callers' connections and forwards their requests to the owners of the
// database groups.
int main(int argc, char **argv)
{
    using namespace kelptally;

    const admin::StartupResult startUp =
        admin::startUp(argc, argv, "Terminates callers' connections and admits their requests");
    if (startUp.exitCode)
        return *startUp.exitCode;
    startLogging("kelptally-entry", startUp.settings.logDirectory, startUp.settings.logLevel);

    Metrics metrics;
    entry::EntryProcess entry(startUp.settings, metrics);
    admin::ProcessFrame frame("kelptally-entry", startUp.settings, metrics, entry);
    absl::Status started = entry.start(frame.peers());
    if (started.ok())
        started = frame.start();
    if (!started.ok()) {
        LOG(ERROR) << "event=start_failed cause=\"" << started.message() << '"';
        return admin::exitFailed;
    }
    const int exitCode = frame.run();
    entry.stop();
    return exitCode;
}
