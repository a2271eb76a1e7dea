#pragma once

#include <string>

namespace kelptally::owner {

// Whether the server refused because it is starting or stopping (SQLSTATE class 57P), so that the
// statement itself may be valid.
bool isServerStopping(const std::string &sqlState);

// Formats the database's message and SQLSTATE for callers.
std::string describeError(const std::string &sqlState, const std::string &message);

} // namespace kelptally::owner
