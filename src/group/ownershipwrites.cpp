#include "group/ownership.h"

// Conditional writes of rows, repeated until their outcome is known.
namespace kelptally::group {

namespace {

// A write without an answer may still take effect; the row is read this often to find out.
constexpr int maxOutcomeReads = 20;
constexpr Duration outcomeReadInterval = std::chrono::milliseconds(150);
constexpr Duration unavailableReadInterval = std::chrono::milliseconds(10);

bool isOutcomeUnknown(const absl::Status &status)
{
    return absl::IsUnknown(status) || absl::IsDeadlineExceeded(status);
}

} // namespace

services::ConditionalWrite OwnershipTable::conditionalWrite(const RowChange &change)
{
    services::ConditionalWrite write;
    write.table = table;
    write.key = change.group;
    write.value = encodeOwnership(change.record);
    write.expectedEtag = change.expected;
    return write;
}

OwnershipTable::RowChangePtr
OwnershipTable::prepareWrite(const GroupName &group, const OwnershipRecord &record,
                             const std::string &etag, bool exists,
                             std::function<void(absl::Status)> callback)
{
    auto change = std::make_shared<RowChange>();
    change->group = group;
    change->record = record;
    if (exists)
        change->expected = etag;
    change->callback = std::move(callback);
    change->triesLeft = maxOutcomeReads;
    entries_[group].writing = true;
    return change;
}

void OwnershipTable::write(const GroupName &group, const OwnershipRecord &record,
                           const std::string &etag, bool exists,
                           std::function<void(absl::Status)> callback)
{
    send(prepareWrite(group, record, etag, exists, std::move(callback)));
}

void OwnershipTable::send(const RowChangePtr &change)
{
    change->sentAt = parts_.timers.now();
    parts_.table.write({conditionalWrite(*change)}, [this, change](auto tags) {
        // A repeated write may be rejected because the first attempt has taken effect.
        if (isOutcomeUnknown(tags.status()) || (change->mayHaveTakenEffect && !tags.ok())) {
            change->mayHaveTakenEffect = true;
            return resolveOutcome(change);
        }
        if (tags.ok())
            onWritten(change, tags->front());
        finish(change, tags.status());
    });
}

void OwnershipTable::onWritten(const RowChangePtr &change, const std::string &tag)
{
    Entry &entry = entries_[change->group];
    entry.etag = tag;
    if (change->record.owner == parts_.self)
        entry.leaseUntil = std::max(entry.leaseUntil, change->sentAt + leaseDuration);
}

// The writes take effect all or none. Without an answer each outcome is resolved separately.
void OwnershipTable::sendBatch(std::vector<RowChangePtr> changes)
{
    if (changes.empty())
        return;
    std::vector<services::ConditionalWrite> writes;
    for (const RowChangePtr &change : changes) {
        change->sentAt = parts_.timers.now();
        writes.push_back(conditionalWrite(*change));
    }
    parts_.table.write(std::move(writes), [this, changes = std::move(changes)](auto tags) {
        if (absl::IsFailedPrecondition(tags.status()))
            return onBatchConflict(changes);
        for (std::size_t i = 0; i < changes.size(); ++i) {
            const RowChangePtr &change = changes[i];
            if (isOutcomeUnknown(tags.status())) {
                change->mayHaveTakenEffect = true;
                resolveOutcome(change);
                continue;
            }
            if (tags.ok())
                onWritten(change, (*tags)[i]);
            finish(change, tags.status());
        }
    });
}

void OwnershipTable::resolveOutcome(const RowChangePtr &change)
{
    parts_.table.read(table, change->group, [this, change](auto row) { onReadBack(change, row); });
}

// If the row shows this write or another one, the outcome is known. If the row is unchanged, the
// same conditional write is sent again rather than waiting for a late effect: only one of the two
// attempts can succeed. With such a wait, a candidate was recorded 4.5 s after the store's return.
void OwnershipTable::onReadBack(const RowChangePtr &change,
                                const absl::StatusOr<std::optional<services::TableRow>> &row)
{
    Entry &entry = entries_[change->group];
    if (row.ok()) {
        const std::optional<services::TableRow> &found = *row;
        if (found && found->value == encodeOwnership(change->record)) {
            entry.etag = found->etag;
            return finish(change, absl::OkStatus());
        }
        const bool unchanged = found.has_value() == change->expected.has_value()
            && (!found || found->etag == *change->expected);
        if (!unchanged) {
            if (found)
                static_cast<void>(applyRow(*found));
            return finish(change,
                          absl::FailedPreconditionError("the row was changed by another write"));
        }
    }
    if (--change->triesLeft <= 0)
        return finish(change,
                      absl::UnknownError("the outcome of the write could not be determined"));
    if (row.ok())
        return send(change);
    // While the service is unavailable reads send no call, so they may be repeated sooner.
    const Duration pause =
        parts_.isStoreUnavailable() ? unavailableReadInterval : outcomeReadInterval;
    parts_.timers.subscribeAfter(pause, [this, change] { resolveOutcome(change); });
}

void OwnershipTable::finish(const RowChangePtr &change, const absl::Status &status)
{
    entries_[change->group].writing = false;
    change->callback(status);
}

void OwnershipTable::change(const GroupName &group, const Edit &edit,
                            std::function<void(absl::Status)> callback)
{
    if (!owns(group))
        return callback(absl::FailedPreconditionError("not the owner"));
    if (entries_[group].writing)
        return callback(absl::AbortedError("another change of the row is in flight"));
    send(prepareChange(group, edit, std::move(callback)));
}

OwnershipTable::RowChangePtr
OwnershipTable::prepareChange(const GroupName &group, const Edit &edit,
                              std::function<void(absl::Status)> callback)
{
    Entry &entry = entries_[group];
    OwnershipRecord record = entry.record;
    edit(record);
    // Guard times must not accumulate from owner to owner.
    const Instant now = parts_.timers.now();
    record.earlier = entry.earlier.active(now);
    if (record.earlier.empty())
        record.guardedUntil = Duration(0);
    else if (!entry.earlier.mayAct(entry.previous, now))
        record.guardedUntil = std::min(record.guardedUntil, entry.inheritedGuard);
    if (entry.guardLimit != Duration(0))
        record.guardedUntil = std::min(record.guardedUntil, entry.guardLimit);
    const OwnerEpoch epoch = entry.record.epoch;
    return prepareWrite(
        group, record, entry.etag, true,
        [this, group, record, epoch, callback = std::move(callback)](absl::Status written) {
            Entry &entry = entries_[group];
            if (!owns(group) || entry.record.epoch != epoch)
                return callback(absl::FailedPreconditionError("ownership was lost"));
            if (written.ok())
                setRecord(group, entry, record);
            else
                renewLease(group);
            callback(written);
        });
}

void OwnershipTable::handOver(const GroupName &group, const ProcessId &to, const ZoneName &zone,
                              std::function<void(absl::Status)> callback)
{
    Entry &entry = entries_[group];
    if (!owns(group) || entry.writing)
        return callback(
            absl::UnavailableError("not the owner, or another change of the row is in flight"));
    const auto time = serviceTime();
    if (!time)
        return callback(absl::UnavailableError("the time of the table service is not known yet"));
    OwnershipRecord record = entry.record;
    // The row names this process as an earlier owner: the next one may not know it, and this one
    // may learn late that it has lost the group.
    setEarlierOwners(record, entry.earlier.active(parts_.timers.now()),
                     {entry.record.owner, entry.record.epoch}, *time);
    record.epoch += 1;
    record.owner = to;
    record.zone = zone;
    record.hasCapacity = false;
    entry.handingOver = true;
    write(group, record, entry.etag, true,
          [this, group, record, callback = std::move(callback)](absl::Status written) {
              // As long as the write may still take effect, the lease must not be extended.
              entries_[group].handingOver = absl::IsUnknown(written);
              if (written.ok())
                  applyRecord(group, record, entries_[group].etag);
              callback(written);
          });
}

} // namespace kelptally::group
