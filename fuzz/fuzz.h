#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

// Entry point of libFuzzer; each target is one file that defines it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

namespace kelptally::fuzz {

inline std::string_view textOf(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

// Aborts, which libFuzzer reports as a crash, if the condition is false.
inline void require(bool condition)
{
    if (!condition)
        std::abort();
}

} // namespace kelptally::fuzz
