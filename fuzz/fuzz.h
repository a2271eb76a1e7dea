#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

// Each target is one file with this function; a broken rule is told to the fuzzer by abort().
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

namespace kelptally::fuzz {

inline std::string_view textOf(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

inline void require(bool condition)
{
    if (!condition)
        std::abort();
}

} // namespace kelptally::fuzz
