#pragma once

#include "core/keyring.h"
#include "settings/inventory.h"

#include <optional>
#include <string_view>

namespace kelptally::caller {

// Returns the caller keys of all teams.
KeyRing callerKeys(const settings::Inventory &inventory);

// Returns the operator keys of all teams and the key of the settings file, which has an empty team
// name and access to all teams.
KeyRing operatorKeys(const settings::Inventory &inventory, const std::string &settingsHash);

// Returns the key of an "Authorization: Bearer KEY" header, or nothing for another scheme.
std::optional<std::string_view> bearerKey(std::string_view header);

} // namespace kelptally::caller
