#include "owner/statementerror.h"

namespace kelptally::owner {

bool isServerStopping(const std::string &sqlState)
{
    return sqlState.compare(0, 3, "57P") == 0;
}

std::string describeError(const std::string &sqlState, const std::string &message)
{
    return sqlState.empty() ? message : message + " (SQLSTATE " + sqlState + ')';
}

} // namespace kelptally::owner
