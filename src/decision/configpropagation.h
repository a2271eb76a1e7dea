#pragma once

#include "core/clock.h"
#include "core/digest.h"
#include "core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace kelptally::decision {

// Actions of the configuration's propagation, carried out by the caller.

// Reads the number of the newest version from the store. Ends in onNewestVersion() or
// onStoreFailed().
struct ReadNewestConfigVersion
{ };
// Reads a version's document from the store. Ends in onDocument() or onStoreFailed().
struct ReadConfigDocument
{
    ConfigVersion version = 0;
};
// Reads the snapshot from the object store. Ends in onDocument(), or in no event if there is none.
struct ReadConfigSnapshot
{ };
// Requests a document of at least this version from a peer. Ends in onDocument() or onPeerFailed().
struct FetchConfigFromPeer
{
    std::string address;
    ConfigVersion minVersion = 0;
};
// Sends a notice of the version to all peers.
struct AnnounceConfig
{
    ConfigVersion version = 0;
};
// Puts the document in force in this process.
struct InstallConfig
{
    ConfigVersion version = 0;
    std::string document;
};
// Reports that another process has a different document for the version in force here, which
// indicates a bug. The document in force stays.
struct ReportConfigMismatch
{
    ConfigVersion version = 0;
};
// Updates the snapshot to this version if it is older. The process that applied the version does so
// at once; a few others check it later, in case that process failed before it could.
struct UpdateConfigSnapshot
{
    ConfigVersion version = 0;
};
using ConfigAction = std::variant<ReadNewestConfigVersion, ReadConfigDocument, ReadConfigSnapshot,
                                  FetchConfigFromPeer, AnnounceConfig, InstallConfig,
                                  ReportConfigMismatch, UpdateConfigSnapshot>;
using ConfigActions = std::vector<ConfigAction>;

// Brings each accepted version to this process, by notices from peers and, in case these are lost,
// by polling the store. The version in force never decreases. See docs/design/configuration.md.
class ConfigPropagation
{
public:
    explicit ConfigPropagation(std::uint64_t seed);

    ConfigActions start(Instant now);
    ConfigActions onTick(Instant now);
    // A peer announced that it has this version.
    ConfigActions onNotice(Instant now, const std::string &peer, ConfigVersion version);
    // Takes the store's newest version; 0 if it has none.
    ConfigActions onNewestVersion(Instant now, ConfigVersion version);
    // Takes a complete document from the store, the snapshot or a peer.
    ConfigActions onDocument(Instant now, ConfigVersion version, const std::string &document);
    ConfigActions onStoreFailed(Instant now);
    ConfigActions onPeerFailed(Instant now, const std::string &peer);

    // Sets the number of processes that poll the store and share the poll budget.
    void setProcessCount(std::size_t count);

    ConfigVersion version() const { return version_; }
    Duration pollPeriod() const;

    static constexpr Duration tickPeriod = std::chrono::milliseconds(200);
    // Poll period while all processes together stay within the poll budget. With the jitter of a
    // quarter and the tick, a version is seen within 2.7 s even if every notice is lost.
    static constexpr Duration minPollPeriod = std::chrono::seconds(2);
    // Poll budget of all processes together. This is a tenth of the 2,000 reads a second of the
    // table service.
    static constexpr int pollsPerSecond = 200;
    // A process without a version reads the snapshot if the store has not answered for this long.
    static constexpr Duration snapshotDelay = std::chrono::milliseconds(500);
    // Average number of processes that check the snapshot of a version, each after a random delay
    // up to the maximum.
    static constexpr double snapshotUpdaters = 3;
    static constexpr Duration maxSnapshotUpdateDelay = std::chrono::seconds(5);

private:
    // Source of the fetch in flight.
    struct FromPeer
    {
        std::string address;
    };
    struct FromStore
    { };
    using Source = std::variant<FromPeer, FromStore>;

    void install(Instant now, ConfigVersion version, const std::string &document,
                 ConfigActions &actions);
    bool drawSnapshotUpdater();
    void endFetch(ConfigVersion received);
    ConfigActions fetch();
    Instant nextPollAfter(Instant now);

    std::mt19937_64 random_;
    ConfigVersion version_ = 0;
    // Digest of the document in force.
    Sha256Digest digest_ {};
    std::size_t processCount_ = 1;
    Instant nextPoll_;
    bool pollInFlight_ = false;
    std::optional<Instant> readSnapshotAt_;
    std::optional<Instant> updateSnapshotAt_;
    // Versions announced by peers that are newer than the one in force, by peer address.
    std::map<std::string, ConfigVersion> announced_;
    ConfigVersion newestInStore_ = 0;
    std::optional<Source> fetchSource_;
};

} // namespace kelptally::decision
