#pragma once

#include <absl/status/statusor.h>

#include <string>

// What a text differs in from an earlier version of it, for documents of which each version changes
// a few values: a configuration of 200 KB with another time-out differs in some hundred bytes.
namespace kelptally::services {

// The difference is at worst a little longer than the text itself.
std::string differenceOf(const std::string &before, const std::string &after);

// The later text. Fails when the difference is malformed, or was made from another text.
absl::StatusOr<std::string> applyDifference(const std::string &before,
                                            const std::string &difference);

} // namespace kelptally::services
