#pragma once

#include "core/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

// The ports to the platform: table service, object store and host list.
namespace kelptally::services {

// A row with the tag that conditional writes name.
struct TableRow
{
    std::string key;
    std::string value;
    std::string etag;
    // The service's own steady clock when it answered, where it tells it.
    std::optional<Duration> serviceTime = std::nullopt;
    // In news of a followed table: the earliest time, by this host's clock, at which the row may
    // have changed. Nothing when it may have been at any time.
    std::optional<Instant> changedAfter = std::nullopt;
};

// One conditional write. Without an expected tag the row must not exist yet.
struct ConditionalWrite
{
    std::string table;
    std::string key;
    std::string value;
    std::optional<std::string> expectedEtag;
};

using RowCallback = std::function<void(absl::StatusOr<std::optional<TableRow>>)>;
using RowsCallback = std::function<void(absl::StatusOr<std::vector<TableRow>>)>;
using WriteCallback = std::function<void(absl::StatusOr<std::vector<std::string>>)>;

// The platform's transactional table service. Callbacks come exactly once, on the thread that made
// the call.
class TableService
{
public:
    virtual ~TableService() = default;

    virtual void read(const std::string &table, const std::string &key, RowCallback callback) = 0;
    virtual void list(const std::string &table, const std::string &prefix,
                      RowsCallback callback) = 0;

    // All writes or none. Gives the new tags; FailedPrecondition when a condition does not hold
    // (nothing was written); Unavailable when the request never left this process; DeadlineExceeded
    // or Unknown when the outcome is not known: read back and look for your change id.
    virtual void write(std::vector<ConditionalWrite> writes, WriteCallback callback) = 0;
};

// A row that changed, or that is gone.
struct RowChange
{
    TableRow row;
    bool removed = false;
};

// Changes of one table after a place in its history.
struct TableChanges
{
    std::vector<RowChange> changes;
    // Where the next call goes on.
    std::uint64_t next = 0;
    // As in TableRow.
    std::optional<Duration> serviceTime = std::nullopt;
};

// Some rows of a table, in the order of their keys.
struct TablePage
{
    std::vector<TableRow> rows;
    // Of the table when the page was read.
    std::uint64_t version = 0;
    // As in TableRow.
    std::optional<Duration> serviceTime = std::nullopt;
    bool isLast = true;
};

// All rows of one table as of one moment, and where its changes go on from there.
struct TableSnapshot
{
    std::vector<TableRow> rows;
    std::uint64_t next = 0;
    // As in TableRow.
    std::optional<Duration> serviceTime = std::nullopt;

    // Pages are read one after the other: changes count from the first one.
    void add(TablePage page);
    // The smallest key above the last one.
    std::string nextKey() const { return rows.empty() ? std::string() : rows.back().key + '\x01'; }
};

using PageCallback = std::function<void(absl::StatusOr<TablePage>)>;
using ChangesCallback = std::function<void(absl::StatusOr<TableChanges>)>;
using SnapshotCallback = std::function<void(absl::StatusOr<TableSnapshot>)>;

// The changes of a table service, where it tells them. Callbacks as for TableService.
class TableFeed
{
public:
    virtual ~TableFeed() = default;

    virtual void snapshot(const std::string &table, SnapshotCallback callback) = 0;
    // The rows from this key on, as many as the service gives in one answer. One that knows no
    // pages gives all.
    virtual void page(const std::string &table, const std::string &from, PageCallback callback);
    // Answers with the first change, or without any after the wait. OutOfRange: the history after
    // this place is gone, take a snapshot.
    virtual void changes(const std::string &table, std::uint64_t after, Duration wait,
                         ChangesCallback callback) = 0;
};

// The platform's object store, for snapshots.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual void get(const std::string &key, RowCallback callback) = 0;
    // Writes under the same conditions as TableService::write; the table's name is not used.
    virtual void put(ConditionalWrite object, WriteCallback callback) = 0;
};

enum class HostState {
    Live,
    Leaving,
};

struct ListedHost
{
    std::string name;
    // IP of the host.
    std::string address;
    std::string zone;
    HostState state = HostState::Live;
};

using HostsCallback = std::function<void(absl::StatusOr<std::vector<ListedHost>>)>;

// The platform's list of hosts. It lags: a new host may be missing and a dead one still listed.
class HostList
{
public:
    virtual ~HostList() = default;

    virtual void fetch(HostsCallback callback) = 0;
};

} // namespace kelptally::services
