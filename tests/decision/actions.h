#pragma once

#include "core/clock.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <variant>
#include <vector>

namespace kelptally::decision {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the first action of the type, if there is one.
template <typename T, typename Action>
std::optional<T> find(const std::vector<Action> &actions)
{
    for (const Action &action : actions) {
        if (const T *found = std::get_if<T>(&action))
            return *found;
    }
    return std::nullopt;
}

// Returns all actions of the type.
template <typename T, typename Action>
std::vector<T> findAll(const std::vector<Action> &actions)
{
    std::vector<T> result;
    for (const Action &action : actions) {
        if (const T *found = std::get_if<T>(&action))
            result.push_back(*found);
    }
    return result;
}

// Returns the first action of the type and fails the test if there is none.
template <typename T, typename Action>
T requireAction(const std::vector<Action> &actions)
{
    const std::optional<T> found = find<T>(actions);
    REQUIRE(found);
    return *found;
}

template <typename Action>
void append(std::vector<Action> &to, const std::vector<Action> &more)
{
    to.insert(to.end(), more.begin(), more.end());
}

} // namespace kelptally::decision
