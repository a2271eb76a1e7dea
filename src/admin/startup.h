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

// What the command line of a daemon came to.
struct StartupResult
{
    // Set when the process ends here: after --help, --version, --check or on mistakes.
    std::optional<int> exitCode;
    settings::ProcessSettings settings;
};

// Takes the options --settings FILE, --check, --version and --help, and reads the settings file.
// Every finding is printed on standard error.
StartupResult startUp(int argc, const char *const *argv, const std::string &summary);

// Version of the build, as --version prints it.
std::string buildVersion();

} // namespace kelptally::admin
