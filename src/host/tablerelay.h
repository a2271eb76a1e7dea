#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "decision/relaychoice.h"
#include "inner/peerlink.h"
#include "services/tableservice.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace kelptally::host {

// The changes of the table service's tables as one host hears them. Few hosts, the tellers, ask the
// service; the others listen to them over the links between hosts, and ask for themselves only when
// what they have heard is too old to prove that nothing has changed since.
//
// Every host still judges by itself: news count by their version, and prove something only with the
// service's own clock beside it. Late news, and such as overtake each other, change nothing.
class TableRelay : public services::TableFeed
{
public:
    // How the hosts reach each other.
    class Links
    {
    public:
        virtual ~Links() = default;

        virtual void connect(const std::string &address) = 0;
        virtual void drop(const std::string &address) = 0;
        virtual absl::Status sendTo(const std::string &address, inner::Message message) = 0;
        virtual absl::Status sendOn(inner::LinkId link, inner::Message message) = 0;
        // Whether the other end is in this host's zone, where bytes cost nothing.
        virtual bool isSameZone(inner::LinkId link) const = 0;
    };

    struct Parts
    {
        TimerService &timers;
        services::TableFeed &store;
        Links &links;
        EventLog &log;
        Metrics &metrics;
        std::string self;
        std::string zone;
        // The table that tells who may be a teller.
        std::string candidateTable;
        // This host has room for groups, so that it should claim some at a cold start.
        bool hasCapacity = true;
        // Between 0 and 1, another one each time and for each host.
        std::function<double()> draw;
    };

    explicit TableRelay(const Parts &parts);
    ~TableRelay() override;

    void snapshot(const std::string &table, services::SnapshotCallback callback) override;
    void changes(const std::string &table, std::uint64_t after, Duration wait,
                 services::ChangesCallback callback) override;

    // The hosts that may be tellers, as far as they are known; called again when they change. They
    // stay where they are.
    void setCandidates(const decision::RelayOrder &candidates);

    void onLinkUp(const std::string &address);
    void onLinkDown(inner::LinkId link);
    // From a listener, and from a teller.
    void onSubscribe(inner::LinkId link, const inner::SubscribeTables &request);
    void onUpdate(const std::string &from, const inner::TableUpdate &update);

    // Whether this host asks the service for itself and others.
    bool isRelay() const { return isChosenRelay_ || !subscribers_.empty(); }

private:
    // A change as it is kept for listeners. The value of a large row stands in Table::large.
    struct Change
    {
        services::RowChange row;
        bool isLarge = false;
        // As in inner::TableUpdateRow; empty when no difference is known.
        std::uint64_t baseVersion = 0;
        std::string difference;
    };
    struct LargeRow
    {
        std::uint64_t version = 0;
        std::string value;
    };
    struct Table
    {
        std::string name;
        // The newest state of each row that changed after the first version, up to the second, is
        // in the history, by version. After a snapshot that are all rows.
        bool isKnown = false;
        std::uint64_t from = 0;
        std::uint64_t upTo = 0;
        std::deque<Change> history;
        // The history has all rows.
        bool hasAllRows = false;
        // Its length when superseded changes were taken out last.
        std::size_t compactedSize = 0;
        // The newest value of each large row, from which the next one differs.
        std::map<std::string, LargeRow> largeRows;
        // The service's clock at the newest proof, and the same moment by this host's.
        std::optional<Duration> serviceTime;
        Instant confirmedAt {};
        // Its follower's question.
        bool hasRequest = false;
        std::uint64_t after = 0;
        Duration wait {0};
        services::ChangesCallback callback;
        // The newest question to the service, while it is under way, and how long it may stay open.
        std::uint64_t pendingPoll = 0;
        Duration pendingPollWait {0};
        // Something has changed up to a version that was not told.
        bool needsPoll = false;
        std::uint64_t neededVersion = 0;
        Instant pollAt {};
        double draw = 0;
        TimerId timer = 0;
    };
    struct Subscriber
    {
        // Tables and the version that each was told.
        std::map<std::string, std::uint64_t> sentVersions;
        bool withRows = true;
        bool acceptsParts = false;
    };
    struct RelayState
    {
        Instant lastUpdateAt {};
        // The one that tells rows, too.
        bool isPreferred = false;
    };

