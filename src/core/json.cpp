#include "core/json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace kelptally {

namespace {

// SAX handler that builds a JsonValue and stops at the first exceeded limit.
class Builder : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit Builder(std::size_t maxValues) : maxValues_(maxValues) { }

    JsonValue root;
    std::string problem;

    bool null() override { return add(JsonType::Null, {}); }
    bool boolean(bool value) override
    {
        JsonValue *added = place(JsonType::Boolean);
        if (added)
            added->boolean = value;
        return added != nullptr;
    }
    bool number_integer(number_integer_t value) override
    {
        return add(JsonType::Number, std::to_string(value));
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return add(JsonType::Number, std::to_string(value));
    }
    bool number_float(number_float_t, const string_t &digits) override
    {
        return add(JsonType::Number, digits);
    }
    bool string(string_t &value) override { return add(JsonType::String, std::move(value)); }
    bool binary(binary_t &) override { return false; }
    bool start_object(std::size_t) override { return open(JsonType::Object); }
    bool start_array(std::size_t) override { return open(JsonType::Array); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(string_t &name) override
    {
        auto &names = open_.back()->names;
        if (std::find(names.begin(), names.end(), name) != names.end())
            return fail("the member \"" + name + "\" is given twice");
        if (names.size() >= maxJsonMembers)
            return fail("an object has more than " + std::to_string(maxJsonMembers) + " members");
        names.push_back(std::move(name));
        return true;
    }

    bool parse_error(std::size_t, const std::string &,
                     const nlohmann::detail::exception &error) override
    {
        const std::string_view text = error.what();
        const std::size_t prefix = text.find("] ");
        return fail(std::string(prefix == text.npos ? text : text.substr(prefix + 2)));
    }

private:
    bool fail(std::string text)
    {
        problem = std::move(text);
        return false;
    }

    bool add(JsonType type, std::string text)
    {
        JsonValue *added = place(type);
        if (added)
            added->text = std::move(text);
        return added != nullptr;
    }

    JsonValue *place(JsonType type)
    {
        if (++count_ > maxValues_) {
            fail("more than " + std::to_string(maxValues_) + " values");
            return nullptr;
        }
        JsonValue *value = open_.empty() ? &root : &open_.back()->items.emplace_back();
        value->type = type;
        return value;
    }

    // Only the innermost open value grows, so pointers to the enclosing values stay valid.
    bool open(JsonType type)
    {
        if (open_.size() >= maxJsonDepth)
            return fail("nested deeper than " + std::to_string(maxJsonDepth));
        JsonValue *value = place(type);
        if (value)
            open_.push_back(value);
        return value != nullptr;
    }

    bool close()
    {
        open_.pop_back();
        return true;
    }

    std::vector<JsonValue *> open_;
    const std::size_t maxValues_;
    std::size_t count_ = 0;
};

void write(JsonWriter &json, const JsonValue &value)
{
    switch (value.type) {
    case JsonType::Null:
        json.null();
        return;
    case JsonType::Boolean:
        json.boolean(value.boolean);
        return;
    case JsonType::Number:
        json.digits(value.text);
        return;
    case JsonType::String:
        json.string(value.text);
        return;
    case JsonType::Array:
        json.beginArray();
        for (const JsonValue &item : value.items)
            write(json, item);
        json.endArray();
        return;
    case JsonType::Object:
        json.beginObject();
        for (std::size_t i = 0; i < value.items.size(); ++i) {
            json.key(value.names[i]);
            write(json, value.items[i]);
        }
        json.endObject();
        return;
    }
}

bool isPlain(char c)
{
    return c >= 0x20 && c < 0x7f && c != '"' && c != '\\';
}

} // namespace

const JsonValue *JsonValue::find(std::string_view name) const
{
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? nullptr : &items[static_cast<std::size_t>(found - names.begin())];
}

std::string JsonValue::textOf(std::string_view name) const
{
    const JsonValue *value = find(name);
    return value ? value->text : std::string();
}

std::int64_t JsonValue::toInteger(std::int64_t fallback) const
{
    if (type != JsonType::Number)
        return fallback;
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    return result.ec == std::errc() && result.ptr == end ? number : fallback;
}

absl::StatusOr<JsonValue> parseJson(std::string_view text, std::size_t maxValues)
{
    Builder builder(maxValues);
    if (nlohmann::json::sax_parse(text.begin(), text.end(), &builder))
        return std::move(builder.root);
    return absl::InvalidArgumentError(builder.problem);
}

std::string toJson(const JsonValue &value)
{
    JsonWriter json;
    write(json, value);
    return json.take();
}

void JsonWriter::separate()
{
    if (needsComma_)
        text_ += ',';
    needsComma_ = true;
}

JsonWriter &JsonWriter::beginObject()
{
    separate();
    text_ += '{';
    needsComma_ = false;
    return *this;
}

JsonWriter &JsonWriter::endObject()
{
    text_ += '}';
    needsComma_ = true;
    return *this;
}

JsonWriter &JsonWriter::beginArray()
{
    separate();
    text_ += '[';
    needsComma_ = false;
    return *this;
}

JsonWriter &JsonWriter::endArray()
{
    text_ += ']';
    needsComma_ = true;
    return *this;
}

JsonWriter &JsonWriter::key(std::string_view name)
{
    string(name);
    text_ += ':';
    needsComma_ = false;
    return *this;
}

JsonWriter &JsonWriter::string(std::string_view value)
{
    separate();
    if (std::all_of(value.begin(), value.end(), isPlain)) {
        text_ += '"';
        text_ += value;
        text_ += '"';
        return *this;
    }
    using Json = nlohmann::json;
    text_ += Json(value).dump(-1, ' ', false, Json::error_handler_t::replace);
    return *this;
}

JsonWriter &JsonWriter::integer(std::int64_t value)
{
    separate();
    text_ += std::to_string(value);
    return *this;
}

JsonWriter &JsonWriter::number(double value)
{
    if (!std::isfinite(value))
        return null();
    separate();
    text_ += nlohmann::json(std::round(value * 1000) / 1000).dump();
    return *this;
}

JsonWriter &JsonWriter::digits(std::string_view digits)
{
    separate();
    text_ += digits;
    return *this;
}

JsonWriter &JsonWriter::boolean(bool value)
{
    separate();
    text_ += value ? "true" : "false";
    return *this;
}

JsonWriter &JsonWriter::null()
{
    separate();
    text_ += "null";
    return *this;
}

JsonWriter &JsonWriter::member(std::string_view name, std::string_view value)
{
    return key(name).string(value);
}

JsonWriter &JsonWriter::member(std::string_view name, const char *value)
{
    return key(name).string(value);
}

JsonWriter &JsonWriter::member(std::string_view name, bool value)
{
    return key(name).boolean(value);
}

JsonWriter &JsonWriter::member(std::string_view name, std::int64_t value)
{
    return key(name).integer(value);
}

JsonWriter &JsonWriter::member(std::string_view name, std::uint64_t value)
{
    key(name).separate();
    text_ += std::to_string(value);
    return *this;
}

JsonWriter &JsonWriter::member(std::string_view name, int value)
{
    return key(name).integer(value);
}

JsonWriter &JsonWriter::member(std::string_view name, double value)
{
    return key(name).number(value);
}

} // namespace kelptally
