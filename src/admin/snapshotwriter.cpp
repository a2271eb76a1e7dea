#include "admin/snapshotwriter.h"

#include <glog/logging.h>

namespace kelptally::admin {

SnapshotWriter::SnapshotWriter(TimerService &timers, services::ObjectStore &objects)
    : timers_(timers), objects_(objects)
{ }

SnapshotWriter::~SnapshotWriter() = default;

void SnapshotWriter::update(services::ConfigVersionRow row)
{
    if (wanted_ && wanted_->version >= row.version)
        return;
    wanted_ = std::move(row);
    if (!busy_)
        read();
}

void SnapshotWriter::read()
{
    busy_ = true;
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
        // A snapshot that can't be read is of no use to anybody and is written over.
        const auto current = services::decodeConfigVersionRow((*read)->value);
        if (current.ok() && current->version >= wanted_->version)
            return done();
        write.expectedEtag = (*read)->etag;
    }
    const auto text = services::encodeConfigRow(*wanted_);
    if (!text.ok())
        return done();
    write.value = *text;
    const std::weak_ptr<bool> alive = alive_;
    objects_.put(
        std::move(write),
        [this, alive, version = wanted_->version](absl::StatusOr<std::vector<std::string>> tags) {
            if (!alive.expired())
                onWritten(version, tags.status());
        });
}

void SnapshotWriter::onWritten(ConfigVersion version, const absl::Status &status)
{
    if (!status.ok() && !absl::IsFailedPrecondition(status))
        return retry();
    // Another process was faster, or a still newer version has come up: look again.
    if (!status.ok() || wanted_->version > version)
        return read();
    LOG(INFO) << "event=config_snapshot version=" << version;
    done();
}

void SnapshotWriter::retry()
{
    const std::weak_ptr<bool> alive = alive_;
    timers_.subscribeAfter(retryPeriod, [this, alive] {
        if (!alive.expired())
            read();
    });
}

void SnapshotWriter::done()
{
    busy_ = false;
    wanted_.reset();
}

} // namespace kelptally::admin
