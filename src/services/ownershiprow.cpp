#include "services/ownershiprow.h"

#include "services/jsonobject.h"

namespace kelptally::services {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxAddressLength = 64;
constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxChangeIdLength = 128;
constexpr std::size_t maxSuccessors = 2;

Json toJson(const ProcessId &process)
{
    return {{"address", process.address}, {"incarnation", process.incarnation}};
}

ProcessId readProcess(JsonObject object, bool &valid)
{
    ProcessId process;
    process.address = object.text("address", maxAddressLength);
    process.incarnation = object.number("incarnation");
    valid = valid && object.valid();
    return process;
}

} // namespace

std::string encodeOwnershipRow(const decision::OwnershipRow &row)
{
    Json successors = Json::array();
    for (const ProcessId &successor : row.successors)
        successors.push_back(toJson(successor));
    const Json json = {
        {"epoch", row.epoch}, {"owner", toJson(row.owner)}, {"successors", successors},
        {"term", row.term},   {"primary", row.primary},     {"changeId", row.changeId},
    };
    return json.dump();
}

absl::StatusOr<decision::OwnershipRow> decodeOwnershipRow(const std::string &text)
{
    const Json json = parseJson(text, maxOwnershipRowBytes);
    JsonObject object(json);
    bool valid = true;
    decision::OwnershipRow row;
    row.epoch = object.number("epoch");
    row.owner = readProcess(object.object("owner"), valid);
    for (const Json &successor : object.array("successors", maxSuccessors))
        row.successors.push_back(readProcess(JsonObject(successor), valid));
    row.term = object.number("term");
    row.primary = object.text("primary", maxNameLength);
    row.changeId = object.text("changeId", maxChangeIdLength);
    if (!valid || !object.valid())
        return absl::InvalidArgumentError("not an ownership row");
    return row;
}

} // namespace kelptally::services
