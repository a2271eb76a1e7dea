#pragma once

#include "core/types.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace kelptally::decision {

constexpr std::size_t maxTokenBytes = 4096;
constexpr std::size_t maxTokenGroups = 64;

// Newest position that a session has seen in a group.
struct SessionPosition
{
    GroupName group;
    Position position;
};

// Newest position that a session has seen in each group. Sealed into a signed text that the caller
// sends back with its next request.
class SessionToken
{
public:
    // Returns whether the token can record a position of this group without exceeding its size
    // limits. Must be checked before a write runs: an oversized token would be refused from then
    // on.
    bool hasRoomFor(const GroupName &group) const;

    // Raises the group's position to at least this one.
    void advance(const GroupName &group, Position position);
    const Position *find(const GroupName &group) const;
    const std::vector<SessionPosition> &positions() const { return positions_; }

    // Returns the token as opaque, URL-safe text signed with the key.
    std::string seal(std::string_view key) const;

    // Verifies and decodes the text. An empty text gives the token of a new session. Returns
    // InvalidArgument if the text is malformed or its signature is wrong, ResourceExhausted if it
    // exceeds a size limit.
    static absl::StatusOr<SessionToken> open(std::string_view text, std::string_view key);

private:
    // Sorted by group.
    std::vector<SessionPosition> positions_;
};

} // namespace kelptally::decision
