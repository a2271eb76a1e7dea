#include "admin/processframe.h"
#include "admin/startup.h"
#include "core/logging.h"
#include "owner/ownerprocess.h"

#include <glog/logging.h>

// kelptally-owner: serves the database groups that it owns.

int main(int argc, char **argv)
{
    using namespace kelptally;
    const admin::StartupResult start = admin::startUp(argc, argv, "Owns database groups");
    if (start.exitCode)
        return *start.exitCode;
    startLogging(argv[0], start.settings.logDirectory, start.settings.logLevel);

    Metrics metrics;
    owner::OwnerProcess process(start.settings, metrics);
    admin::ProcessFrame frame("kelptally-owner", start.settings, metrics, process);
    absl::Status status = process.start(&frame.peers());
    if (status.ok())
        status = frame.start();
    if (!status.ok()) {
        LOG(ERROR) << "event=start_failed cause=" << logValue(std::string(status.message()));
        return admin::exitFailed;
    }
    const int exitCode = frame.run();
    process.stop();
    return exitCode;
}
