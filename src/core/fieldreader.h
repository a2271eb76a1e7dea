#pragma once

#include "core/json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kelptally {

// Why a JSON document, or a part of it, was rejected.
enum class FieldFault {
    // Not a JSON object.
    Unreadable,
    FieldMissing,
    // The field has another JSON type.
    FieldType,
    // The type is right, but the value is not allowed.
    FieldValue,
};

const char *fieldFaultName(FieldFault fault);

// An error and the field that caused it; the field is empty when the document is not an object.
struct FieldError
{
    FieldFault fault = FieldFault::Unreadable;
    std::string field;

    std::string toText() const;
};

// Reads the fields of a JSON object strictly: a missing field or one of another type sets an error
// and reads as an empty value. Only the first error is kept; the caller must check error().
class FieldReader
{
public:
    explicit FieldReader(const JsonValue &object);

    bool has(const char *name) const { return object_.find(name) != nullptr; }
    std::string text(const char *name);
    // Reads a non-empty string.
    std::string name(const char *name);
    // Reads an integer from 0 to the maximum, written without fraction or exponent.
    std::uint64_t unsignedInteger(const char *name, std::uint64_t maximum = maxUnsignedInteger);
    // Reads a whole number from 0, in any form of a number. A larger one than the maximum is
    // adjusted to it.
    std::uint64_t saturatedInteger(const char *name, std::uint64_t maximum);
    // The same for any number; a fraction is cut off, as an adjustment.
    std::uint64_t roundedInteger(const char *name, std::uint64_t maximum);
    double number(const char *name);
    // Reads a number from 0. A larger one than the maximum is adjusted to it.
    double saturatedNumber(const char *name, double maximum);
    bool flag(const char *name);
    // Returns null when the field is missing or not an array.
    const JsonValue *list(const char *name);

    void setError(const char *name, FieldFault fault);
    const std::optional<FieldError> &error() const { return error_; }
    // Names of the fields whose values were adjusted.
    const std::vector<std::string> &adjusted() const { return adjusted_; }

    // Half of the range of a signed 64-bit integer, so that incrementing a value cannot overflow.
    static constexpr std::uint64_t maxUnsignedInteger = std::uint64_t(1) << 62;

private:
    const JsonValue *field(const char *name, JsonType type);

    const JsonValue &object_;
    std::optional<FieldError> error_;
    std::vector<std::string> adjusted_;
};

} // namespace kelptally
