#pragma once

#include "admin/adminpeers.h"
#include "admin/configstore.h"
#include "core/metrics.h"
#include "decision/configpropagation.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace kelptally::admin {

// The configuration in force in this process, and what brings newer versions: notices of peers,
// polling of the table service, and the snapshot while that is down. Runs on the admin thread.
class ConfigService
{
public:
    using Subscriber = std::function<void(settings::ConfigurationPtr)>;

    ConfigService(DutyThread &thread, AdminPeers &peers, ConfigStore &store, Metrics &metrics);

    // Null as long as there is none; from any thread.
    settings::ConfigurationPtr current() const;

    // Called on the admin thread for each version put in force. Before start().
    void subscribe(Subscriber subscriber);
    void start();

    // On the admin thread.
    void onNotice(const std::string &peer, ConfigVersion version);
    // A version that this process has just seen accepted.
    void onAccepted(ConfigVersion version, const std::string &document);

private:
    void carryOut(const decision::ConfigActions &actions);
    void readNewestVersion();
    void readVersion(ConfigVersion version);
    void readSnapshot();
    void fetchFromPeer(const decision::FetchConfigFromPeer &action);
    void installVersion(const decision::InstallConfig &action);

    DutyThread &thread_;
    AdminPeers &peers_;
    ConfigStore &store_;
    prometheus::Gauge &versionGauge_;
    prometheus::Counter &rejected_;
    decision::ConfigPropagation propagation_;
    std::vector<Subscriber> subscribers_;
    mutable std::mutex mutex_;
    settings::ConfigurationPtr current_;
};

} // namespace kelptally::admin
