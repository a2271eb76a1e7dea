#pragma once

#include "decision/connectionplaces.h"
#include "group/serverinterface.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace kelptally::group {

// A connection with what it holds of its last user.
struct PooledConnection
{
    ServerConnectionPtr connection;
    // Whose it is for good; empty where there are no organisations.
    OrganisationName organisation;
    std::map<std::string, std::string> values;
    // Number on this connection by kind and shape: "r" or "w" and the shape.
    std::map<std::string, int> prepared;
    int lastPrepared = 0;
    Instant openedAt {};
    // When it last answered.
    Instant answeredAt {};
    // While it works for a statement: since when, whether that may run again elsewhere, and whether
    // it takes a slot of the server.
    bool working = false;
    bool mayRepeat = false;
    bool takesSlot = false;
    Instant workStartedAt {};
};

using PooledConnectionPtr = std::shared_ptr<PooledConnection>;

// The connections that one process has to one server, within its share of what the server takes.
class ServerPool
{
public:
    // Opens a connection for the organisation; its outcome comes by onOpened() or onOpenFailed().
    using Opener = std::function<void(const OrganisationName &)>;

    explicit ServerPool(Opener opener) : opener_(std::move(opener)) { }

    // Connections of all owners together, of which this one takes a part in percent; and whether
    // each belongs to one organisation.
    void setMaxConnections(int count, bool byOrganisation, const decision::OwnerShare &share);
    // This one takes so many and no more, whatever the part.
    void limitConnections(int count) { limit_ = count; }
    // A connection that has rested for less is not closed to make room for another organisation.
    void setMinIdleTime(Duration time) { minIdleTime_ = time; }

    struct TakeResult
    {
        // Null when there is none.
        PooledConnectionPtr connection;
        decision::Place place = decision::Place::Use;
    };

    // A free connection of the organisation, best one with these values. If there is none, one is
    // opened where that is allowed.
    TakeResult take(const std::map<std::string, std::string> &values,
                    const OrganisationName &organisation, int slots, bool mayOpen, Instant now);
    // Gives back a connection that is in a known state and in no transaction.
    void giveBack(const PooledConnectionPtr &connection, int slots, Instant now);
    void discard(const PooledConnectionPtr &connection);
    // Opens what the slots need. Whose connections will be needed is not known beforehand.
    void warmUp(int slots, Instant now);

    PooledConnectionPtr onOpened(const OrganisationName &organisation,
                                 const ServerConnectionPtr &connection, Instant now);
    // True when the server is full, and its room is used by replacing what is here.
    bool onOpenFailed(const OrganisationName &organisation, bool isFull, Instant now);
    // Forgets an idle connection that has ended by itself; false when it was none.
    bool onEnded(const PooledConnectionPtr &connection);

    // Closes what nobody uses; or what has not answered since.
    void closeIdle();
    void closeStaleIdle(Instant since);
    // Closes what was opened before, in use or not; everything for the beginning of time.
    void closeBefore(Instant opened);

    // A connection of the organisation is free, or is being opened.
    bool hasConnectionFor(const OrganisationName &organisation) const;
    const std::vector<PooledConnectionPtr> &inUse() const { return inUse_; }
    int open() const { return static_cast<int>(idle_.size() + inUse_.size()); }
    int opening() const { return opening_; }
    // Openings for organisations, each of which takes a slot meanwhile.
    int slotsOpening() const { return openingForOrganisations_; }

private:
    int share(Instant now) const;
    void startOpening(const OrganisationName &organisation);
    void endOpening(const OrganisationName &organisation);
    void removeClosed();
    bool removeInUse(const PooledConnectionPtr &connection);
    void closeSurplus(int slots, Instant now);
    bool hasIdle(const OrganisationName &organisation) const;
    // All that follows a change of the idle ones.
    std::vector<PooledConnectionPtr> &mutableIdle();

    const Opener opener_;
    int maxConnections_ = 0;
    bool byOrganisation_ = false;
    decision::OwnerShare ownerShare_;
    std::optional<int> limit_;
    Duration minIdleTime_ {0};
    // Until then the server takes no more connections than these from here.
    Instant reducedShareUntil_ {};
    int reducedShare_ = 0;
    // In the order in which they were used.
    std::vector<PooledConnectionPtr> idle_;
    std::vector<PooledConnectionPtr> inUse_;
    int opening_ = 0;
    int openingForOrganisations_ = 0;
    std::map<OrganisationName, int> openingFor_;
    // Organisations that have an idle connection, as far as that has been worked out.
    mutable std::unordered_set<OrganisationName> idleOrganisations_;
    mutable bool idleOrganisationsKnown_ = false;
};

} // namespace kelptally::group
