#pragma once

#include "core/clock.h"
#include "services/answercallback.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// The interfaces of the platform: table service, object store and host list.
namespace kelptally::services {

// A row and the entity tag for conditional writes to it.
struct TableRow
{
    std::string key;
    std::string value;
    std::string etag;
    // The service's steady clock at the time of its answer, if it sends it.
    std::optional<Duration> serviceTime = std::nullopt;
    // Set by TableFollower: the earliest time, by this host's clock, at which the row may have
    // changed. No value when that is not known.
    std::optional<Instant> changedAfter = std::nullopt;
    // When the row arrived at this host; Instant() when that is not known.
    Instant receivedAt {};
};

// A conditional write. Without an expected tag the row must not exist yet.
struct ConditionalWrite
{
    std::string table;
    std::string key;
    std::string value;
    std::optional<std::string> expectedEtag;
};

using RowCallback = AnswerCallback<std::optional<TableRow>>;
using RowsCallback = AnswerCallback<std::vector<TableRow>>;
using WriteCallback = AnswerCallback<std::vector<std::string>>;

// The platform's transactional table service. Each callback is called exactly once, on the thread
// that made the call.
class TableService
{
public:
    virtual ~TableService() = default;

    virtual void read(const std::string &table, const std::string &key, RowCallback callback) = 0;
    virtual void list(const std::string &table, const std::string &prefix,
                      RowsCallback callback) = 0;

    // Writes all rows or none, and passes their new tags. FailedPrecondition when a condition does
    // not hold (nothing was written); Unavailable when the request was not sent; DeadlineExceeded
    // or Unknown when the outcome is unknown: the caller has to read the rows back and compare
    // change ids.
    virtual void write(std::vector<ConditionalWrite> writes, WriteCallback callback) = 0;
};

// A row that was written or removed.
struct RowChange
{
    TableRow row;
    bool removed = false;
};

// Changes of one table after a given version.
struct TableChanges
{
    std::vector<RowChange> changes;
    // Version from which the next call continues.
    std::uint64_t next = 0;
    // As in TableRow.
    std::optional<Duration> serviceTime = std::nullopt;
};

// Some rows of a table, ordered by key.
struct TablePage
{
    std::vector<TableRow> rows;
    // Version of the table when the page was read.
    std::uint64_t version = 0;
    // As in TableRow.
    std::optional<Duration> serviceTime = std::nullopt;
    bool isLast = true;
};

// All rows of one table, and the version from which its changes continue.
struct TableSnapshot
{
    std::vector<TableRow> rows;
    std::uint64_t next = 0;
    // As in TableRow.
    std::optional<Duration> serviceTime = std::nullopt;

    // Appends a page. The first one sets the version, as rows may change while pages are read.
    void add(TablePage page);
    // Key at which the next page starts.
    std::string nextKey() const { return rows.empty() ? std::string() : rows.back().key + '\x01'; }
};

using PageCallback = AnswerCallback<TablePage>;
using ChangesCallback = AnswerCallback<TableChanges>;
using SnapshotCallback = AnswerCallback<TableSnapshot>;

// The change feed of a table service. Callbacks as for TableService.
class TableFeed
{
public:
    virtual ~TableFeed() = default;

    virtual void snapshot(const std::string &table, SnapshotCallback callback) = 0;
    // Passes the rows from the key on, as many as the service sends in one answer. The default
    // implementation passes all rows.
    virtual void page(const std::string &table, const std::string &from, PageCallback callback);
    // Answers with the next changes, or with none after the wait. OutOfRange when the changes after
    // this version are not available, or are much larger than the table: the caller has to take a
    // snapshot.
    virtual void changes(const std::string &table, std::uint64_t after, Duration wait,
                         ChangesCallback callback) = 0;
};

// The platform's object store, for snapshots.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual void get(const std::string &key, RowCallback callback) = 0;
    // Writes under the same conditions as TableService::write(). The table's name is ignored.
    virtual void put(ConditionalWrite object, WriteCallback callback) = 0;
};

enum class HostState {
    Live,
    Leaving,
};

struct ListedHost
{
    std::string name;
    // IP address.
    std::string address;
    std::string zone;
    HostState state = HostState::Live;
};

using HostsCallback = AnswerCallback<std::vector<ListedHost>>;

// The platform's list of hosts. It may be stale: a new host may be missing and a dead one still
// listed.
class HostList
{
public:
    virtual ~HostList() = default;

    virtual void fetch(HostsCallback callback) = 0;
};

} // namespace kelptally::services
