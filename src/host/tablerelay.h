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

// Distributes changes of the table service's tables. A few hosts, the relays, poll the service and
// forward updates to the other hosts, their subscribers, over the links between hosts. A subscriber
// polls the service itself only when its last confirmed state is too old.
//
// Updates are ordered by version, and the service's clock in an update tells up to when it is
// current, so late, duplicate and reordered updates are harmless.
class TableRelay : public services::TableFeed
{
public:
    // Connections to other hosts.
    class Links
    {
    public:
        virtual ~Links() = default;

        virtual void connect(const std::string &address) = 0;
        virtual void drop(const std::string &address) = 0;
        virtual absl::Status sendTo(const std::string &address, inner::Message message) = 0;
        virtual absl::Status sendOn(inner::LinkId link, inner::Message message) = 0;
        // Whether the peer is in this host's zone; traffic across zones is charged.
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
        // The table whose rows name the hosts that may be relays.
        std::string candidateTable;
        // Whether this host can own groups; it then reads tables from the service at its start.
        bool hasCapacity = true;
        // Returns a random number from 0 to 1.
        std::function<double()> draw;
    };

    explicit TableRelay(const Parts &parts);
    ~TableRelay() override;

    void snapshot(const std::string &table, services::SnapshotCallback callback) override;
    void changes(const std::string &table, std::uint64_t after, Duration wait,
                 services::ChangesCallback callback) override;

    // Sets the hosts that may be relays and chooses among them; to be called again after each
    // change of the order. The object must outlive this one.
    void setCandidates(const decision::RelayOrder &candidates);

    void onLinkUp(const std::string &address);
    void onLinkDown(inner::LinkId link);
    // Handles a message from a subscriber (onSubscribe) or from a relay (onUpdate).
    void onSubscribe(inner::LinkId link, const inner::SubscribeTables &request);
    void onUpdate(const std::string &from, const inner::TableUpdate &update);

    // Time since the local follower's table was last confirmed; no value if it never was.
    std::optional<Duration> confirmationAge(const std::string &table) const;
    // Whether this host polls the service on behalf of others.
    bool isRelay() const { return isChosenRelay_ || !subscribers_.empty(); }

private:
    // A change in the history. The value of a large row is in Table::largeRows.
    struct Change
    {
        services::RowChange row;
        bool isLarge = false;
        // As in inner::TableUpdateRow; 0 and empty when there is no difference.
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
        // The history holds, ordered by version, the newest state of each row that changed after
        // the version `from`, up to `upTo`. Meaningful when isKnown is set.
        bool isKnown = false;
        std::uint64_t from = 0;
        std::uint64_t upTo = 0;
        std::deque<Change> history;
        // Whether the history started from a snapshot and so holds every row.
        bool hasAllRows = false;
        // Set until the table has been read from the service, as the changes are larger.
        bool needsSnapshot = false;
        // Length of the history after its last compaction.
        std::size_t compactedSize = 0;
        // Newest value of each large row; the base of the next difference.
        std::map<std::string, LargeRow> largeRows;
        // When the table was last confirmed current, by the service's clock and by this host's.
        std::optional<Duration> serviceTime;
        Instant confirmedAt {};
        // The local follower's open request.
        bool hasRequest = false;
        std::uint64_t after = 0;
        Duration wait {0};
        services::ChangesCallback callback;
        // Newest poll of the service in flight, 0 if none; whether it reads announced rows, and
        // whether its answer has begun.
        std::uint64_t pendingPoll = 0;
        bool isReadingRows = false;
        bool isAnswerArriving = false;
        Instant polledAt {};
        // Set when changes up to neededVersion must be read from the service at pollAt.
        bool needsPoll = false;
        std::uint64_t neededVersion = 0;
        Instant announcedAt {};
        Instant pollAt {};
        double draw = 0;
        TimerId timer = 0;
    };
    struct Subscriber
    {
        // Version up to which each subscribed table has been sent.
        std::map<std::string, std::uint64_t> sentVersions;
        bool withRows = true;
        bool acceptsParts = false;
    };
    struct RelayState
    {
        Instant lastUpdateAt {};
        // The relay that is asked for rows; the others only announce versions.
        bool isPreferred = false;
    };

    // The first snapshot of a table while it is being received from the preferred relay.
    struct PendingSnapshot
    {
        services::SnapshotCallback callback;
        std::map<std::string, services::TableRow> rows;
        std::uint64_t upTo = 0;
        TimerId timer = 0;
    };

    // Polls by subscribers that miss rows, and large updates by relays, are spread over the poll
    // wait divided by this.
    static constexpr int spreadDivisor = 8;

    static std::uint64_t versionOf(const services::TableRow &row);
    static std::size_t sizeOf(const Change &change);
    // Size of the newest state of all rows.
    static std::size_t sizeOf(const Table &table);
    static bool isLarge(const services::TableRow &row);

    // First snapshot of a table, from the service or from a relay.
    Duration maxSnapshotWait(const std::string &table) const;
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
    // When the state is too old to be used without a confirmation.
    static Instant confirmationLimit(const Table &table);
    Instant pollDueAt(const Table &table) const;
    void startPoll(Table &table, Duration wait, const char *why);
    static bool onPollProgress(Table &table, std::uint64_t poll,
                               const services::AnswerProgress &progress);
    static bool acceptsAnswer(const Table &table, const services::AnswerProgress &progress);
    static void failRequest(Table &table, const absl::Status &status);
    void onPollAnswer(Table &table, std::uint64_t poll,
                      const absl::StatusOr<services::TableChanges> &answer);
    void logAnswer(const Table &table, const services::TableChanges &answer) const;
    void resetHistory(Table &table, const services::TableSnapshot &snapshot) const;
    static std::set<std::string> missingRows(const Table &table,
                                             const services::TableSnapshot &snapshot);
    void appendChanges(Table &table, std::vector<Change> changes, std::uint64_t upTo);
    static void compactHistory(Table &table);
    static std::deque<Change>::const_iterator firstAfter(const Table &table, std::uint64_t version);
    Change changeOf(const Table &table, const services::RowChange &row) const;
    std::vector<Change> changesOf(const Table &table, const services::TableChanges &answer) const;
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
    void fillUpdate(inner::TableUpdate &update, const Table &table, const Subscriber &subscriber,
                    bool isSameZone) const;
    void chooseRelays();
    void subscribeTo(const std::string &address);
    void replaceSilentRelays(Duration limit);
    std::vector<services::RowChange> changesAfter(const Table &table, std::uint64_t version) const;

    const Parts parts_;
    std::map<std::string, Table> tables_;
    std::map<std::string, PendingSnapshot> pendingSnapshots_;
    // Tables whose snapshot is being read from the service.
    std::set<std::string> readingTables_;
    const decision::RelayOrder *candidates_ = nullptr;
    // Relays to which this host is subscribed.
    std::map<std::string, RelayState> relays_;
    // Relays that fell silent, and until when they are excluded from the choice.
    std::map<std::string, Instant> avoidedUntil_;
    bool isChosenRelay_ = false;
    std::map<inner::LinkId, Subscriber> subscribers_;
    std::optional<Duration> clockOffset_;
    const double discoveryDraw_;
    const Instant startedAt_;
    // Polls of the candidate table to find relays, and whether that search has ended.
    int discoveryPolls_ = 0;
    Instant lastDiscoveryAt_ {};
    bool discoveryDone_ = false;
    std::uint64_t lastPoll_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::host