    // A table that this host has not read yet, and waits for from its teller.
    struct PendingSnapshot
    {
        services::SnapshotCallback callback;
        std::map<std::string, services::TableRow> rows;
        std::uint64_t upTo = 0;
        TimerId timer = 0;
    };

    // Listeners that must read, and tellers that have much to tell, spread it over this part of the
    // time for which a question stays open.
    static constexpr int spreadDivisor = 8;

    static std::uint64_t versionOf(const services::TableRow &row);
    static std::size_t sizeOf(const Change &change);
    static bool isLarge(const services::TableRow &row);

    // The first reading of a table, from the service or from the teller.
    void readSnapshot(const std::string &table, services::SnapshotCallback callback);
    void onSnapshot(const std::string &table, const services::TableSnapshot &snapshot);
    void startSnapshotTimer(const std::string &table, Duration limit);
    void requestSnapshots(const std::string &address);
    void onSnapshotPart(const std::string &from, const inner::TableUpdate &update);
    void readPendingFromService(const std::string &table, const char *why);
    void readAllPendingFromService();
    bool isPreferredRelay(const std::string &address) const;
    void requestNextPart(const std::string &address, const std::string &table, std::uint64_t after);

    void pollIfDue(Table &table);
    void pollDueTables();
    Instant pollDueAt(const Table &table) const;
    void startPoll(Table &table, Duration wait, const char *why);
    void onPollAnswer(Table &table, std::uint64_t poll,
                      const absl::StatusOr<services::TableChanges> &answer);
    static void resetHistory(Table &table, const services::TableSnapshot &snapshot);
    void appendChanges(Table &table, std::vector<Change> changes, std::uint64_t upTo);
    static void compactHistory(Table &table);
    static std::deque<Change>::const_iterator firstAfter(const Table &table, std::uint64_t version);
    Change changeOf(const Table &table, const services::RowChange &row) const;
    std::optional<std::vector<Change>> decodeChanges(const Table &table,
                                                     const inner::TableUpdate &update) const;
    void confirm(Table &table, std::optional<Duration> serviceTime);
    void deliver(Table &table);
    void schedulePoll(Table &table);
    bool canProvide(const std::string &table) const;
    void sendRowsOmitted(inner::LinkId link, const std::string &table);
    void publish(const Table &table);
    void sendUpdate(inner::LinkId link, const std::string &table);
    std::size_t pendingBytes(const Table &table) const;
    static std::optional<inner::TableUpdateRow>
    makeUpdateRow(const Table &table, const Change &change, const Subscriber &subscriber,
                  std::uint64_t after, std::map<std::string, std::uint64_t> &known);
    static void fillUpdate(inner::TableUpdate &update, const Table &table,
                           const Subscriber &subscriber, bool isSameZone);
    void chooseRelays();
    void subscribeTo(const std::string &address);
    void replaceSilentRelays(Duration limit);
    std::vector<services::RowChange> changesAfter(const Table &table, std::uint64_t version) const;

    const Parts parts_;
    std::map<std::string, Table> tables_;
    std::map<std::string, PendingSnapshot> pendingSnapshots_;
    // Tables that are being read from the service.
    std::set<std::string> readingTables_;
    const decision::RelayOrder *candidates_ = nullptr;
    // Tellers that this host listens to, and when each was heard.
    std::map<std::string, RelayState> relays_;
    // Tellers that told nothing, until when another is taken.
    std::map<std::string, Instant> avoidedUntil_;
    bool isChosenRelay_ = false;
    std::map<inner::LinkId, Subscriber> subscribers_;
    std::optional<Duration> clockOffset_;
    const double discoveryDraw_;
    const Instant startedAt_;
    // How often the leading table was asked for tellers, and whether their lack is real.
    int discoveryPolls_ = 0;
    Instant lastDiscoveryAt_ {};
    bool discoveryDone_ = false;
    std::uint64_t lastPoll_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::host
