#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace kelptally::services {

// Reads the members of a JSON object and checks their types and bounds. A member that is missing,
// of another type or too large makes the object invalid and reads as an empty value.
class JsonObject
{
public:
    explicit JsonObject(const nlohmann::json &json) : json_(json), valid_(json.is_object()) { }

    // Whether all members read so far were valid.
    bool valid() const { return valid_; }

    std::string text(const char *name, std::size_t maxLength)
    {
        const nlohmann::json *value = find(name);
        if (!value || !value->is_string())
            return invalid<std::string>();
        const auto &text = value->get_ref<const std::string &>();
        return text.size() <= maxLength ? text : invalid<std::string>();
    }

    std::uint64_t number(const char *name)
    {
        const nlohmann::json *value = find(name);
        return value && value->is_number_unsigned() ? value->get<std::uint64_t>()
                                                    : invalid<std::uint64_t>();
    }

    JsonObject object(const char *name)
    {
        const nlohmann::json *value = find(name);
        static const nlohmann::json none;
        valid_ = valid_ && value && value->is_object();
        return JsonObject(value ? *value : none);
    }

    // Returns an array of at most maxSize values.
    const nlohmann::json &array(const char *name, std::size_t maxSize)
    {
        static const nlohmann::json none = nlohmann::json::array();
        const nlohmann::json *value = find(name);
        if (value && value->is_array() && value->size() <= maxSize)
            return *value;
        valid_ = false;
        return none;
    }

private:
    const nlohmann::json *find(const char *name) const
    {
        if (!json_.is_object())
            return nullptr;
        const auto found = json_.find(name);
        return found == json_.end() ? nullptr : &*found;
    }

    template <typename T>
    T invalid()
    {
        valid_ = false;
        return {};
    }

    const nlohmann::json &json_;
    bool valid_;
};

// Parses JSON; returns a discarded value for a text that is malformed or too long.
inline nlohmann::json parseJson(const std::string &text, std::size_t maxLength)
{
    if (text.size() > maxLength)
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace kelptally::services
