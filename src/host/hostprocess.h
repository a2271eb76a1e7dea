#pragma once

#include "core/fieldreader.h"
#include "decision/stopplan.h"
#include "group/checkedconnector.h"
#include "group/grouphost.h"
#include "group/localreads.h"
#include "group/serverlist.h"
#include "host/configurationtimes.h"
#include "host/tablerelay.h"
#include "inner/peerlink.h"
#include "services/httpclient.h"
#include "services/storecircuitbreaker.h"
#include "session/callersession.h"
#include "session/router.h"
#include "settings/hostsettings.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace kelptally::host {

// Accepts callers' connections and holds their sessions.
class CallerConnections
{
public:
    virtual ~CallerConnections() = default;

    virtual void stopAccepting() = 0;
    // Closes at most maxCount sessions that have neither a statement nor a transaction open.
    virtual void closeIdle(std::size_t maxCount) = 0;
    // Closes each connection once every request that was read from it has been answered.
    virtual void closeAnswered() = 0;
    virtual std::size_t count() const = 0;
};

// A host's process: callers' sessions, the groups that it owns, and the links to other processes.
// Methods must be called on the duty thread or before it starts.
class HostProcess : public inner::PeerEvents
{
public:
    // Creates the links to other processes; called once by start().
    using MakeLinks = std::function<absl::StatusOr<std::unique_ptr<inner::PeerLinks>>(
        const ProcessId &self, std::function<ConfigVersion()> configVersion,
        inner::PeerEvents &events)>;

    struct Ports
    {
        // Distinguishes this run of the process from others at the same address.
        Incarnation incarnation = 0;
        TimerService &timers;
        MakeLinks makeLinks;
        group::FailoverController::Prober probe;
        services::TableService &table;
        services::TableFeed &feed;
        // Fails all open calls to `table` and `feed` and closes their connections.
        std::function<void()> cancelStoreCalls;
        group::ServerConnector &connector;
        group::PromotionService &promotions;
        EventLog &log;
        Metrics &metrics;
    };

    HostProcess(const settings::HostSettings &settings, const Ports &ports);
    ~HostProcess() override;

    // Returns an error when the links can't listen.
    absl::Status start(CallerConnections &callers);

    // Installs a configuration; one older than the current one is ignored.
    void onCatalogue(session::CataloguePtr catalogue, const ConfigurationArrival &arrival = {});
    group::ServerList &servers() { return serverList_; }
    // Handles an invalid server entry: the server counts as missing.
    void onServerRefused(const ServerName &server, const FieldError &error);

    // Changes of the table service's tables, from relays or by polling.
    services::TableFeed &feed() { return tableRelay_; }
    // Time since this host last knew the table to be current; no value if it never did.
    std::optional<Duration> confirmationAge(const std::string &table) const
    {
        return tableRelay_.confirmationAge(table);
    }

    struct OpenedSession
    {
        // Null when refused.
        std::shared_ptr<session::CallerSession> session;
        Reason refused = Reason::None;
    };

    // Refuses unknown databases and, where a key is required, keys of no organisation.
    OpenedSession openSession(const std::string &database, const Sha256Digest &key,
                              session::SessionOutput &output);
    // Whether a configuration has been read; before that every database is unknown.
    bool hasCatalogue() const { return catalogue_.get() != nullptr; }

    session::Router &router() { return *router_; }
    group::GroupHost &groups() { return *groups_; }

    // Empty when the host is ready for callers, else the reason why not.
    std::string notReady() const;

    // Reports a timer that fired at least minTimerLateness after it was due: the process stood
    // still or lacked processor time.
    void onTimerLate(Duration lateness);
    static constexpr Duration minTimerLateness = std::chrono::milliseconds(250);
    // Reports a connection to the store that was found silent.
    void onSilentStoreConnection(const services::SilentConnection &connection);

    // Applies the settings that may change at run time: grace and server-leave-time. A stop that
    // has begun may only become shorter.
    void reload(const settings::HostSettings &settings);

    // Starts a graceful stop; calls back when it is complete or the grace period is nearly over.
    void drain(std::function<void()> whenDone);

    const HostName &host() const { return settings_.host; }
    const ProcessId &self() const { return self_; }
    // Null before the first configuration.
    const session::Catalogue *catalogue() const { return catalogue_.get(); }
    bool isDraining() const { return draining_; }

    // Updates the gauges before the metrics are read.
    void collect();

