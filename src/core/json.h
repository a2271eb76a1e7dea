#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kelptally {

enum class JsonType {
    Null,
    Boolean,
    Number,
    String,
    Array,
    Object,
};

// One value of a JSON document (RFC 8259). Numbers keep their text, so that no precision is lost on
// the way to a database.
struct JsonValue
{
    JsonType type = JsonType::Null;
    bool boolean = false;
    // Content of a string, or text of a number.
    std::string text;
    // Elements of an array, or values of an object.
    std::vector<JsonValue> items;
    // Member names of an object, in the order of items.
    std::vector<std::string> names;

    // Returns the member of this name; null when it is missing or this is not an object.
    const JsonValue *find(std::string_view name) const;
    // Returns the text of the member of this name; empty when it is missing.
    std::string textOf(std::string_view name) const;
    // Returns the number as an integer, or the fallback when it is not an integer.
    std::int64_t toInteger(std::int64_t fallback = 0) const;
};

constexpr int maxJsonDepth = 16;
constexpr std::size_t maxJsonMembers = 64;
constexpr std::size_t maxJsonValues = 20000;

// Parses one document. Returns InvalidArgument with the position for invalid JSON, a duplicate
// member or an exceeded limit. Limits are checked while parsing, which bounds the memory used.
absl::StatusOr<JsonValue> parseJson(std::string_view text, std::size_t maxValues = maxJsonValues);

// Serialises a value. The result of parseJson() is reproduced except for whitespace.
std::string toJson(const JsonValue &value);

// Streaming JSON writer. Inserts commas as needed; does not check that the document is complete.
class JsonWriter
{
public:
    JsonWriter &beginObject();
    JsonWriter &endObject();
    JsonWriter &beginArray();
    JsonWriter &endArray();
    JsonWriter &key(std::string_view name);
    // Replaces invalid UTF-8 by U+FFFD.
    JsonWriter &string(std::string_view value);
    JsonWriter &integer(std::int64_t value);
    // Rounds to three decimal places.
    JsonWriter &number(double value);
    // Writes the text of a number unchanged.
    JsonWriter &digits(std::string_view digits);
    JsonWriter &boolean(bool value);
    JsonWriter &null();

    JsonWriter &member(std::string_view name, std::string_view value);
    JsonWriter &member(std::string_view name, const char *value);
    JsonWriter &member(std::string_view name, bool value);
    JsonWriter &member(std::string_view name, std::int64_t value);
    JsonWriter &member(std::string_view name, std::uint64_t value);
    JsonWriter &member(std::string_view name, int value);
    JsonWriter &member(std::string_view name, double value);

    std::string take() { return std::move(text_); }

private:
    void separate();

    std::string text_;
    bool needsComma_ = false;
};

} // namespace kelptally
