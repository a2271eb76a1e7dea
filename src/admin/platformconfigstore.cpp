#include "admin/platformconfigstore.h"

#include "services/configrows.h"
#include "services/httpservices.h"

#include <algorithm>

namespace kelptally::admin {

namespace {

using decision::ApplyState;
using decision::WriteOutcome;
using services::TableRow;

// Maps the status of a write to whether it was made, refused or of unknown outcome.
WriteOutcome toWriteOutcome(const absl::Status &status)
{
    if (status.ok())
        return WriteOutcome::Done;
    if (absl::IsFailedPrecondition(status))
        return WriteOutcome::Conflict;
    // The service has rejected the request or was never reached.
    if (absl::IsUnavailable(status) || absl::IsInvalidArgument(status))
        return WriteOutcome::NotSent;
    return WriteOutcome::Unknown;
}

absl::StatusOr<std::optional<ConfigRecord>>
decodeRecord(const absl::StatusOr<std::optional<TableRow>> &row)
{
    if (!row.ok())
        return row.status();
    if (!*row)
        return std::optional<ConfigRecord>();
    auto record = services::decodeConfigVersionRow((*row)->value);
    if (!record.ok())
        return record.status();
    return *std::move(record);
}

absl::StatusOr<ConfigVersion>
decodeNewestVersion(const absl::StatusOr<std::optional<TableRow>> &row)
{
    if (!row.ok())
        return row.status();
    if (!*row)
        return ConfigVersion(0);
    const auto newest = services::decodeNewestConfigRow((*row)->value);
    if (!newest.ok())
        return newest.status();
    return newest->version;
}

// Encodes the rows that are written together for one version.
absl::StatusOr<std::vector<services::ConditionalWrite>>
encodeVersionRows(const ConfigRecord &record, const std::optional<std::string> &newestEtag)
{
    ConfigRecord entry = record;
    entry.document.clear();
    const auto version = services::encodeConfigRow(record);
    const auto history = services::encodeConfigRow(entry);
    const auto newest =
        services::encodeConfigRow(services::NewestConfigRow {record.version, record.changeId});
    for (const auto *text : {&version, &history, &newest})
        if (!text->ok())
            return text->status();
    return std::vector<services::ConditionalWrite> {
        {services::configTable, services::configVersionKey(record.version), *version, {}},
        {services::configTable, services::configHistoryKey(record.version), *history, {}},
        {services::configTable, services::newestConfigKey, *newest, newestEtag},
    };
}

} // namespace

// An apply in progress; kept alive by its timer and by the callbacks of the table service.
struct PlatformConfigStore::Apply
{
    Apply(ConfigVersion expected, ConfigRecord recordToApply, ConfigApplyCallback applyCallback,
          std::uint64_t seed)
        : record(std::move(recordToApply)), decision(expected, record.changeId, applyTimeout, seed),
          callback(std::move(applyCallback))
    { }

