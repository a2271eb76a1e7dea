#pragma once

#include "host/hostprocess.h"
#include "modelregistry.h"

#include <random>

// A whole small deployment on a manual clock: hosts with the real process logic, a store, links and
// one group of servers, with faults that a test injects.
namespace kelptally::model {

class ModelCluster;

// The platform's rows, as all hosts share them.
struct ModelStore
{
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    std::map<std::string, std::map<std::string, Row>> tables;
    std::uint64_t version = 0;
    // Refuses every host.
    bool down = false;
    // Answers nobody, and what was asked meanwhile it never answers.
    bool silent = false;
    // Calls that have reached it, refused ones among them.
    int calls = 0;
    // Hosts, by address, that it does not answer.
    std::set<std::string> partitionedHosts;
    // Hosts, by address, that it refuses.
    std::set<std::string> refusedHosts;
    // Part of the writes that are done and not answered.
    double lostAnswerRate = 0;
    // Writes sent from now on take effect this much later; how many did or will.
    Duration writeDelay {0};
    int delayedWrites = 0;
};

struct ModelHost;

class ModelCluster
{
public:
    explicit ModelCluster(std::uint64_t seed, int hosts = 3);
    // Entries of servers may not tell when these started.
    ModelCluster(std::uint64_t seed, bool entriesHaveStart);
    // Hosts with these processor cores, as fractions.
    ModelCluster(std::uint64_t seed, const std::vector<double> &processors,
                 bool entriesHaveStart = true);
    ~ModelCluster();

    ManualTimerService timers;
    Violations violations;
    ModelGroup group {timers, "cases", violations};
    ModelStore store;
    const std::vector<double> processors;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<ModelHost>> hosts;

    void run(Duration time) { timers.advance(time); }
    // Runs until the condition holds; false when it does not within the time.
    bool runUntil(Duration time, const std::function<bool()> &condition);

    // Host faults, by index.
    void kill(std::size_t host);
    void restart(std::size_t host);
    void freeze(std::size_t host, Duration time);
    // Links between hosts that are open now carry nothing any more, and neither end is told.
    void silenceLinks();
    // Links between hosts that are open now deliver nothing for the time being, and neither end is
    // told.
    void delayLinks();
    // Whatever was sent on them, their ends included, arrives in its order, and they carry again.
    void deliverDelayed();
    // All links between hosts end; their processes live.
    void resetLinks();
    // The host reaches nothing and nothing reaches it.
    void partition(std::size_t host, bool partitioned);
    // The host reaches no other host, and the store and the servers as before.
    void partitionLinks(std::size_t host, bool partitioned);
    // The same, by a network that refuses connections: its open links end, and a probe of its
    // address, or by it, is answered as if nothing listened, though the process lives.
    void refuseLinks(std::size_t host, bool refused);
    // The store does not answer the host; all else is as before.
    void partitionFromStore(std::size_t host, bool partitioned);
    std::string address(std::size_t host) const;
    bool isUp(std::size_t host) const;
    // Index of the host that owns the group by the store's row; -1 when none.
    int owner() const;
    // Of that row.
    OwnerEpoch epoch() const;
    void list();
    // The same for one server.
    void relist(const ServerName &id);
    // What one host knows of owners.
    const kelptally::group::OwnershipTable &ownership(std::size_t host) const;
    // What one host knows of servers; and its configuration, which names one group more from then
    // on.
    kelptally::group::ServerList &servers(std::size_t host);
    void addGroup(std::size_t host, const GroupName &group);
    // From now on statements belong to one of so many organisations, by turns. The first one has a
    // quota of so many operations a second and at once, unless that is 0.
    // One host may hear nothing of it.
    void configureOrganisations(int organisations, double quota,
                                std::optional<std::size_t> except = {});
    // The server's entry is gone from the list.
    void unlist(const ServerName &server);
    // A planned stop of the host.
    void drain(std::size_t host);
    // From now on servers' entries lapse and return as they do on the platform, and each host reads
    // them for itself.
    void useRegistry(std::uint64_t seed);
    ModelRegistry &registry() { return *registry_; }
    // A line in every host's log, with the time of the model, when logs are wanted.
    void logToHosts(const std::string &what);

    struct Outcome
    {
        bool done = false;
        // Of the organisation that has a quota.
        bool quotaLimited = false;
        inner::StatementDone result;
    };
    using OutcomePtr = std::shared_ptr<Outcome>;

    // Statements at one host. Reads are checked when they are answered.
    OutcomePtr write(std::size_t host);
    // Of one organisation, by the configuration that the host has.
    OutcomePtr write(std::size_t host, int organisation);
    OutcomePtr read(std::size_t host, inner::ReadRule rule, Duration maxAge = {});
    // A transaction of one write, by its two statements.
    OutcomePtr begin(std::size_t host, std::uint64_t session);
    OutcomePtr commit(std::size_t host, std::uint64_t session);
    // Writes at a host again and again until one is acknowledged; how long that took.
    std::optional<Duration> timeToWrite(std::size_t host, Duration limit);

    // All hosts that are up know the owner that the store's row names.
    bool allHostsKnowOwner() const;

    // Everything that was said not to have run has not.
    void checkStatementResults();

    int acknowledged = 0;
    int refused = 0;
    int unknown = 0;
    int reads = 0;

    std::set<inner::LinkId> silentLinks;
    std::set<inner::LinkId> delayedLinks;

private:
    void closeLinks(ModelHost &host);
    // At once, or when delayed links deliver again.
    void deliverOrDelay(inner::LinkId link, std::function<void()> deliver);
    inner::RunStatement statement(const std::string &id);
    OutcomePtr runCommitting(std::size_t host, inner::RunStatement statement);
    // What hosts are configured with.
    std::shared_ptr<session::Catalogue> catalogue() const;
    friend struct ModelHost;
    void readRegistry(std::size_t host);

    std::unique_ptr<ModelRegistry> registry_;
    std::vector<std::function<void()>> delayedDeliveries_;
    int organisations_ = 0;
    double quota_ = 0;
    ConfigVersion version_ = 1;

    std::uint64_t lastStatement_ = 0;
    std::uint64_t lastRun_ = 1;
    std::vector<std::string> refusedIds_;
    std::vector<std::string> sentIds_;
    // Earlier runs of hosts: callbacks of theirs may still be on their way through the model.
    std::vector<std::unique_ptr<ModelHost>> previousRuns_;
};

} // namespace kelptally::model
