#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace kelptally::admin {

// Exit codes of kelptallyctl (docs/ADMIN.md).
enum class CtlExit {
    Done = 0,
    // A file has mistakes; they have been printed.
    Mistakes = 1,
    // The command line or the options file is wrong.
    Usage = 2,
    // No proxy answered.
    Unreachable = 3,
    // A proxy refused the request; its reason has been printed.
    Refused = 4,
    // The configuration was changed by another operator in the meantime.
    Conflict = 5,
    // It is unknown whether the change was made; it can be repeated with the same change id.
    Unknown = 6,
    // --wait: not every process had the version within the time limit.
    WaitTimedOut = 7,
};

// Runs one command. The arguments do not include the program's name.
CtlExit runCtl(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace kelptally::admin
