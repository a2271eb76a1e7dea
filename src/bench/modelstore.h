#pragma once

#include "bench/model.h"
#include "decision/ownership.h"

#include <functional>
#include <map>

namespace kelptally::bench {

// Model of the table service: ownership rows of the groups with conditional writes and outages. It
// is unreachable from a partitioned zone.
class ModelStore
{
public:
    using ReadCallback =
        std::function<void(bool ok, const std::optional<decision::TaggedRow> &row)>;
    using WriteCallback = std::function<void(decision::WriteOutcome, const std::string &etag)>;

    explicit ModelStore(Model &model) : model_(model) { }

    void read(const ZoneName &from, const GroupName &group, ReadCallback callback);
    void write(const ZoneName &from, const GroupName &group, const decision::WriteRow &write,
               WriteCallback callback);

private:
    Model &model_;
    std::map<GroupName, decision::TaggedRow> rows_;
    std::uint64_t lastTag_ = 0;
};

} // namespace kelptally::bench
