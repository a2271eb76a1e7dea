#include "owner/ownerprocess.h"

#include "backend/postgresserver.h"
#include "inner/websocketlinks.h"
#include "services/httpservices.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace kelptally::owner {

namespace {

constexpr std::size_t inboxCapacity = 1u << 16;
// The platform updates its list only every few seconds.
constexpr Duration hostListPeriod = std::chrono::seconds(2);

Incarnation makeIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace

OwnerProcess::OwnerProcess(settings::ProcessSettings settings, Metrics &metrics)
    : settings_(std::move(settings)), self_ {settings_.peerAddress(), makeIncarnation()},
      metrics_(metrics), ownerMetrics_(metrics), inbox_(groupsThread_, inboxCapacity, ownerMetrics_)
{ }

OwnerProcess::~OwnerProcess()
{
    stop();
}

absl::Status OwnerProcess::start(admin::AdminPeers *adminPeers)
{
    adminPeers_ = adminPeers;
    inbox_.setAdminPeers(adminPeers);
    inner::PeerLinkOptions options;
    options.listenAddress = self_.address;
    options.self = self_;
    options.host = settings_.host;
    options.zone = settings_.zone;
    options.peerKey = settings_.peerKey;
    options.configVersion = [this] { return configVersion_.load(); };
    options.metrics = &metrics_;
    auto links = inner::makePeerLinks(options, inbox_);
    if (!links.ok())
        return links.status();
    links_ = std::move(*links);
    table_ =
        services::makeTableService(groupsThread_, settings_.tableService, settings_.storeTimeout);
    hostList_ = services::makeHostList(groupsThread_, settings_.hostList, settings_.storeTimeout);
    if (adminPeers_)
        adminPeers_->setLinks(links_.get());
    startGroups();
    started_ = true;
    LOG(INFO) << "event=owner_started address=" << self_.address
              << " incarnation=" << self_.incarnation << " zone=" << settings_.zone;
    return absl::OkStatus();
}

void OwnerProcess::startGroups()
{
    const ServerFactory makeServer = [this](const backend::ServerEndpoint &endpoint) {
        return std::shared_ptr<backend::BackendServer>(
            backend::makePostgresServer(groupsThread_, endpoint));
    };
    ports_ = std::make_unique<OwnerPorts>(OwnerPorts {groupsThread_.timers(), *links_, *table_,
                                                      makeServer, ownerMetrics_, self_,
                                                      settings_.host, settings_.zone});
    directory_ = std::make_unique<GroupDirectory>(*ports_);
    inbox_.connect(links_.get(), directory_.get());
    boost::asio::post(groupsThread_.context(), [this] {
        groupsThread_.timers().subscribeEvery(GroupRuntime::tickPeriod, [this] { tick(); });
        groupsThread_.timers().subscribeEvery(hostListPeriod, [this] { fetchHosts(); });
    });
    groupsThread_.start();
}

void OwnerProcess::stop()
{
    if (!started_)
        return;
    started_ = false;
    groupsThread_.stop();
    inbox_.disconnect();
    if (adminPeers_)
        adminPeers_->setLinks(nullptr);
    directory_.reset();
    links_.reset();
    hostList_.reset();
    table_.reset();
}

void OwnerProcess::tick()
{
    directory_->tick();
    if (directory_->draining())
        drained_ = directory_->drained();
}

void OwnerProcess::fetchHosts()
{
    if (fetchingHosts_)
        return;
    fetchingHosts_ = true;
    hostList_->fetch([this](absl::StatusOr<std::vector<services::ListedHost>> listed) {
        fetchingHosts_ = false;
        if (!listed.ok())
            return;
        std::vector<HostName> live;
        std::vector<HostName> leaving;
        for (const services::ListedHost &host : *listed)
            (host.state == services::HostState::Live ? live : leaving).push_back(host.name);
        directory_->onHostList(live, leaving);
    });
}

void OwnerProcess::install(settings::ConfigurationPtr configuration)
{
    configVersion_ = configuration->version;
    boost::asio::post(groupsThread_.context(), [this, configuration] {
        directory_->configure(configuration);
        ready_ = true;
    });
}

void OwnerProcess::operate(const inner::OperatorRequest &request, admin::OperatorReply reply)
{
    boost::asio::post(groupsThread_.context(), [this, request, reply = std::move(reply)] {
        reply(directory_->operate(request));
    });
}

void OwnerProcess::drain()
{
    boost::asio::post(groupsThread_.context(), [this] { directory_->drain(); });
}

} // namespace kelptally::owner
