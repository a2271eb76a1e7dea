#pragma once

#include "core/json.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kelptally {

// Why a document, or a part of one, can't be used.
enum class FieldFault {
    // No JSON object.
    Unreadable,
    FieldMissing,
    // Of another type.
    FieldType,
    // Of the right type, and no value that the field may have.
    FieldValue,
};

const char *fieldFaultName(FieldFault fault);

// What is wrong, by the field that decides it; no field when there is no object to look into.
struct FieldError
{
    FieldFault fault = FieldFault::Unreadable;
    std::string field;

    std::string toText() const;
};

// Reads the fields of one object strictly: what is missing, or is of another type, is remembered as
// an error with the field's name, and never passes for a value. The first error counts.
class FieldReader
{
public:
    explicit FieldReader(const JsonValue &object);

    bool has(const char *name) const { return object_.find(name) != nullptr; }
    std::string text(const char *name);
    // A text that is not empty.
    std::string name(const char *name);
    // A whole number from 0 up to the bound, written without fraction or exponent.
    std::uint64_t unsignedInteger(const char *name, std::uint64_t maximum = maxUnsignedInteger);
    double number(const char *name);
    bool flag(const char *name);
    // Null when there is no such list.
    const JsonValue *list(const char *name);

    void setError(const char *name, FieldFault fault);
    const std::optional<FieldError> &error() const { return error_; }

    // What a signed number of 64 bits holds, with room to count on.
    static constexpr std::uint64_t maxUnsignedInteger = std::uint64_t(1) << 62;

private:
    const JsonValue *field(const char *name, JsonType type);

    const JsonValue &object_;
    std::optional<FieldError> error_;
};

} // namespace kelptally
