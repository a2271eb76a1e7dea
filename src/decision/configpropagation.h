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

// Actions of the spread of configuration.

// Ask the store for the number of the newest version; a small read. Ends in onNewestVersion() or
// onStoreFailed().
struct ReadNewestConfigVersion
{ };
// Read a version's document from the store. Ends in onDocument() or onStoreFailed().
struct ReadConfigDocument
{
    ConfigVersion version = 0;
};
// Ends in onDocument() or, when there is no snapshot to be had, in nothing.
struct ReadConfigSnapshot
{ };
// Ends in onDocument() or onPeerFailed().
struct FetchConfigFromPeer
{
    std::string address;
    ConfigVersion atLeast = 0;
};
// Tell all peers.
struct AnnounceConfig
{
    ConfigVersion version = 0;
};
struct InstallConfig
{
    ConfigVersion version = 0;
    std::string document;
};
// Somebody holds another document under the version that is in force here. This must never happen;
// the one in force stays.
struct ReportConfigMismatch
{
    ConfigVersion version = 0;
};
// Bring the snapshot up to this version if it is behind. The process that applied it does so at
// once; a few others look after it, in case that one died while the object store was down.
struct UpdateConfigSnapshot
{
    ConfigVersion version = 0;
};
using ConfigAction = std::variant<ReadNewestConfigVersion, ReadConfigDocument, ReadConfigSnapshot,
                                  FetchConfigFromPeer, AnnounceConfig, InstallConfig,
                                  ReportConfigMismatch, UpdateConfigSnapshot>;
using ConfigActions = std::vector<ConfigAction>;

// Brings each accepted version to this process: notices of peers first, polling of the store as
// the net below them. Never goes to a lower version. docs/design/configuration.md gives the
// reasons.
class ConfigPropagation
{
public:
    explicit ConfigPropagation(std::uint64_t seed);

    ConfigActions start(Instant now);
    ConfigActions onTick(Instant now);
    // A peer says that it has this version.
    ConfigActions onNotice(Instant now, const std::string &peer, ConfigVersion version);
    // The store's newest version; 0 when it has none.
    ConfigActions onNewestVersion(Instant now, ConfigVersion version);
    // A whole document, from the store, the snapshot or a peer.
    ConfigActions onDocument(Instant now, ConfigVersion version, const std::string &document);
    ConfigActions onStoreFailed(Instant now);
    ConfigActions onPeerFailed(Instant now, const std::string &peer);

    // How many processes poll the store; they share its budget for this.
    void setProcessCount(std::size_t count);

    ConfigVersion version() const { return version_; }
    Duration pollPeriod() const;

    static constexpr Duration tickPeriod = std::chrono::milliseconds(200);
    // At today's sizes every process polls this often. With the jitter of a quarter and the tick,
    // a version is seen within 2.7 s even if every notice is lost.
    static constexpr Duration minPollPeriod = std::chrono::seconds(2);
    // Polls of all processes together, per second: a tenth of the table service's two thousand.
    static constexpr int pollsPerSecond = 200;
    // A process that has no version asks for the snapshot when the store is silent for this long.
    static constexpr Duration snapshotDelay = std::chrono::milliseconds(500);
    // So many processes, on average, look after the snapshot of a version, each at some time up to
    // the latest one after it is in force.
    static constexpr double snapshotUpdaters = 3;
    static constexpr Duration maxSnapshotUpdateDelay = std::chrono::seconds(5);

private:
    // Where the document that is being fetched should come from.
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
    // Of the document in force.
    Sha256Digest digest_ {};
    std::size_t processCount_ = 1;
    Instant nextPoll_;
    bool pollInFlight_ = false;
    std::optional<Instant> readSnapshotAt_;
    std::optional<Instant> updateSnapshotAt_;
    // Versions that peers have announced and that are newer than ours.
    std::map<std::string, ConfigVersion> announced_;
    ConfigVersion newestInStore_ = 0;
    std::optional<Source> fetchSource_;
};

} // namespace kelptally::decision
