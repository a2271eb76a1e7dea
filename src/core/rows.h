#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace kelptally {

// A column value or parameter in PostgreSQL's text format; nullopt is NULL.
using Value = std::optional<std::string>;

// Result of one statement.
struct Rows
{
    std::vector<std::string> columns;
    std::vector<std::vector<Value>> values;
    // Number of affected rows, for statements that return none.
    std::size_t affected = 0;

    // Total size of all values in bytes; transmitted with answers between processes as a check.
    std::size_t byteLength() const
    {
        std::size_t length = 0;
        for (const auto &row : values)
            for (const auto &value : row)
                length += value ? value->size() : 0;
        return length;
    }
};

} // namespace kelptally
