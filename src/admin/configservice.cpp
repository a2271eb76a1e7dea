#include "admin/configservice.h"

#include "core/logging.h"

#include <glog/logging.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <random>

namespace kelptally::admin {

namespace {

// An entry and an owner run on each host; both poll the store.
constexpr std::size_t processesPerHost = 2;

} // namespace

ConfigService::ConfigService(DutyThread &thread, AdminPeers &peers, ConfigStore &store,
                             Metrics &metrics)
    : thread_(thread), peers_(peers), store_(store),
      versionGauge_(
          metrics.gauge("kelptally_config_version", "Configuration version in force; 0 for none")),
      rejected_(metrics.counter("kelptally_config_rejected_total",
                                "Accepted versions that this build can't read")),
      propagation_(std::random_device()())
{ }

settings::ConfigurationPtr ConfigService::current() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return current_;
}

void ConfigService::subscribe(Subscriber subscriber)
{
    subscribers_.push_back(std::move(subscriber));
}

void ConfigService::start()
{
    boost::asio::post(thread_.context(), [this] {
        performAll(propagation_.start(thread_.timers().now()));
        thread_.timers().subscribeEvery(decision::ConfigPropagation::tickPeriod, [this] {
            performAll(propagation_.onTick(thread_.timers().now()));
        });
    });
}

void ConfigService::onNotice(const std::string &peer, ConfigVersion version)
{
    performAll(propagation_.onNotice(thread_.timers().now(), peer, version));
}

void ConfigService::onAccepted(ConfigVersion version, const std::string &document)
{
    performAll(propagation_.onDocument(thread_.timers().now(), version, document));
}

void ConfigService::performAll(const decision::ConfigActions &actions)
{
    for (const decision::ConfigAction &action : actions) {
        if (std::holds_alternative<decision::ReadNewestConfigVersion>(action))
            readNewestVersion();
        else if (const auto *read = std::get_if<decision::ReadConfigDocument>(&action))
            readVersion(read->version);
        else if (std::holds_alternative<decision::ReadConfigSnapshot>(action))
            readSnapshot();
        else if (const auto *fetch = std::get_if<decision::FetchConfigFromPeer>(&action))
            fetchFromPeer(*fetch);
        else if (const auto *announce = std::get_if<decision::AnnounceConfig>(&action))
            peers_.announce(announce->version);
        else if (const auto *install = std::get_if<decision::InstallConfig>(&action))
            installVersion(*install);
        else if (const auto *update = std::get_if<decision::UpdateConfigSnapshot>(&action))
            store_.updateSnapshot(update->version);
        else if (const auto *mismatch = std::get_if<decision::ReportConfigMismatch>(&action))
            LOG(ERROR) << "event=config_mismatch version=" << mismatch->version
                       << " cause=\"another document under the version in force\"";
    }
}

void ConfigService::readNewestVersion()
{
    store_.readNewestVersion([this](absl::StatusOr<ConfigVersion> newest) {
        const Instant now = thread_.timers().now();
        performAll(newest.ok() ? propagation_.onNewestVersion(now, *newest)
                               : propagation_.onStoreFailed(now));
    });
}

void ConfigService::readVersion(ConfigVersion version)
{
    store_.readVersion(
        version, [this, version](absl::StatusOr<std::optional<ConfigRecord>> record) {
            const Instant now = thread_.timers().now();
            if (record.ok() && *record && (*record)->version == version)
                performAll(propagation_.onDocument(now, version, (*record)->document));
            else
                performAll(propagation_.onStoreFailed(now));
        });
}

void ConfigService::readSnapshot()
{
    store_.readSnapshot([this](absl::StatusOr<std::optional<ConfigRecord>> record) {
        if (record.ok() && *record)
            performAll(propagation_.onDocument(thread_.timers().now(), (*record)->version,
                                               (*record)->document));
    });
}

void ConfigService::fetchFromPeer(const decision::FetchConfigFromPeer &action)
{
    peers_.fetchConfig(action.address, action.minVersion,
                       [this, peer = action.address](absl::StatusOr<inner::ConfigAnswer> answer) {
                           const Instant now = thread_.timers().now();
                           if (answer.ok() && answer->version > 0)
                               performAll(
                                   propagation_.onDocument(now, answer->version, answer->document));
                           else
                               performAll(propagation_.onPeerFailed(now, peer));
                       });
}

// Rejects a version that this build cannot parse, for example one for a newer build; the previous
// version stays in force.
void ConfigService::installVersion(const decision::InstallConfig &action)
{
    settings::Findings findings;
    auto configuration = std::make_shared<settings::Configuration>();
    configuration->version = action.version;
    configuration->document = action.document;
    configuration->inventory = settings::parseInventory("version " + std::to_string(action.version),
                                                        action.document, findings);
    if (!findings.empty()) {
        rejected_.Increment();
        LOG(ERROR) << "event=config_rejected version=" << action.version
                   << " mistakes=" << findings.all().size() << " first="
                   << logValue(findings.all().front().key + ": " + findings.all().front().problem);
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        current_ = configuration;
    }
    propagation_.setProcessCount(processesPerHost * configuration->inventory.hosts.size());
    versionGauge_.Set(static_cast<double>(action.version));
    LOG(INFO) << "event=config_in_force version=" << action.version
              << " groups=" << configuration->inventory.groups.size()
              << " hosts=" << configuration->inventory.hosts.size();
    for (const Subscriber &subscriber : subscribers_)
        subscriber(configuration);
}

} // namespace kelptally::admin
