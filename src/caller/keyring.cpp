#include "caller/keyring.h"

#include <algorithm>
#include <cctype>

namespace kelptally::caller {

KeyRing callerKeys(const settings::Inventory &inventory)
{
    KeyRing ring;
    for (const settings::Team &team : inventory.teams)
        ring.add(team.name, team.keyHashes);
    return ring;
}

KeyRing operatorKeys(const settings::Inventory &inventory, const std::string &settingsHash)
{
    KeyRing ring;
    for (const settings::Team &team : inventory.teams)
        ring.add(team.name, team.operatorKeyHashes);
    ring.add(TeamName(), {settingsHash});
    return ring;
}

std::optional<std::string_view> bearerKey(std::string_view header)
{
    constexpr std::string_view scheme = "bearer ";
    const auto same = [](char expected, char given) {
        return expected == std::tolower(static_cast<unsigned char>(given));
    };
    if (header.size() <= scheme.size()
        || !std::equal(scheme.begin(), scheme.end(), header.begin(), same))
        return std::nullopt;
    return header.substr(scheme.size());
}

} // namespace kelptally::caller
