#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "decision/tellers.h"
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
class TableNews : public services::TableFeed
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
        virtual bool isNear(inner::LinkId link) const = 0;
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
        std::string leadingTable;
        // This host has room for groups, so that it should claim some at a cold start.
        bool hasRoom = true;
        // Between 0 and 1, another one each time and for each host.
        std::function<double()> draw;
    };

    explicit TableNews(const Parts &parts);
    ~TableNews() override;

    void snapshot(const std::string &table, services::SnapshotCallback callback) override;
    void changes(const std::string &table, std::uint64_t after, Duration wait,
                 services::ChangesCallback callback) override;

    // The hosts that may be tellers, as far as they are known; called again when they change. They
    // stay where they are.
    void setCandidates(const decision::TellerOrder &candidates);

    void onLinkUp(const std::string &address);
    void onLinkDown(inner::LinkId link);
    // From a listener, and from a teller.
    void onFollow(inner::LinkId link, const inner::FollowTables &follow);
    void onNews(const std::string &from, const inner::TableNews &news);

    // Whether this host asks the service for itself and others.
    bool isTeller() const { return selfChosen_ || !listeners_.empty(); }

private:
    // A change as it is kept for listeners. The value of a large row stands in Table::large.
    struct Change
    {
        services::RowChange row;
        bool isLarge = false;
        // As in inner::NewsRow; empty when no difference is known.
        std::uint64_t differsFrom = 0;
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
        bool known = false;
        std::uint64_t from = 0;
        std::uint64_t upTo = 0;
        std::deque<Change> history;
        // The history has all rows.
        bool isWhole = false;
        // Its length when superseded changes were taken out last.
        std::size_t compacted = 0;
        // The newest value of each large row, from which the next one differs.
        std::map<std::string, LargeRow> large;
        // The service's clock at the newest proof, and the same moment by this host's.
        std::optional<Duration> serviceTime;
        Instant provenAt {};
        // Its follower's question.
        bool isOpen = false;
        std::uint64_t after = 0;
        Duration wait {0};
        services::ChangesCallback callback;
        // The newest question to the service, while it is under way, and how long it may stay open.
        std::uint64_t asked = 0;
        Duration askedWait {0};
        // Something has changed up to a version that was not told.
        bool mustRead = false;
        std::uint64_t readUpTo = 0;
        Instant readAt {};
        double draw = 0;
        TimerId timer = 0;
    };
    struct Listener
    {
        // Tables and the version that each was told.
        std::map<std::string, std::uint64_t> told;
        bool withRows = true;
        bool takesParts = false;
    };
    struct Heard
    {
        Instant at {};
        // The one that tells rows, too.
        bool isFirst = false;
    };

    // A table that this host has not read yet, and waits for from its teller.
    struct Awaited
    {
        services::SnapshotCallback callback;
        std::map<std::string, services::TableRow> rows;
        std::uint64_t upTo = 0;
        TimerId timer = 0;
    };

    // Listeners that must read, and tellers that have much to tell, spread it over this part of the
    // time for which a question stays open.
    static constexpr int readPart = 8;

    static std::uint64_t versionOf(const services::TableRow &row);
    static std::size_t sizeOf(const Change &change);
    static bool isLarge(const services::TableRow &row);

    // The first reading of a table, from the service or from the teller.
    void readAll(const std::string &table, services::SnapshotCallback callback);
    void onSnapshot(const std::string &table, const services::TableSnapshot &snapshot);
    void await(const std::string &table, Duration limit);
    void askForAll(const std::string &address);
    void onAwaited(const std::string &from, const inner::TableNews &news);
    void stopAwaiting(const std::string &table, const char *why);
    void stopAwaitingAll();
    bool isFirstTeller(const std::string &address) const;
    void askNext(const std::string &address, const std::string &table, std::uint64_t after);

    void consider(Table &table);
    void considerAll();
    Instant dueAt(const Table &table) const;
    void ask(Table &table, Duration wait, const char *why);
    void onAnswer(Table &table, std::uint64_t question,
                  const absl::StatusOr<services::TableChanges> &answer);
    static void keep(Table &table, const services::TableSnapshot &snapshot);
    void merge(Table &table, std::vector<Change> changes, std::uint64_t upTo);
    static void compact(Table &table);
    static std::deque<Change>::const_iterator firstAfter(const Table &table, std::uint64_t version);
    Change changeOf(const Table &table, const services::RowChange &row) const;
    std::optional<std::vector<Change>> changesOf(const Table &table,
                                                 const inner::TableNews &news) const;
    void prove(Table &table, std::optional<Duration> serviceTime);
    void deliver(Table &table);
    void readSoon(Table &table);
    bool tellsSoon(const std::string &table) const;
    void refuseAll(inner::LinkId link, const std::string &table);
    void tellAll(const Table &table);
    void tell(inner::LinkId link, const std::string &table);
    std::size_t pendingBytes(const Table &table) const;
    static std::optional<inner::NewsRow> rowFor(const Table &table, const Change &change,
                                                const Listener &listener, std::uint64_t after,
                                                std::map<std::string, std::uint64_t> &known);
    static void fill(inner::TableNews &news, const Table &table, const Listener &listener,
                     bool isNear);
    void chooseTellers();
    void follow(const std::string &address);
    void avoidSilentTellers(Duration limit);
    std::vector<services::RowChange> changesAfter(const Table &table, std::uint64_t version) const;

    const Parts parts_;
    std::map<std::string, Table> tables_;
    std::map<std::string, Awaited> awaited_;
    // Tables that are being read from the service.
    std::set<std::string> reading_;
    const decision::TellerOrder *candidates_ = nullptr;
    // Tellers that this host listens to, and when each was heard.
    std::map<std::string, Heard> tellers_;
    // Tellers that told nothing, until when another is taken.
    std::map<std::string, Instant> avoided_;
    bool selfChosen_ = false;
    std::map<inner::LinkId, Listener> listeners_;
    std::optional<Duration> clockOffset_;
    const double firstDraw_;
    const Instant began_;
    // How often the leading table was asked for tellers, and whether their lack is real.
    int looks_ = 0;
    Instant lookedAt_ {};
    bool hasLooked_ = false;
    std::uint64_t lastQuestion_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::host
