#include "owner/serverendpoint.h"

#include <algorithm>

namespace kelptally::owner {

backend::ServerEndpoint endpointOf(const settings::Group &group, const settings::Server &server)
{
    return {server.address, server.port, group.database, group.user, group.password};
}

const settings::Server *findServer(const settings::Group &group, const ServerName &name)
{
    const auto found =
        std::find_if(group.servers.begin(), group.servers.end(),
                     [&](const settings::Server &server) { return server.name == name; });
    return found == group.servers.end() ? nullptr : &*found;
}

bool isRemovedOrChanged(const settings::Group &before, const settings::Group &after,
                        const ServerName &name)
{
    const settings::Server *old = findServer(before, name);
    const settings::Server *current = findServer(after, name);
    if (!old || !current)
        return true;
    return old->address != current->address || old->port != current->port
        || before.database != after.database || before.user != after.user
        || before.password != after.password;
}

} // namespace kelptally::owner
