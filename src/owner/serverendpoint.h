#pragma once

#include "backend/backendserver.h"
#include "settings/inventory.h"

namespace kelptally::owner {

// Where a server of a group listens and how to log in there.
backend::ServerEndpoint endpointOf(const settings::Group &group, const settings::Server &server);

// The server of this name, or nothing.
const settings::Server *findServer(const settings::Group &group, const ServerName &name);

// Whether connections to a server as the group had it are of no use for the group as it is now.
bool isRemovedOrChanged(const settings::Group &before, const settings::Group &now,
                        const ServerName &name);

} // namespace kelptally::owner