    // PeerEvents
    void onPeerUp(inner::LinkId link, const inner::Hello &peer) override;
    void onPeerMessage(inner::LinkId link, inner::Message message) override;
    void onPeerDown(inner::LinkId link, const std::string &address,
                    const absl::Status &why) override;

private:
    void handle(inner::LinkId link, inner::RunStatement &message);
    void handle(inner::LinkId link, inner::StatementDone &message);
    void handle(inner::LinkId link, inner::EndTransaction &message);
    void handle(inner::LinkId link, inner::QuotaRequest &message);
    void handle(inner::LinkId link, inner::QuotaGrant &message);
    void handle(inner::LinkId link, inner::QuotaTransfer &message);
    void handle(inner::LinkId link, inner::AliveRequest &message);
    void handle(inner::LinkId link, inner::OwnershipEndRequest &message);
    void handle(inner::LinkId link, inner::OwnershipEnded &message);
    void handle(inner::LinkId link, inner::Stopping &message);
    void handle(inner::LinkId link, inner::TakeOver &message);
    void handle(inner::LinkId link, inner::Locate &message);
    void handle(inner::LinkId link, inner::LocateAnswer &message);
    void handle(inner::LinkId link, inner::SubscribeTables &message);
    void handle(inner::LinkId link, inner::TableUpdate &message);
    template <typename Other>
    void handle(inner::LinkId, Other &)
    { }

    void sendToSomePeers(std::size_t maxRecipients, const inner::Message &message);
    OpenedSession refuseSession(Reason reason);
    void closeStaleConnections(Instant since);
    void onOwnerChanged(const GroupName &group);
    void claimIfPrimaryInZone(const GroupName &group);
    void probeStore(std::function<void(bool)> callback);
    void onServers(const GroupName &group, const std::vector<group::ListedServer> &servers);
    bool isNamed(const GroupName &group) const;
    void noteReadiness();
    void drainStep();
    void giveFinalAnswers();
    void awaitClosed();
    void endDrain();
    void collectGroup(const inner::GroupStatus &group);
    void setGroupGauge(prometheus::Gauge &gauge, double value);

    settings::HostSettings settings_;
    const Ports ports_;
    const ProcessId self_;
    // The links as TableRelay uses them.
    class RelayLinks : public TableRelay::Links
    {
    public:
        explicit RelayLinks(HostProcess &host) : host_(host) { }

        void connect(const std::string &address) override { host_.links_->connect(address); }
        void drop(const std::string &address) override { host_.links_->drop(address); }
        absl::Status sendTo(const std::string &address, inner::Message message) override
        {
            return host_.links_->sendTo(address, std::move(message));
        }
        absl::Status sendOn(inner::LinkId link, inner::Message message) override
        {
            return host_.links_->sendOn(link, std::move(message));
        }
        bool isSameZone(inner::LinkId link) const override;

    private:
        HostProcess &host_;
    };

    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    session::StageTimes stageTimes_;
    ConfigurationTimes configurationTimes_;
    std::minstd_rand random_;
    services::StoreCircuitBreaker store_;
    RelayLinks relayLinks_ {*this};
    TableRelay tableRelay_;
    bool candidateUpdatePending_ = false;
    std::unique_ptr<inner::PeerLinks> links_;
    session::CurrentCatalogue catalogue_;
    prometheus::Counter &renotifiedGroups_;
    group::ServerList serverList_;
    std::unique_ptr<group::GroupHost> groups_;
    group::CheckedConnector connector_;
    group::LocalReads localReads_;
    std::unique_ptr<session::Router> router_;
    CallerConnections *callers_ = nullptr;
    std::map<inner::LinkId, std::string> linkAddresses_;
    // Last link used by sendToSomePeers().
    inner::LinkId lastRecipientLink_ = 0;
    // Linked processes that are not stopping, by address.
    std::map<std::string, inner::Hello> peers_;
    std::map<GroupName, ZoneName> primaryZones_;
    std::uint64_t lastSession_ = 0;
    bool draining_ = false;
    bool lastReady_ = false;
    Instant drainBegan_ {};
    decision::StopPlan stopPlan_;
    // Whether nothing was left to do at the last step.
    bool wasIdle_ = false;
    std::function<void()> whenDrained_;
    // Gauges of groups and servers set by the last collect(), which the next one resets.
    std::vector<prometheus::Gauge *> groupGauges_;
};

} // namespace kelptally::host