    const ConfigRecord record;
    decision::ConfigApply decision;
    ConfigApplyCallback callback;
    TimerId timer = 0;
};

// A history read in progress: versions are read concurrently and may arrive in any order.
struct PlatformConfigStore::History
{
    std::vector<ConfigRecord> records;
    std::size_t pending = 0;
    absl::Status status;
    ConfigHistoryCallback callback;
};

PlatformConfigStore::PlatformConfigStore(TimerService &timers,
                                         std::unique_ptr<services::TableService> tables,
                                         std::unique_ptr<services::ObjectStore> objects)
    : timers_(timers), tables_(std::move(tables)), objects_(std::move(objects)),
      random_(std::random_device()()), snapshot_(timers, *objects_)
{ }

PlatformConfigStore::~PlatformConfigStore() = default;

void PlatformConfigStore::readNewestVersion(ConfigVersionCallback callback)
{
    tables_->read(
        services::configTable, services::newestConfigKey,
        [callback = std::move(callback)](auto row) { callback(decodeNewestVersion(row)); });
}

void PlatformConfigStore::readNewest(ConfigRecordCallback callback)
{
    readNewestVersion([this, callback = std::move(callback)](absl::StatusOr<ConfigVersion> newest) {
        if (!newest.ok())
            callback(newest.status());
        else if (*newest == 0)
            callback(std::optional<ConfigRecord>());
        else
            readVersion(*newest, callback);
    });
}

void PlatformConfigStore::readVersion(ConfigVersion version, ConfigRecordCallback callback)
{
    readRecord(services::configVersionKey(version), std::move(callback));
}

void PlatformConfigStore::readRecord(const std::string &key, ConfigRecordCallback callback)
{
    tables_->read(services::configTable, key,
                  [callback = std::move(callback)](auto row) { callback(decodeRecord(row)); });
}

void PlatformConfigStore::readSnapshot(ConfigRecordCallback callback)
{
    objects_->get(services::configSnapshotKey,
                  [callback = std::move(callback)](auto row) { callback(decodeRecord(row)); });
}

void PlatformConfigStore::readHistory(std::size_t limit, ConfigHistoryCallback callback)
{
    auto history = std::make_shared<History>();
    history->callback = std::move(callback);
    readNewestVersion([this, limit, history](absl::StatusOr<ConfigVersion> newest) {
        if (!newest.ok())
            return history->callback(newest.status());
        const std::size_t count = std::min<std::size_t>(std::min(limit, maxHistoryLimit), *newest);
        history->pending = count;
        if (count == 0)
            return history->callback(std::vector<ConfigRecord>());
        for (std::size_t i = 0; i < count; ++i)
            readRecord(services::configHistoryKey(*newest - i),
                       [history](const auto &record) { addToHistory(*history, record); });
    });
}

void PlatformConfigStore::addToHistory(History &history,
                                       const absl::StatusOr<std::optional<ConfigRecord>> &record)
{
    if (!record.ok())
        history.status = record.status();
    else if (*record)
        history.records.push_back(**record);
    if (--history.pending > 0)
        return;
    std::sort(history.records.begin(), history.records.end(),
              [](const ConfigRecord &a, const ConfigRecord &b) { return a.version > b.version; });
    if (history.status.ok())
        history.callback(std::move(history.records));
    else
        history.callback(history.status);
}

void PlatformConfigStore::updateSnapshot(ConfigVersion version)
{
    readVersion(version, [this](absl::StatusOr<std::optional<ConfigRecord>> record) {
        if (record.ok() && *record)
            snapshot_.update(**std::move(record));
    });
}

void PlatformConfigStore::apply(ConfigVersion expected, ConfigRecord record,
                                ConfigApplyCallback callback)
{
    record.version = expected + 1;
    const auto apply =
        std::make_shared<Apply>(expected, std::move(record), std::move(callback), random_());
    const std::weak_ptr<bool> alive = alive_;
    apply->timer = timers_.subscribeEvery(decision::ConfigApply::tickPeriod, [this, alive, apply] {
        if (!alive.expired())
            step(apply, apply->decision.onTick(timers_.now()));
    });
    step(apply, apply->decision.start(timers_.now()));
}

void PlatformConfigStore::step(const ApplyPtr &apply,
                               const std::optional<decision::ApplyAction> &action)
{
    if (!action) {
        if (apply->decision.ended())
            finish(apply);
        return;
    }
    if (std::holds_alternative<decision::ReadNewestRow>(*action))
        readNewestFor(apply);
    else if (const auto *read = std::get_if<decision::ReadVersionRow>(&*action))
        readVersionFor(apply, read->version);
    else if (const auto *write = std::get_if<decision::WriteVersionRow>(&*action))
        writeFor(apply, *write);
}

void PlatformConfigStore::readNewestFor(const ApplyPtr &apply)
{
    tables_->read(services::configTable, services::newestConfigKey, [this, apply](auto row) {
        const Instant now = timers_.now();
        const auto newest = decodeNewestVersion(row);
        if (!newest.ok())
            return step(apply, apply->decision.onReadFailed(now));
        const auto etag = *row ? std::optional((*row)->etag) : std::nullopt;
        step(apply, apply->decision.onNewestVersion(now, *newest, etag));
    });
}

void PlatformConfigStore::readVersionFor(const ApplyPtr &apply, ConfigVersion version)
{
    readRecord(services::configHistoryKey(version), [this, apply](const auto &record) {
        const Instant now = timers_.now();
        if (!record.ok())
            return step(apply, apply->decision.onReadFailed(now));
        const auto changeId = *record ? std::optional((*record)->changeId) : std::nullopt;
        step(apply, apply->decision.onVersionRow(now, changeId));
    });
}

void PlatformConfigStore::writeFor(const ApplyPtr &apply, const decision::WriteVersionRow &action)
{
    const auto rows = encodeVersionRows(apply->record, action.newestEtag);
    // A retry cannot help, but it is certain that nothing was written.
    if (!rows.ok())
        return step(apply, apply->decision.onWriteOutcome(timers_.now(), WriteOutcome::NotSent));
    tables_->write(*rows, [this, apply](auto etags) {
        step(apply, apply->decision.onWriteOutcome(timers_.now(), toWriteOutcome(etags.status())));
    });
}

void PlatformConfigStore::finish(const ApplyPtr &apply)
{
    timers_.cancel(apply->timer);
    const ConfigApplyCallback callback = std::move(apply->callback);
    switch (apply->decision.state()) {
    case ApplyState::Accepted:
        snapshot_.update(apply->record);
        return callback(ConfigApplied {true, apply->record.version});
    case ApplyState::Conflict:
        return callback(ConfigApplied {false, apply->decision.newest()});
    case ApplyState::Failed:
        return callback(absl::UnavailableError("the table service could not be reached; nothing was"
                                               " written"));
    default:
        return callback(absl::UnknownError("it is unknown whether the table service accepted the"
                                           " version; apply again with the same change id"));
    }
}

std::unique_ptr<ConfigStore> makePlatformConfigStore(DutyThread &thread,
                                                     const settings::ProcessSettings &settings)
{
    return std::make_unique<PlatformConfigStore>(
        thread.timers(),
        services::makeTableService(thread, settings.tableService, settings.storeTimeout),
        services::makeObjectStore(thread, settings.objectStore, settings.storeTimeout));
}

} // namespace kelptally::admin
