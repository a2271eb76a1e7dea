#include "decision/configpropagation.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Share by which the poll period varies to either side, so that processes that started together do
// not poll together.
constexpr double jitterShare = 0.25;

// Time between reads of the snapshot while there is no version and the store does not answer.
constexpr Duration snapshotRetryInterval = std::chrono::seconds(1);

} // namespace

ConfigPropagation::ConfigPropagation(std::uint64_t seed) : random_(seed) { }

ConfigActions ConfigPropagation::start(Instant now)
{
    pollInFlight_ = true;
    nextPoll_ = nextPollAfter(now);
    readSnapshotAt_ = now + snapshotDelay;
    return {ReadNewestConfigVersion()};
}

ConfigActions ConfigPropagation::onTick(Instant now)
{
    ConfigActions actions;
    if (version_ == 0 && readSnapshotAt_ && now >= *readSnapshotAt_) {
        readSnapshotAt_ = now + snapshotRetryInterval;
        actions.push_back(ReadConfigSnapshot());
    }
    if (!pollInFlight_ && now >= nextPoll_) {
        pollInFlight_ = true;
        nextPoll_ = nextPollAfter(now);
        actions.push_back(ReadNewestConfigVersion());
    }
    if (updateSnapshotAt_ && now >= *updateSnapshotAt_) {
        updateSnapshotAt_.reset();
        if (drawSnapshotUpdater())
            actions.push_back(UpdateConfigSnapshot {version_});
    }
    return actions;
}

ConfigActions ConfigPropagation::onNotice(Instant, const std::string &peer, ConfigVersion version)
{
    if (version <= version_)
        return {};
    announced_[peer] = version;
    return fetch();
}

ConfigActions ConfigPropagation::onNewestVersion(Instant, ConfigVersion version)
{
    pollInFlight_ = false;
    // The store answers and is never older than the snapshot.
    readSnapshotAt_.reset();
    newestInStore_ = std::max(newestInStore_, version);
    return fetch();
}

ConfigActions ConfigPropagation::onDocument(Instant now, ConfigVersion version,
                                            const std::string &document)
{
    endFetch(version);
    ConfigActions actions;
    if (version > version_)
        install(now, version, document, actions);
    else if (version == version_ && version != 0 && sha256(document) != digest_)
        actions.push_back(ReportConfigMismatch {version});
    const ConfigActions fetchActions = fetch();
    actions.insert(actions.end(), fetchActions.begin(), fetchActions.end());
    return actions;
}

ConfigActions ConfigPropagation::onStoreFailed(Instant now)
{
    pollInFlight_ = false;
    if (version_ == 0)
        readSnapshotAt_ = std::min(readSnapshotAt_.value_or(now), now);
    // The next poll reads the newest version again.
    newestInStore_ = version_;
    if (fetchSource_ && std::holds_alternative<FromStore>(*fetchSource_))
        fetchSource_.reset();
    return fetch();
}

ConfigActions ConfigPropagation::onPeerFailed(Instant, const std::string &peer)
{
    announced_.erase(peer);
    const auto *from = fetchSource_ ? std::get_if<FromPeer>(&*fetchSource_) : nullptr;
    if (from && from->address == peer)
        fetchSource_.reset();
    return fetch();
}

void ConfigPropagation::setProcessCount(std::size_t count)
{
    processCount_ = count;
}

Duration ConfigPropagation::pollPeriod() const
{
    const Duration share = std::chrono::seconds(processCount_) / pollsPerSecond;
    return std::max(minPollPeriod, share);
}

void ConfigPropagation::install(Instant now, ConfigVersion version, const std::string &document,
                                ConfigActions &actions)
{
    std::uniform_real_distribution<double> share(0, 1);
    updateSnapshotAt_ =
        now + std::chrono::duration_cast<Duration>(maxSnapshotUpdateDelay * share(random_));
    version_ = version;
    digest_ = sha256(document);
    readSnapshotAt_.reset();
    for (auto at = announced_.begin(); at != announced_.end();)
        at = at->second <= version_ ? announced_.erase(at) : std::next(at);
    actions.push_back(InstallConfig {version, document});
    actions.push_back(AnnounceConfig {version});
}

// Drops the announcement of a peer that returned an older version than it had announced, so the
// peer is not asked again until its next notice.
void ConfigPropagation::endFetch(ConfigVersion received)
{
    const auto *from = fetchSource_ ? std::get_if<FromPeer>(&*fetchSource_) : nullptr;
    const auto announced = from ? announced_.find(from->address) : announced_.end();
    if (announced != announced_.end() && received < announced->second)
        announced_.erase(announced);
    fetchSource_.reset();
}

// Prefers a peer, to keep load off the store, unless the store has a newer version.
ConfigActions ConfigPropagation::fetch()
{
    if (fetchSource_)
        return {};
    const auto newest =
        std::max_element(announced_.begin(), announced_.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    const ConfigVersion peerVersion = newest == announced_.end() ? 0 : newest->second;
    if (peerVersion > version_ && peerVersion >= newestInStore_) {
        fetchSource_ = FromPeer {newest->first};
        return {FetchConfigFromPeer {newest->first, peerVersion}};
    }
    if (newestInStore_ > version_) {
        fetchSource_ = FromStore();
        return {ReadConfigDocument {newestInStore_}};
    }
    return {};
}

bool ConfigPropagation::drawSnapshotUpdater()
{
    std::uniform_real_distribution<double> draw(0, static_cast<double>(processCount_));
    return draw(random_) < snapshotUpdaters;
}

Instant ConfigPropagation::nextPollAfter(Instant now)
{
    std::uniform_real_distribution<double> jitter(1 - jitterShare, 1 + jitterShare);
    return now + std::chrono::duration_cast<Duration>(pollPeriod() * jitter(random_));
}

} // namespace kelptally::decision
