#include "entry/entryprocess.h"

#include "caller/problem.h"
#include "inner/websocketlinks.h"
#include "services/httpservices.h"
#include "services/ownershiprow.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <random>

namespace kelptally::entry {

namespace {

Incarnation makeIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

caller::HttpLimits httpLimits(const settings::ProcessSettings &settings)
{
    caller::HttpLimits limits;
    limits.maxConnections = settings.maxCallerConnections;
    limits.maxBodyBytes = static_cast<std::size_t>(settings.maxRequestBytes);
    limits.readTimeout = settings.requestReadTimeout;
    return limits;
}

} // namespace

// Reads ownership rows from the table service.
class EntryProcess::TableServiceRowReader : public OwnershipRowReader
{
public:
    explicit TableServiceRowReader(services::TableService &table) : table_(table) { }

    void read(const GroupName &group, Callback callback) override
    {
        table_.read(services::ownershipTable, group, [callback = std::move(callback)](auto read) {
            if (!read.ok())
                return callback(read.status());
            if (!*read)
                return callback(std::optional<decision::OwnershipRow>());
            auto row = services::decodeOwnershipRow((*read)->value);
            if (!row.ok())
                return callback(row.status());
            callback(std::optional<decision::OwnershipRow>(*std::move(row)));
        });
    }

private:
    services::TableService &table_;
};

EntryProcess::EntryProcess(const settings::ProcessSettings &settings, Metrics &metrics)
    : settings_(settings), self_ {settings.peerAddress(), makeIncarnation()}, allMetrics_(metrics),
      metrics_(metrics), inbox_(requests_, *this, metrics_),
      server_(callers_, inbox_, httpLimits(settings),
              [this](Reason reason) { metrics_.countRefused(reason); }),
      api_(settings.tokenKey)
{ }

EntryProcess::~EntryProcess()
{
    stop();
}

absl::Status EntryProcess::start(admin::AdminPeers &peers)
{
    inner::PeerLinkOptions options;
    options.listenAddress = self_.address;
    options.self = self_;
    options.host = settings_.host;
    options.zone = settings_.zone;
    options.peerKey = settings_.peerKey;
    options.configVersion = [this] { return configVersion_.load(); };
    options.metrics = &allMetrics_;
    adminPeers_ = &peers;
    inbox_.setAdminPeers(&peers);
    auto links = inner::makePeerLinks(options, inbox_);
    if (!links.ok())
        return links.status();
    links_ = *std::move(links);
    peers.setLinks(links_.get());
    table_ = services::makeTableService(requests_, settings_.tableService, settings_.storeTimeout);
    rows_ = std::make_unique<TableServiceRowReader>(*table_);
    ownerLinks_ = std::make_unique<OwnerLinks>(*links_);
    directory_ = std::make_unique<OwnerDirectory>(requests_.timers(), *rows_, *ownerLinks_);
    dispatcher_ = std::make_unique<Dispatcher>(
        Dispatcher::Parts {requests_.timers(), *ownerLinks_, *directory_, metrics_,
                           settings_.tokenKey, std::random_device()()});
    const caller::HttpTls tls {settings_.tlsCertificate, settings_.tlsKey};
    const absl::Status listening = server_.listen(settings_.address, settings_.callerPort, tls);
    if (!listening.ok())
        return listening;
    requests_.start();
    callers_.start();
    LOG(INFO) << "event=entry_started address=" << self_.address
              << " caller_port=" << server_.port() << " zone=" << settings_.zone;
    return absl::OkStatus();
}

void EntryProcess::stop()
{
    callers_.stop();
    requests_.stop();
    if (adminPeers_)
        adminPeers_->setLinks(nullptr);
    adminPeers_ = nullptr;
    links_.reset();
    dispatcher_.reset();
    directory_.reset();
    ownerLinks_.reset();
    rows_.reset();
    table_.reset();
}

void EntryProcess::install(settings::ConfigurationPtr configuration)
{
    configVersion_ = configuration->version;
    boost::asio::post(requests_.context(), [this, configuration] { configure(configuration); });
}

void EntryProcess::configure(const settings::ConfigurationPtr &configuration)
{
    api_.configure(configuration);
    dispatcher_->configure(configuration->inventory.limits);
    std::vector<std::string> owners;
    for (const settings::Host &host : configuration->inventory.hosts)
        if (!host.ownerAddress.empty())
            owners.push_back(host.ownerAddress);
    ownerLinks_->setAddresses(owners);
    LOG(INFO) << "event=configuration_in_force version=" << configuration->version
              << " owners=" << owners.size();
    serving_ = true;
}

void EntryProcess::drain()
{
    if (draining_.exchange(true))
        return;
    LOG(INFO) << "event=drain_begins requests=" << inProgress_;
    server_.drain([this] { drained_ = true; });
}

void EntryProcess::operate(const inner::OperatorRequest &request, admin::OperatorReply reply)
{
    inner::OperatorAnswer answer;
    answer.requestId = request.requestId;
    answer.configVersion = configVersion_;
    if (request.command == inner::OperatorCommand::Drain)
        drain();
    if (request.command == inner::OperatorCommand::Promote)
        answer.reason = Reason::NotOwner;
    answer.draining = draining_;
    reply(std::move(answer));
}

void EntryProcess::collect()
{
    metrics_.setConnections(server_.connections());
    metrics_.setInFlight(inProgress_);
    metrics_.setOwnerLinks(connectedLinks_);
}

void EntryProcess::onArrival(Arrival arrival)
{
    const caller::ConnectionId connection = arrival.request.connection;
    AdmissionResult admitted = api_.admit(std::move(arrival.request));
    if (auto *problem = std::get_if<caller::Problem>(&admitted)) {
        metrics_.countRefused(problem->reason);
        return arrival.reply->send(caller::problemResponse(*problem));
    }
    dispatcher_->start(std::get<AdmittedRequest>(std::move(admitted)), std::move(arrival.reply),
                       connection, arrival.arrived);
    inProgress_ = dispatcher_->inProgress();
}

void EntryProcess::onCallerDisconnected(caller::ConnectionId connection)
{
    dispatcher_->onCallerDisconnected(connection);
    inProgress_ = dispatcher_->inProgress();
}

void EntryProcess::onPeerUp(inner::LinkId link, const std::string &address)
{
    ownerLinks_->onUp(link, address);
    connectedLinks_ = ownerLinks_->connectedCount();
}

void EntryProcess::onPeerMessage(inner::LinkId link, inner::Message message)
{
    if (auto *result = std::get_if<inner::ExecuteResult>(&message)) {
        dispatcher_->onResult(link, std::move(*result));
        inProgress_ = dispatcher_->inProgress();
    } else if (const auto *answer = std::get_if<inner::LocateAnswer>(&message)) {
        directory_->onLocateAnswer(*answer);
    } else if (const auto *request = std::get_if<inner::OperatorRequest>(&message)) {
        operate(*request, [this, link](inner::OperatorAnswer answered) {
            links_->sendOn(link, std::move(answered)).IgnoreError();
        });
    }
}

void EntryProcess::onPeerDown(inner::LinkId link)
{
    ownerLinks_->onDown(link);
    dispatcher_->onLinkDown(link);
    connectedLinks_ = ownerLinks_->connectedCount();
}

} // namespace kelptally::entry
