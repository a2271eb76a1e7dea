#include "core/fieldreader.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cmath>

namespace kelptally {

const char *fieldFaultName(FieldFault fault)
{
    switch (fault) {
    case FieldFault::Unreadable:
        return "unreadable";
    case FieldFault::FieldMissing:
        return "field_missing";
    case FieldFault::FieldType:
        return "field_type";
    case FieldFault::FieldValue:
        return "field_value";
    }
    return "unreadable";
}

std::string FieldError::toText() const
{
    return field.empty() ? fieldFaultName(fault) : field + ": " + fieldFaultName(fault);
}

FieldReader::FieldReader(const JsonValue &object) : object_(object)
{
    if (object.type != JsonType::Object)
        error_ = FieldError {};
}

void FieldReader::setError(const char *name, FieldFault fault)
{
    if (!error_)
        error_ = FieldError {fault, name};
}

const JsonValue *FieldReader::field(const char *name, JsonType type)
{
    const JsonValue *value = object_.find(name);
    if (value == nullptr) {
        setError(name, FieldFault::FieldMissing);
        return nullptr;
    }
    if (value->type != type) {
        setError(name, FieldFault::FieldType);
        return nullptr;
    }
    return value;
}

std::string FieldReader::text(const char *name)
{
    const JsonValue *value = field(name, JsonType::String);
    return value == nullptr ? std::string() : value->text;
}

std::string FieldReader::name(const char *name)
{
    const std::string value = text(name);
    if (value.empty())
        setError(name, FieldFault::FieldValue);
    return value;
}

std::uint64_t FieldReader::unsignedInteger(const char *name, std::uint64_t maximum)
{
    const JsonValue *value = field(name, JsonType::Number);
    if (value == nullptr)
        return 0;
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(value->text, &number)) {
        setError(name, FieldFault::FieldType);
        return 0;
    }
    if (number > maximum) {
        setError(name, FieldFault::FieldValue);
        return 0;
    }
    return number;
}

double FieldReader::number(const char *name)
{
    const JsonValue *value = field(name, JsonType::Number);
    double number = 0;
    if (value != nullptr && !absl::SimpleAtod(value->text, &number))
        setError(name, FieldFault::FieldType);
    return number;
}

double FieldReader::saturatedNumber(const char *name, double maximum)
{
    const double value = number(name);
    if (!(value >= 0)) {
        setError(name, FieldFault::FieldValue);
        return 0;
    }
    if (value > maximum)
        adjusted_.emplace_back(name);
    return std::min(value, maximum);
}

std::uint64_t FieldReader::saturatedInteger(const char *name, std::uint64_t maximum)
{
    const double value = number(name);
    // A sign or a fraction makes it another kind of number than the field holds.
    if (value < 0 || (std::isfinite(value) && value != std::floor(value)))
        setError(name, FieldFault::FieldType);
    return roundedInteger(name, maximum);
}

std::uint64_t FieldReader::roundedInteger(const char *name, std::uint64_t maximum)
{
    const JsonValue *field = object_.find(name);
    std::uint64_t exact = 0;
    if (field != nullptr && field->type == JsonType::Number && absl::SimpleAtoi(field->text, &exact)
        && exact <= maximum)
        return exact;
    const double value = number(name);
    if (value < 0)
        setError(name, FieldFault::FieldType);
    if (error_)
        return 0;
    const bool isTooLarge = value >= static_cast<double>(maximum);
    if (isTooLarge || value != std::floor(value))
        adjusted_.emplace_back(name);
    return isTooLarge ? maximum : static_cast<std::uint64_t>(value);
}

bool FieldReader::flag(const char *name)
{
    const JsonValue *value = field(name, JsonType::Boolean);
    return value != nullptr && value->boolean;
}

const JsonValue *FieldReader::list(const char *name)
{
    return field(name, JsonType::Array);
}

} // namespace kelptally
