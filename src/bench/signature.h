#pragma once

#include "core/clock.h"
#include "core/reason.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace kelptally::bench {

// A 64-bit FNV-1a digest of a sequence of decisions. To be reproducible on every machine, it takes
// integers and text only; callers add no floating-point values, addresses or hash-table orders.
class Signature
{
public:
    void add(std::uint64_t value);
    void add(std::string_view text);
    void add(Position position);
    void add(Duration duration) { add(static_cast<std::uint64_t>(duration.count())); }
    void add(Reason reason) { add(static_cast<std::uint64_t>(reason)); }
    void add(bool value) { add(static_cast<std::uint64_t>(value)); }
    void add(int value) { add(static_cast<std::uint64_t>(value)); }

    template <typename T>
    void add(const std::optional<T> &value)
    {
        add(value.has_value());
        if (value)
            add(*value);
    }

    std::uint64_t value() const { return hash_; }

private:
    void addByte(unsigned char byte);

    std::uint64_t hash_ = 0xcbf29ce484222325;
};

} // namespace kelptally::bench
