#pragma once

#include "decision/connectionchoice.h"
#include "group/serverinterface.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace kelptally::group {

// A connection with the session state that its last user left.
struct PooledConnection
{
    ServerConnectionPtr connection;
    // Identifies the connection among those of its pool, for logs.
    std::uint64_t number = 0;
    // The connection's permanent organisation; empty without organisations.
    OrganisationName organisation;
    std::map<std::string, std::string> values;
    // Numbers of the prepared statements, keyed by "r" or "w" followed by the shape.
    std::map<std::string, int> prepared;
    int lastPrepared = 0;
    Instant openedAt {};
    Instant answeredAt {};
    // Whether a statement is in flight, whether it may be repeated, whether it takes a slot of the
    // server, and when it was sent.
    bool working = false;
    bool mayRepeat = false;
    bool takesSlot = false;
    Instant workStartedAt {};
};

using PooledConnectionPtr = std::shared_ptr<PooledConnection>;

// A pool of connections to one server, within the process's share of the server's limit.
class ServerPool
{
public:
    // Opens a connection for the organisation and reports to onOpened() or onOpenFailed().
    using Opener = std::function<void(const OrganisationName &)>;

    explicit ServerPool(Opener opener) : opener_(std::move(opener)) { }

    // Sets the server's connection limit for all owners, whether connections belong to
    // organisations, and this owner's share of the limit.
    void setMaxConnections(int count, bool byOrganisation, const decision::OwnerShare &share);
    // Limits this pool to a fixed number of connections instead of the share.
    void limitConnections(int count) { limit_ = count; }
    // Sets the minimum idle time before a connection may be replaced by another organisation's.
    void setMinIdleTime(Duration time) { minIdleTime_ = time; }

    struct TakeResult
    {
        // Null if no connection is available yet.
        PooledConnectionPtr connection;
        decision::ConnectionAction connectionAction = decision::ConnectionAction::Use;
    };

    // Takes an idle connection of the organisation, preferably one with these values. If there is
    // none, starts to open one where the limits allow it.
    TakeResult take(const std::map<std::string, std::string> &values,
                    const OrganisationName &organisation, int slots, bool mayOpen, Instant now);
    // Returns a connection to the pool, which must be in a known state and in no transaction.
    void giveBack(const PooledConnectionPtr &connection, int slots, Instant now);
    void discard(const PooledConnectionPtr &connection);
    // Opens connections for the slots in advance, unless connections belong to organisations.
    void warmUp(int slots, Instant now);

    PooledConnectionPtr onOpened(const OrganisationName &organisation,
                                 const ServerConnectionPtr &connection, Instant now);
    // Returns whether the server is full and the pool can replace its own connections instead.
    bool onOpenFailed(const OrganisationName &organisation, bool isFull, Instant now);
    // Removes a closed connection; returns false if it was not idle.
    bool onEnded(const PooledConnectionPtr &connection);

    void closeIdle();
    // Closes idle connections without an answer since the given time.
    void closeStaleIdle(Instant since);
    // Closes the connections opened before the given time, idle or in use; all for Instant().
    void closeBefore(Instant opened);

    // Returns whether the organisation has a connection that is idle or being opened.
    bool hasConnectionFor(const OrganisationName &organisation) const;
    const std::vector<PooledConnectionPtr> &inUse() const { return inUse_; }
    int open() const { return static_cast<int>(idle_.size() + inUse_.size()); }
    int opening() const { return static_cast<int>(openingSince_.size()); }
    // Number of connections being opened that take a slot of the server.
    int slotsOpening(Instant now) const;

private:
    int share(Instant now) const;
    void startOpening(const OrganisationName &organisation, Instant now);
    void endOpening(const OrganisationName &organisation);
    void removeClosed();
    bool removeInUse(const PooledConnectionPtr &connection);
    void closeSurplus(int slots, Instant now);
    bool hasIdle(const OrganisationName &organisation) const;
    // Returns idle_ for modification and invalidates idleOrganisations_.
    std::vector<PooledConnectionPtr> &mutableIdle();

    const Opener opener_;
    std::uint64_t lastNumber_ = 0;
    int maxConnections_ = 0;
    bool byOrganisation_ = false;
    decision::OwnerShare ownerShare_;
    std::optional<int> limit_;
    Duration minIdleTime_ {0};
    // After the server refused a connection as it was full, limits the pool to reducedShare_
    // connections until this time.
    Instant reducedShareUntil_ {};
    int reducedShare_ = 0;
    // Ordered by last use, the most recent last.
    std::vector<PooledConnectionPtr> idle_;
    std::vector<PooledConnectionPtr> inUse_;
    // When the connections being opened were begun, oldest first.
    std::deque<Instant> openingSince_;
    std::map<OrganisationName, int> openingFor_;
    // Cache of the organisations with an idle connection.
    mutable std::unordered_set<OrganisationName> idleOrganisations_;
    mutable bool idleOrganisationsKnown_ = false;
};

} // namespace kelptally::group
