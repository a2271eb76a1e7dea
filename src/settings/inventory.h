#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "settings/findings.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kelptally::settings {

// The state of a host or server that operators configure. Leaving ones get no new work.
enum class AdministrativeState {
    Active,
    Leaving,
};

// [zone NAME] region=
struct Zone
{
    ZoneName name;
    std::string region;
};

// [host NAME] zone=, owner=ip:port (peer endpoint of its owner process), entry=ip:port (peer
// endpoint of its entry process), state=active|leaving
struct Host
{
    HostName name;
    ZoneName zone;
    std::string ownerAddress;
    std::string entryAddress;
    AdministrativeState administrativeState = AdministrativeState::Active;
};

// [server NAME] group=, zone=, address=ip:port, slots=, connections=, state=active|leaving
struct Server
{
    ServerName name;
    GroupName group;
    ZoneName zone;
    std::string address;
    int port = 0;
    // Maximum number of concurrent statements.
    int slots = 0;
    // Maximum number of open connections of all processes together.
    int connections = 0;
    AdministrativeState administrativeState = AdministrativeState::Active;
};

// SQL statements that query and control the servers of a group.
struct GroupStatements
{
    // One row: newest term prepared or followed, role ('primary'|'replica'), received offset,
    // applied offset, fence epoch, term of the applied record, term of the received record.
    std::string status = "SELECT term, role, received, applied, fence, applied_term, received_term"
                         " FROM kelptally_status";
    // Rows: term, offset at which it began.
    std::string history = "SELECT term, start FROM kelptally_history";
    // $1 term: reject the log of lower terms from now on. Fails if a higher term was prepared.
    std::string prepare = "SELECT kelptally_prepare($1)";
    // $1 term: become primary of the prepared term and start it with a log record, like the
    // end-of-recovery record of PostgreSQL.
    std::string promote = "SELECT kelptally_promote($1)";
    // $1 name of the primary, $2 term: replicate from it, discarding records it does not have.
    std::string follow = "SELECT kelptally_follow($1, $2)";
    // $1 epoch: raise the fence row. Fails if it is already higher.
    std::string raiseFence = "SELECT kelptally_raise_fence($1)";
    // $1 epoch: fails with SQLSTATE KF001 if the fence row is higher; part of each write.
    std::string checkFence = "SELECT kelptally_check_fence($1)";
    // One row, one column: log offset after the commit of the current transaction.
    std::string writeOffset = "SELECT kelptally_write_offset()";
};

// [group NAME] database=, user=, password=, team=, and optionally the keys of GroupStatements.
struct Group
{
    GroupName name;
    TeamName team;
    std::string database;
    std::string user;
    std::string password;
    GroupStatements statements;
    std::vector<Server> servers;
};

// Scheduling priority; lower values are served first.
enum class RequestClass {
    // Writes and transactions that must not be repeated.
    Critical,
    Write,
    // Reads that need the newest data.
    FreshRead,
    // Reads that accept data of a stated age.
    Browse,
};
constexpr int requestClassCount = 4;

// [kind NAME] access=read|write, repeatable=yes|no, stated-age=, deadline=, class=, teams=
struct Kind
{
    KindName name;
    bool readOnly = true;
    // Requests that are not repeatable need an idempotency key and run at most once.
    bool repeatable = true;
    // Default maximum age of the data read; without it, reads return the newest data.
    std::optional<Duration> statedAge;
    Duration deadline {std::chrono::seconds(5)};
    RequestClass requestClass = RequestClass::Write;
    // Teams that may use the kind; empty: all.
    std::vector<TeamName> teams;
};

// [team NAME] key-hash= (hex SHA-256 of a caller's key, comma-separated), operator-key-hash=,
// share= (percent of queues and slots)
struct Team
{
    TeamName name;
    std::vector<std::string> keyHashes;
    std::vector<std::string> operatorKeyHashes;
    int sharePercent = 100;
};

// [limits]
struct Limits
{
    int queueLength = 256;
    Duration transactionIdle {std::chrono::seconds(10)};
    Duration keyRetention {std::chrono::hours(24)};
    int retryBudgetPercent = 10;
    // Maximum percentage of a primary's slots for reads with a stated age.
    int primaryReadPercent = 50;
    // Subtracted from the stated age for the transfer from an entry to the caller.
    Duration callerTransit {std::chrono::milliseconds(10)};
};

// The content of a configuration document: the deployment and its limits.
struct Inventory
{
    std::vector<Zone> zones;
    std::vector<Host> hosts;
    std::vector<Group> groups;
    std::vector<Kind> kinds;
    std::vector<Team> teams;
    Limits limits;

    // Return null if the name is unknown. findGroup() takes constant time after indexGroups() and
    // linear time otherwise.
    const Group *findGroup(const GroupName &name) const;
    const Kind *findKind(const KindName &name) const;
    const Team *findTeam(const TeamName &name) const;
    const Host *findHost(const HostName &name) const;

    // Builds the index for findGroup(); call it after changes to the groups.
    void indexGroups();

private:
    std::unordered_map<GroupName, std::size_t> groupIndex_;
};

// Parses and validates a document. The result must not be used if there are findings.
Inventory parseInventory(const std::string &file, const std::string &text, Findings &findings);

// An accepted version of the configuration, shared read-only within a process.
struct Configuration
{
    ConfigVersion version = 0;
    std::string document;
    Inventory inventory;
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace kelptally::settings
