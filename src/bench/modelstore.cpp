#include "bench/modelstore.h"

namespace kelptally::bench {

using namespace decision;
using namespace std::chrono_literals;

namespace {

constexpr Duration storeLatency = 5ms;
// Calls fail after this time while the service is unreachable.
constexpr Duration storeTimeout = 200ms;

} // namespace

void ModelStore::read(const ZoneName &from, const GroupName &group, ReadCallback callback)
{
    ++model_.storeReads;
    if (!model_.storeAvailable || model_.isPartitioned(from)) {
        model_.timers.subscribeAfter(storeTimeout, [callback] { callback(false, std::nullopt); });
        return;
    }
    model_.timers.subscribeAfter(storeLatency, [this, group, callback] {
        const auto found = rows_.find(group);
        const bool exists = found != rows_.end();
        callback(true, exists ? std::make_optional(found->second) : std::nullopt);
    });
}

void ModelStore::write(const ZoneName &from, const GroupName &group, const WriteRow &write,
                       WriteCallback callback)
{
    ++model_.storeWrites;
    if (!model_.storeAvailable || model_.isPartitioned(from)) {
        model_.timers.subscribeAfter(storeTimeout,
                                     [callback] { callback(WriteOutcome::Unknown, {}); });
        return;
    }
    model_.timers.subscribeAfter(storeLatency, [this, group, write, callback] {
        const auto found = rows_.find(group);
        const bool conditionMet = write.expectedEtag
            ? found != rows_.end() && found->second.etag == *write.expectedEtag
            : found == rows_.end();
        if (!conditionMet)
            return callback(WriteOutcome::Conflict, {});
        const std::string etag = std::to_string(++lastTag_);
        rows_[group] = {write.row, etag};
        callback(WriteOutcome::Done, etag);
    });
}

} // namespace kelptally::bench
