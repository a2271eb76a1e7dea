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

// The state of a host or server as the operators give it. A leaving one gets no new work.
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
    // Statements that run at the same time.
    int slots = 0;
    // Connections that all our processes together may have open.
    int connections = 0;
    AdministrativeState administrativeState = AdministrativeState::Active;
};

// The SQL by which the servers of a group are asked and told; a setting of the group.
struct GroupStatements
{
    // One row: newest term prepared or followed, role ('primary'|'replica'), received offset,
    // applied offset, fence epoch, term of the applied record, term of the received record.
    std::string status = "SELECT term, role, received, applied, fence, applied_term, received_term"
                         " FROM kelptally_status";
    // Rows: term, offset at which it began.
    std::string history = "SELECT term, start FROM kelptally_history";
    // $1 term: from now on accept no log from a lower term. Fails when a higher one was prepared.
    std::string prepare = "SELECT kelptally_prepare($1)";
    // $1 term: become primary of the prepared term, and begin it with a record of its own, as the
    // end-of-recovery record of PostgreSQL does.
    std::string promote = "SELECT kelptally_promote($1)";
    // $1 primary's name, $2 term: replicate from it, dropping what its history does not hold.
    std::string follow = "SELECT kelptally_follow($1, $2)";
    // $1 epoch: raise the fence row. Fails when it is higher already.
    std::string raiseFence = "SELECT kelptally_raise_fence($1)";
    // $1 epoch: fails with SQLSTATE KF001 when the fence row is higher; part of each write.
    std::string checkFence = "SELECT kelptally_check_fence($1)";
    // One row, one column: offset of the log after the current transaction commits.
    std::string writeOffset = "SELECT kelptally_write_offset()";
};

// [group NAME] database=, user=, password=, team=, and optionally the statements.
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

// Order of service; a lower class goes first.
enum class RequestClass {
    // Writes and transactions that must not be repeated, such as decisions, offers, deposits.
    Critical,
    Write,
    // Reads that want the newest data.
    FreshRead,
    // Reads that accept an age.
    Browse,
};
constexpr int requestClassCount = 4;

// [kind NAME] access=read|write, repeatable=yes|no, stated-age=, deadline=, class=, teams=
struct Kind
{
    KindName name;
    bool readOnly = true;
    // A kind that is not repeatable needs an idempotency key and runs at most once.
    bool repeatable = true;
    // Greatest age that such reads accept when the caller states none; nothing: newest.
    std::optional<Duration> statedAge;
    Duration deadline {std::chrono::seconds(5)};
    RequestClass requestClass = RequestClass::Write;
    // Teams that may use it; empty: all.
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
    // Share of a primary's slots that reads with a stated age may take, in percent.
    int primaryReadPercent = 50;
    // Taken off the stated age for the way from an entry to its caller.
    Duration callerTransit {std::chrono::milliseconds(10)};
};

// A configuration document, checked as a whole: what the operators own and the rules they set.
struct Inventory
{
    std::vector<Zone> zones;
    std::vector<Host> hosts;
    std::vector<Group> groups;
    std::vector<Kind> kinds;
    std::vector<Team> teams;
    Limits limits;

    // Null when there is none. A group is looked up for each request: among thousands, it takes no
    // longer once indexGroups() has been called after the last change.
    const Group *findGroup(const GroupName &name) const;
    const Kind *findKind(const KindName &name) const;
    const Team *findTeam(const TeamName &name) const;
    const Host *findHost(const HostName &name) const;

    void indexGroups();

private:
    std::unordered_map<GroupName, std::size_t> groupIndex_;
};

// Reads a document; the findings tell everything that is wrong. Use the result only without any.
Inventory parseInventory(const std::string &file, const std::string &text, Findings &findings);

// One accepted version, shared read-only by all parts of a process.
struct Configuration
{
    ConfigVersion version = 0;
    std::string document;
    Inventory inventory;
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace kelptally::settings
