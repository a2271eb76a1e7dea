#pragma once

#include "bench/signature.h"

#include <string_view>
#include <vector>

namespace kelptally::bench {

// A deterministic run of one decision module that adds its results to the signature.
struct Script
{
    std::string_view name;
    void (*run)(Signature &signature);
};

const std::vector<Script> &scripts();

} // namespace kelptally::bench
