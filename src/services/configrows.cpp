#include "services/configrows.h"

#include "services/jsonobject.h"
#include "settings/inidocument.h"

namespace kelptally::services {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxChangeIdLength = 128;
constexpr std::size_t maxAuthorLength = 256;
constexpr std::size_t maxTimeLength = 64;
constexpr std::size_t maxNewestBytes = 1024;
// A control character takes six bytes in JSON; the rest is for the other fields.
constexpr std::size_t maxVersionBytes = 6 * settings::maxDocumentBytes + 4096;

absl::Status tooLargeError()
{
    return absl::InvalidArgumentError("a field of the configuration version is too long");
}

absl::StatusOr<std::string> serialized(const Json &json)
{
    try {
        return json.dump();
    } catch (const Json::exception &) {
        return absl::InvalidArgumentError("the configuration version is not UTF-8");
    }
}

} // namespace

std::string configVersionKey(ConfigVersion version)
{
    return "version-" + std::to_string(version);
}

std::string configHistoryKey(ConfigVersion version)
{
    return "history-" + std::to_string(version);
}

absl::StatusOr<std::string> encodeConfigRow(const NewestConfigRow &row)
{
    if (row.changeId.size() > maxChangeIdLength)
        return tooLargeError();
    return serialized({{"version", row.version}, {"changeId", row.changeId}});
}

absl::StatusOr<std::string> encodeConfigRow(const ConfigVersionRow &row)
{
    if (row.changeId.size() > maxChangeIdLength || row.author.size() > maxAuthorLength
        || row.time.size() > maxTimeLength || row.document.size() > settings::maxDocumentBytes)
        return tooLargeError();
    return serialized({{"version", row.version},
                       {"changeId", row.changeId},
                       {"author", row.author},
                       {"time", row.time},
                       {"document", row.document}});
}

absl::StatusOr<NewestConfigRow> decodeNewestConfigRow(const std::string &text)
{
    const Json json = parseJson(text, maxNewestBytes);
    JsonObject object(json);
    NewestConfigRow row;
    row.version = object.number("version");
    row.changeId = object.text("changeId", maxChangeIdLength);
    if (!object.valid() || row.version == 0)
        return absl::InvalidArgumentError("not a row of the newest configuration version");
    return row;
}

absl::StatusOr<ConfigVersionRow> decodeConfigVersionRow(const std::string &text)
{
    const Json json = parseJson(text, maxVersionBytes);
    JsonObject object(json);
    ConfigVersionRow row;
    row.version = object.number("version");
    row.changeId = object.text("changeId", maxChangeIdLength);
    row.author = object.text("author", maxAuthorLength);
    row.time = object.text("time", maxTimeLength);
    row.document = object.text("document", settings::maxDocumentBytes);
    if (!object.valid() || row.version == 0)
        return absl::InvalidArgumentError("not a configuration version");
    return row;
}

} // namespace kelptally::services
