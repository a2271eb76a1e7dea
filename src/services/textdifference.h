#pragma once

#include <absl/status/statusor.h>

#include <string>

// Delta encoding of a text against an earlier version of it, for documents of which each version
// changes a few values.
namespace kelptally::services {

// Returns the difference, which is at worst slightly longer than the later text.
std::string differenceOf(const std::string &before, const std::string &after);

// Returns the later text. InvalidArgument when the difference is malformed, FailedPrecondition when
// it was made from another text.
absl::StatusOr<std::string> applyDifference(const std::string &before,
                                            const std::string &difference);

} // namespace kelptally::services
