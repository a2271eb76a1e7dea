#include "group/ownershiprecord.h"

#include "core/fieldreader.h"

namespace kelptally::group {

namespace {

// Upper limit of durations in rows, a year; prevents overflow.
constexpr std::uint64_t maxStoredMilliseconds = 366ull * 24 * 3600 * 1000;

} // namespace

// Leaves out most fields with default values, as each host reads the rows of all groups at start.
std::string encodeOwnership(const OwnershipRecord &record)
{
    JsonWriter writer;
    const auto number = [&writer](const char *name, std::uint64_t value) {
        if (value != 0)
            writer.member(name, value);
    };
    const auto flag = [&writer](const char *name, bool value) {
        if (value)
            writer.member(name, value);
    };
    const auto milliseconds = [&writer](const char *name, Duration value) {
        if (value != Duration(0))
            writer.member(name, std::int64_t(value / std::chrono::milliseconds(1)));
    };
    writer.beginObject();
    writer.member("epoch", record.epoch);
    writer.member("owner", record.owner.address);
    writer.member("incarnation", record.owner.incarnation);
    if (!record.zone.empty())
        writer.member("zone", record.zone);
    flag("has_room", record.hasCapacity);
    writer.member("primary", record.primary);
    writer.member("term", record.term);
    number("term_began", record.termStart);
    number("first_held", record.firstSeenOffset);
    writer.member("candidate", record.candidate);
    flag("other_candidates", record.otherCandidates);
    flag("primary_serves", record.primaryServes);
    milliseconds("lead_ms", record.leadTime);
    milliseconds("guarded_until_ms", record.guardedUntil);
    milliseconds("quotas_started_ms", record.quotasStartedAt);
    if (!record.earlier.empty()) {
        writer.key("earlier").beginArray();
        for (const decision::EarlierOwner &owner : record.earlier) {
            writer.beginObject();
            writer.member("owner", owner.process.address);
            writer.member("incarnation", owner.process.incarnation);
            writer.member("epoch", owner.epoch);
            writer.endObject();
        }
        writer.endArray();
    }
    if (!record.holders.empty()) {
        writer.key("holders").beginArray();
        for (const decision::LogHolder &holder : record.holders) {
            writer.beginObject();
            writer.member("server", holder.server);
            writer.member("endpoint", holder.endpoint);
            writer.endObject();
        }
        writer.endArray();
    }
    if (record.acknowledged.term != 0 || record.acknowledged.offset != 0) {
        writer.member("acknowledged_term", record.acknowledged.term);
        writer.member("acknowledged_offset", record.acknowledged.offset);
    }
    writer.endObject();
    return writer.take();
}

namespace {

// Rows of earlier versions lack the fields that are read below.
Duration readMilliseconds(FieldReader &fields, const char *name)
{
    if (!fields.has(name))
        return Duration(0);
    return std::chrono::milliseconds(fields.unsignedInteger(name, maxStoredMilliseconds));
}

std::vector<decision::EarlierOwner> readEarlierOwners(FieldReader &fields)
{
    std::vector<decision::EarlierOwner> owners;
    const JsonValue *list = fields.has("earlier") ? fields.list("earlier") : nullptr;
    if (list == nullptr)
        return owners;
    for (const JsonValue &each : list->items) {
        FieldReader owner(each);
        owners.push_back({{owner.text("owner"), owner.unsignedInteger("incarnation")},
                          owner.unsignedInteger("epoch")});
        if (owner.error())
            fields.setError("earlier", owner.error()->fault);
    }
    return owners;
}

std::vector<decision::LogHolder> readHolders(FieldReader &fields)
{
    std::vector<decision::LogHolder> holders;
    const JsonValue *list = fields.has("holders") ? fields.list("holders") : nullptr;
    if (list == nullptr)
        return holders;
    for (const JsonValue &each : list->items) {
        FieldReader holder(each);
        holders.push_back({holder.text("server"), holder.text("endpoint")});
        if (holder.error())
            fields.setError("holders", holder.error()->fault);
    }
    return holders;
}

Position readAcknowledged(FieldReader &fields)
{
    if (!fields.has("acknowledged_term"))
        return {};
    return {fields.unsignedInteger("acknowledged_term"),
            fields.unsignedInteger("acknowledged_offset")};
}

} // namespace

absl::StatusOr<OwnershipRecord> decodeOwnership(const std::string &text)
{
    const auto json = parseJson(text);
    if (!json.ok())
        return json.status();
    FieldReader fields(*json);
    OwnershipRecord record;
    record.epoch = fields.unsignedInteger("epoch");
    record.owner.address = fields.text("owner");
    record.owner.incarnation = fields.unsignedInteger("incarnation");
    record.zone = fields.has("zone") ? fields.text("zone") : std::string();
    record.hasCapacity = fields.has("has_room") && fields.flag("has_room");
    record.primary = fields.text("primary");
    record.term = fields.unsignedInteger("term");
    record.termStart = fields.has("term_began") ? fields.unsignedInteger("term_began") : 0;
    record.firstSeenOffset = fields.has("first_held") ? fields.unsignedInteger("first_held") : 0;
    record.candidate = fields.text("candidate");
    record.otherCandidates = fields.has("other_candidates") && fields.flag("other_candidates");
    record.primaryServes = fields.has("primary_serves") && fields.flag("primary_serves");
    record.leadTime = readMilliseconds(fields, "lead_ms");
    record.guardedUntil = readMilliseconds(fields, "guarded_until_ms");
    record.quotasStartedAt = readMilliseconds(fields, "quotas_started_ms");
    record.earlier = readEarlierOwners(fields);
    record.holders = readHolders(fields);
    record.acknowledged = readAcknowledged(fields);
    if (fields.error())
        return absl::InvalidArgumentError(fields.error()->toText());
    return record;
}

} // namespace kelptally::group
