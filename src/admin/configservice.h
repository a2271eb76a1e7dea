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

// Holds the configuration in force in this process and obtains newer versions: from peers' notices,
// by polling the table service, and from the snapshot while the service is down. Runs on the admin
// thread.
class ConfigService
{
public:
    using Subscriber = std::function<void(settings::ConfigurationPtr)>;

    ConfigService(DutyThread &thread, AdminPeers &peers, ConfigStore &store, Metrics &metrics);

    // Returns null until a version is in force. Callable from any thread.
    settings::ConfigurationPtr current() const;

    // The subscriber is called on the admin thread for each version put in force. Must be called
    // before start().
    void subscribe(Subscriber subscriber);
    void start();

    // Both are called on the admin thread.
    void onNotice(const std::string &peer, ConfigVersion version);
    // Reports a version that the store has just accepted from this process.
    void onAccepted(ConfigVersion version, const std::string &document);

private:
    void performAll(const decision::ConfigActions &actions);
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
