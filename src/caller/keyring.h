#pragma once

#include "core/keyring.h"
#include "settings/inventory.h"

#include <optional>
#include <string_view>

namespace kelptally::caller {

// The callers' keys of all teams.
KeyRing callerKeys(const settings::Inventory &inventory);

// The operators' keys of all teams and the one of the settings, which stands for all teams.
KeyRing operatorKeys(const settings::Inventory &inventory, const std::string &settingsHash);

// The key of an "Authorization: Bearer KEY" header; nothing when it is of another form.
std::optional<std::string_view> bearerKey(std::string_view header);

} // namespace kelptally::caller
