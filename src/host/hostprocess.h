#pragma once

#include "core/fieldreader.h"
#include "group/grouphost.h"
#include "group/nearreads.h"
#include "group/serverlist.h"
#include "host/tablenews.h"
#include "inner/peerlink.h"
#include "services/storecircuitbreaker.h"
#include "session/callersession.h"
#include "session/router.h"
#include "settings/hostsettings.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace kelptally::host {

// What the process asks of whatever accepts callers' connections.
class CallerConnections
{
public:
    virtual ~CallerConnections() = default;

    virtual void stopAccepting() = 0;
    // Closes the sessions that have neither a statement nor a transaction open, at most so many.
    virtual void closeIdle(std::size_t most) = 0;
    virtual std::size_t count() const = 0;
};

// Entry and owner in one process, on one thread: callers' sessions, the groups that it owns, and
// the links to the other processes. Everything is called on the duty thread, or before it starts.
class HostProcess : public inner::PeerEvents
{
public:
    // Makes the links to other processes; called once, at the start.
    using MakeLinks = std::function<absl::StatusOr<std::unique_ptr<inner::PeerLinks>>(
        const ProcessId &self, std::function<ConfigVersion()> configVersion,
        inner::PeerEvents &events)>;

    struct Ports
    {
        // Tells this run of the process from every other at its address.
        Incarnation incarnation = 0;
        TimerService &timers;
        MakeLinks makeLinks;
        group::FailoverController::Prober probe;
        services::TableService &table;
        services::TableFeed &feed;
        // Ends all calls that are open at the two, and closes their connections.
        std::function<void()> giveUpStoreCalls;
        group::ServerConnector &connector;
        group::PromotionService &promotions;
        EventLog &log;
        Metrics &metrics;
    };

    HostProcess(const settings::HostSettings &settings, const Ports &ports);
    ~HostProcess() override;

    // Fails when the links cannot listen.
    absl::Status start(CallerConnections &callers);

    // A configuration was read; older ones are ignored.
    void onCatalogue(session::CataloguePtr catalogue);
    group::ServerList &servers() { return serverList_; }
    // A server's entry that can't be understood names no server.
    void onServerRefused(const ServerName &server, const FieldError &error);

    // The changes of the table service's tables, as few hosts ask for them and tell the others.
    services::TableFeed &feed() { return news_; }

    struct OpenedSession
    {
        // Null when it is refused.
        std::shared_ptr<session::CallerSession> session;
        Reason refused = Reason::None;
    };

    // Refused when the configuration has no such database, or no organisation has the key.
    OpenedSession openSession(const std::string &database, const Sha256Digest &key,
                              session::SessionOutput &output);
    // Whether anything is known yet, so that unknown databases can be told from early callers.
    bool knowsCatalogue() const { return catalogue_.get() != nullptr; }

    session::Router &router() { return *router_; }
    group::GroupHost &groups() { return *groups_; }

    // Empty when the balancer should send callers here, else why not.
    std::string notReady() const;

    // Takes over the grace of a stop and the time that leaving servers have.
    void reload(const settings::HostSettings &settings);

    // Graceful stop: calls back when nothing is left, or the grace is nearly over.
    void drain(std::function<void()> whenDone);

    const HostName &host() const { return settings_.host; }
    const ProcessId &self() const { return self_; }
    // Null before the first one.
    const session::Catalogue *catalogue() const { return catalogue_.get(); }
    bool isDraining() const { return draining_; }

    // Brings gauges up to date before the metrics are read.
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
    void handle(inner::LinkId link, inner::AliveRequest &message);
    void handle(inner::LinkId link, inner::OwnershipEndRequest &message);
    void handle(inner::LinkId link, inner::OwnershipEnded &message);
    void handle(inner::LinkId link, inner::Stopping &message);
    void handle(inner::LinkId link, inner::TakeOver &message);
    void handle(inner::LinkId link, inner::Locate &message);
    void handle(inner::LinkId link, inner::LocateAnswer &message);
    void handle(inner::LinkId link, inner::FollowTables &message);
    void handle(inner::LinkId link, inner::TableNews &message);
    template <typename Other>
    void handle(inner::LinkId, Other &)
    { }

    void sendToSome(std::size_t most, const inner::Message &message);
    OpenedSession refuseSession(Reason reason);
    void onSilence(Instant since);
    void onOwnerChanged(const GroupName &group);
    void wantOwner(const GroupName &group);
    void probeStore(std::function<void(bool)> callback);
    void onServers(const GroupName &group, const std::vector<group::ListedServer> &servers);
    bool isNamed(const GroupName &group) const;
    void noteReadiness();
    void drainStep();
    void collectGroup(const inner::GroupStatus &group);
    void setGroupGauge(prometheus::Gauge &gauge, double value);

    settings::HostSettings settings_;
    const Ports ports_;
    const ProcessId self_;
    // The links as the news of tables use them.
    class NewsLinks : public TableNews::Links
    {
    public:
        explicit NewsLinks(HostProcess &host) : host_(host) { }

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
        bool isNear(inner::LinkId link) const override;

    private:
        HostProcess &host_;
    };

    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    session::StageTimes times_;
    std::minstd_rand random_;
    services::StoreCircuitBreaker store_;
    NewsLinks newsLinks_ {*this};
    TableNews news_;
    bool candidatesChanged_ = false;
    std::unique_ptr<inner::PeerLinks> links_;
    session::CurrentCatalogue catalogue_;
    prometheus::Counter &retoldVisits_;
    group::ServerList serverList_;
    std::unique_ptr<group::GroupHost> groups_;
    group::NearReads near_;
    std::unique_ptr<session::Router> router_;
    CallerConnections *callers_ = nullptr;
    std::map<inner::LinkId, std::string> linkAddresses_;
    // The last one that was asked for something that any may answer.
    inner::LinkId lastAskedLink_ = 0;
    // Processes that a link is up with and that are not being stopped.
    std::map<std::string, inner::Hello> peers_;
    std::map<GroupName, ZoneName> primaryZones_;
    std::uint64_t lastSession_ = 0;
    bool draining_ = false;
    bool lastReady_ = false;
    Instant drainBegan_ {};
    std::function<void()> whenDrained_;
    // Gauges of groups and servers that were set last; they go down with their group.
    std::vector<prometheus::Gauge *> groupGauges_;
};

} // namespace kelptally::host
