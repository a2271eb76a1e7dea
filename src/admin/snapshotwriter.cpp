#include "admin/snapshotwriter.h"

#include <glog/logging.h>

namespace kelptally::admin {

SnapshotWriter::SnapshotWriter(TimerService &timers, services::ObjectStore &objects)
    : timers_(timers), objects_(objects)
{ }

SnapshotWriter::~SnapshotWriter() = default;

void SnapshotWriter::update(services::ConfigVersionRow row)
{
    if (pending_ && pending_->version >= row.version)
        return;
    pending_ = std::move(row);
    if (!running_)
        read();
}

void SnapshotWriter::read()
{
    running_ = true;
    const std::weak_ptr<bool> alive = alive_;
    objects_.get(services::configSnapshotKey,
                 [this, alive](absl::StatusOr<std::optional<services::TableRow>> read) {
                     if (!alive.expired())
                         onRead(read);
                 });
}

void SnapshotWriter::onRead(const absl::StatusOr<std::optional<services::TableRow>> &read)
{
    if (!read.ok())
        return retry();
    services::ConditionalWrite write;
    write.key = services::configSnapshotKey;
    if (*read) {
        // A snapshot that cannot be decoded is overwritten.
        const auto current = services::decodeConfigVersionRow((*read)->value);
        if (current.ok() && current->version >= pending_->version)
            return finish();
        write.expectedEtag = (*read)->etag;
    }
    const auto text = services::encodeConfigRow(*pending_);
    if (!text.ok())
        return finish();
    write.value = *text;
    const std::weak_ptr<bool> alive = alive_;
    objects_.put(
        std::move(write),
        [this, alive, version = pending_->version](absl::StatusOr<std::vector<std::string>> etags) {
            if (!alive.expired())
                onWritten(version, etags.status());
        });
}

void SnapshotWriter::onWritten(ConfigVersion version, const absl::Status &status)
{
    if (!status.ok() && !absl::IsFailedPrecondition(status))
        return retry();
    // Another process has written the snapshot, or a newer version is pending: read it again.
    if (!status.ok() || pending_->version > version)
        return read();
    LOG(INFO) << "event=config_snapshot version=" << version;
    finish();
}

void SnapshotWriter::retry()
{
    const std::weak_ptr<bool> alive = alive_;
    timers_.subscribeAfter(retryPeriod, [this, alive] {
        if (!alive.expired())
            read();
    });
}

void SnapshotWriter::finish()
{
    running_ = false;
    pending_.reset();
}

} // namespace kelptally::admin
