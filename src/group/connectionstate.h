#pragma once

#include "group/groupserver.h"
#include "inner/messages.h"

#include <map>
#include <string>
#include <vector>

// Brings server connections, which sessions share, into the state of the session that uses one
// next.
namespace kelptally::group {

using SessionValues = std::map<std::string, std::string>;

SessionValues valuesOf(const inner::RunStatement &statement);

// The commands that give the connection exactly the session's values and the prepared statement
// that it is about to use. Within a transaction nothing can be reset.
std::vector<ServerCommand> prepareConnection(PooledConnection &connection,
                                             const inner::RunStatement &statement,
                                             const SessionValues &values, bool inTransaction);

// The statement itself, after prepareConnection().
ServerCommand statementCommand(const PooledConnection &connection,
                               const inner::RunStatement &statement,
                               const std::optional<Position> &after);

} // namespace kelptally::group
