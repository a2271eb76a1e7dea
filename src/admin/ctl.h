#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace kelptally::admin {

// Exit codes of kelptallyctl (docs/ADMIN.md).
enum class CtlExit {
    Done = 0,
    // A file has mistakes; they are listed.
    Mistakes = 1,
    // The command line or the options file is wrong.
    Usage = 2,
    // No proxy answered.
    Unreachable = 3,
    // A proxy refused; its reason is printed.
    Refused = 4,
    // Somebody else changed the configuration.
    Conflict = 5,
    // A change may have been made or not; say it again with the same change id.
    Unknown = 6,
    // --wait: not every process has the version in time.
    WaitTimedOut = 7,
};

// Runs one command line without the program's name.
CtlExit runCtl(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace kelptally::admin
