#pragma once

#include "settings/processsettings.h"

#include <optional>
#include <string>

namespace kelptally::admin {

// Exit codes of all programs.
constexpr int exitOk = 0;
// The settings have mistakes, or the program could not start or do what was asked.
constexpr int exitFailed = 1;
// The command line is wrong.
constexpr int exitUsage = 2;

// The result of parsing a daemon's command line and settings file.
struct StartupResult
{
    // Set when the process must exit: after --help, --version, --check or on mistakes.
    std::optional<int> exitCode;
    settings::ProcessSettings settings;
};

// Parses the options --settings FILE, --check, --version and --help, and reads the settings file.
// Prints all mistakes on standard error.
StartupResult startUp(int argc, const char *const *argv, const std::string &summary);

// Returns the version of the build, as printed by --version.
std::string buildVersion();

} // namespace kelptally::admin
