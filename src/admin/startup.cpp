#include "admin/startup.h"

#include "settings/inidocument.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace kelptally::admin {

namespace {

struct Options
{
    std::string settingsFile;
    bool check = false;
};

// Throws TCLAP's exceptions; --help and --version throw an ExitException with status 0.
Options parseOptions(int argc, const char *const *argv, const std::string &summary)
{
    TCLAP::CmdLine line(summary, ' ', buildVersion());
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> file("s", "settings", "INI file with the settings of this process",
                                      true, "", "file", line);
    TCLAP::SwitchArg check("c", "check", "Check the settings file, print all mistakes and exit",
                           line);
    line.parse(argc, argv);
    return {file.getValue(), check.getValue()};
}

StartupResult exitWith(int exitCode)
{
    StartupResult result;
    result.exitCode = exitCode;
    return result;
}

StartupResult readSettings(const Options &options)
{
    settings::Findings findings;
    StartupResult result;
    const std::string text = settings::readFile(options.settingsFile, findings);
    if (findings.empty())
        result.settings = settings::parseProcessSettings(options.settingsFile, text, findings);
    if (!findings.empty()) {
        std::cerr << findings.toText();
        return exitWith(exitFailed);
    }
    if (options.check) {
        std::cout << options.settingsFile << ": no mistakes\n";
        result.exitCode = exitOk;
    }
    return result;
}

} // namespace

std::string buildVersion()
{
    return KELPTALLY_VERSION;
}

StartupResult startUp(int argc, const char *const *argv, const std::string &summary)
{
    try {
        return readSettings(parseOptions(argc, argv, summary));
    } catch (const TCLAP::ArgException &error) {
        std::cerr << argv[0] << ": " << error.argId() << ": " << error.error() << " (see --help)\n";
        return exitWith(exitUsage);
    } catch (const TCLAP::ExitException &end) {
        return exitWith(end.getExitStatus());
    }
}

} // namespace kelptally::admin
