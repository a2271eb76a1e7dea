#include "backend/requestrecord.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace kelptally::backend {

namespace {

using Json = nlohmann::json;

constexpr std::size_t unixSecondsDigits = 10;
constexpr std::size_t uuidLength = 36;
constexpr std::size_t uuidVersionAt = 14;
constexpr std::size_t uuidVariantAt = 19;

Json rowToJson(const std::vector<Value> &row)
{
    Json json = Json::array();
    for (const Value &value : row)
        json.push_back(value ? Json(*value) : Json());
    return json;
}

std::vector<Value> rowFromJson(const Json &json)
{
    std::vector<Value> row;
    for (const Json &value : json)
        row.push_back(value.is_null() ? Value() : Value(value.get<std::string>()));
    return row;
}

std::size_t recordedBytes(const Rows &rows)
{
    std::size_t bytes = rows.byteLength();
    for (const std::string &column : rows.columns)
        bytes += column.size();
    return bytes;
}

RequestRecord recordFromJson(const Json &json)
{
    RequestRecord record;
    if (json.at("state") == "void") {
        record.state = RecordState::Void;
        return record;
    }
    record.rows.affected = json.at("affected").get<std::size_t>();
    record.rowsMissing = json.value("rowsMissing", false);
    if (!json.contains("columns"))
        return record;
    record.rows.columns = json.at("columns").get<std::vector<std::string>>();
    for (const Json &row : json.at("rows"))
        record.rows.values.push_back(rowFromJson(row));
    return record;
}

bool isHexDigit(char c)
{
    return std::isxdigit(static_cast<unsigned char>(c)) != 0;
}

bool isUuidVersion7(const std::string &key)
{
    if (key.size() != uuidLength || key[uuidVersionAt] != '7'
        || std::string("89abAB").find(key[uuidVariantAt]) == std::string::npos)
        return false;
    for (std::size_t i = 0; i < key.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? key[i] != '-' : !isHexDigit(key[i]))
            return false;
    }
    return true;
}

bool startsWithSeconds(const std::string &key)
{
    return key.size() > unixSecondsDigits && key[unixSecondsDigits] == '-'
        && std::all_of(key.begin(), key.begin() + unixSecondsDigits,
                       [](unsigned char c) { return std::isdigit(c) != 0; });
}

} // namespace

std::string recordToText(const RequestRecord &record)
{
    Json json;
    if (record.state == RecordState::Void) {
        json["state"] = "void";
        return json.dump();
    }
    json["state"] = "done";
    json["affected"] = record.rows.affected;
    if (record.rowsMissing || recordedBytes(record.rows) > maxRecordedBytes) {
        json["rowsMissing"] = true;
    } else if (!record.rows.columns.empty()) {
        json["columns"] = record.rows.columns;
        json["rows"] = Json::array();
        for (const auto &row : record.rows.values)
            json["rows"].push_back(rowToJson(row));
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<RequestRecord> recordFromText(const std::string &text)
{
    try {
        return recordFromJson(Json::parse(text));
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::optional<WallTime> keyTime(const std::string &key)
{
    if (isUuidVersion7(key)) {
        const std::string digits = key.substr(0, 8) + key.substr(9, 4);
        const std::chrono::milliseconds sinceEpoch(std::strtoll(digits.c_str(), nullptr, 16));
        return WallTime(sinceEpoch);
    }
    if (startsWithSeconds(key))
        return WallTime(std::chrono::seconds(std::strtoll(key.c_str(), nullptr, 10)));
    return std::nullopt;
}

bool isKeyExpired(const std::string &key, WallTime now, Duration retention)
{
    const auto time = keyTime(key);
    return time && *time + std::chrono::duration_cast<WallTime::duration>(retention) < now;
}

} // namespace kelptally::backend
