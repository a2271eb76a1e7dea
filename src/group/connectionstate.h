#pragma once

#include "group/groupserver.h"
#include "inner/messages.h"

#include <map>
#include <string>
#include <vector>

// Prepares pooled server connections for the session that uses them next.
namespace kelptally::group {

using SessionValues = std::map<std::string, std::string>;

SessionValues valuesOf(const inner::RunStatement &statement);

// Returns the commands that set exactly the session's values on the connection and prepare the
// statement if needed, and records their effect. Within a transaction the connection is not reset.
std::vector<ServerCommand> prepareConnection(PooledConnection &connection,
                                             const inner::RunStatement &statement,
                                             const SessionValues &values, bool inTransaction);

// Returns the command for the statement itself. To be called after prepareConnection().
ServerCommand statementCommand(const PooledConnection &connection,
                               const inner::RunStatement &statement,
                               const std::optional<Position> &after);

} // namespace kelptally::group
