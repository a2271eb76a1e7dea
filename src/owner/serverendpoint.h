#pragma once

#include "backend/backendserver.h"
#include "settings/inventory.h"

namespace kelptally::owner {

// Returns the address and credentials of a server of the group.
backend::ServerEndpoint endpointOf(const settings::Group &group, const settings::Server &server);

// Returns the server of this name; null if the group has none.
const settings::Server *findServer(const settings::Group &group, const ServerName &name);

// Whether the server was removed or added, or its address or credentials changed, so that existing
// connections to it must be closed.
bool isRemovedOrChanged(const settings::Group &before, const settings::Group &after,
                        const ServerName &name);

} // namespace kelptally::owner
