#include "admin/ctl.h"

#include "admin/ctlcommands.h"
#include "admin/startup.h"
#include "settings/inidocument.h"
#include "settings/sectionreader.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <ostream>

namespace kelptally::admin {

namespace {

constexpr const char *keyVariable = "KELPTALLY_OPERATOR_KEY";
constexpr int defaultTimeoutSeconds = 15;
constexpr int defaultWaitSeconds = 30;
constexpr int defaultHistoryLimit = 20;

constexpr const char *usage =
    "usage: kelptallyctl COMMAND [ARGUMENTS] [OPTIONS]\n"
    "\n"
    "  check FILE                    list the mistakes of a configuration\n"
    "  show [--number N]             print the newest configuration, or an older version\n"
    "  diff FILE                     print what FILE would change\n"
    "  apply FILE --expect VERSION   make FILE the version after VERSION\n"
    "  history                       list the accepted versions, newest first\n"
    "  status [--json]               print the status of processes, groups and servers\n"
    "  drain HOST                    stop giving work to the processes of a host\n"
    "  promote GROUP SERVER          make SERVER the primary [--accept-loss]\n"
    "  explain REASON                explain a reason for a refusal and its remedy\n"
    "\n"
    "kelptallyctl COMMAND --help prints the options of one command.\n";

// Options common to all commands that connect to a proxy.
class CommonOptions
{
public:
    explicit CommonOptions(TCLAP::CmdLine &line)
        : proxies_("p", "proxy", "administration port of a proxy; may be given more than once",
                   false, "ip:port", line),
          file_("o", "options", "INI file: [kelptallyctl] proxies=, key=, ca=", false, "", "file",
                line),
          timeout_("t", "timeout", "time limit for each attempt at one proxy", false,
                   defaultTimeoutSeconds, "seconds", line)
    { }

    // Reads the options; the command line and the environment take precedence over the options
    // file.
    ProxyOptions read(settings::Findings &findings) const
    {
        ProxyOptions options;
        if (file_.isSet())
            readOptionsFile(file_.getValue(), options, findings);
        if (proxies_.isSet())
            options.proxies = proxies_.getValue();
        if (const char *key = std::getenv(keyVariable))
            options.key = key;
        options.timeout = std::chrono::seconds(std::max(1, timeout_.getValue()));
        if (options.proxies.empty())
            findings.add("command line", 0, "--proxy", "no proxy is given; see --help");
        if (options.key.empty())
            findings.add("command line", 0, keyVariable,
                         "no key: set this variable or give --options");
        return options;
    }

private:
    static void readOptionsFile(const std::string &file, ProxyOptions &options,
                                settings::Findings &findings)
    {
        const std::string text = settings::readFile(file, findings);
        for (const settings::IniSection &section : settings::parseIni(file, text, findings)) {
            if (section.title() != "kelptallyctl") {
                findings.add(file, section.line, section.title(),
                             "unknown section; allowed is kelptallyctl");
                continue;
            }
            settings::SectionReader reader(file, section, findings);
            options.proxies = reader.endpoints("proxies");
            options.key = reader.text("key", "");
            options.ca = reader.text("ca", "");
            reader.finish();
        }
    }

    TCLAP::MultiArg<std::string> proxies_;
    TCLAP::ValueArg<std::string> file_;
    TCLAP::ValueArg<int> timeout_;
};

// Parses the command line of one command; the command adds its arguments to line().
class Command
{
public:
    Command(const std::string &name, const std::string &summary)
        : name_(name), line_(summary, ' ', buildVersion())
    {
        line_.setExceptionHandling(false);
    }

    TCLAP::CmdLine &line() { return line_; }

    void parse(const std::vector<std::string> &arguments)
    {
        std::vector<std::string> words = {"kelptallyctl " + name_};
        words.insert(words.end(), arguments.begin() + 1, arguments.end());
        line_.parse(words);
    }

private:
    const std::string name_;
    TCLAP::CmdLine line_;
};

using Arguments = std::vector<std::string>;
using TextArgument = TCLAP::UnlabeledValueArg<std::string>;

template <typename Run>
CtlExit withClient(const CommonOptions &common, CtlOutput output, Run run)
{
    settings::Findings findings;
    const ProxyOptions options = common.read(findings);
    if (!findings.empty()) {
        output.err << findings.toText();
        return CtlExit::Usage;
    }
    ProxyClient client(options);
    return run(client);
}

CtlExit check(const Arguments &arguments, CtlOutput output)
{
    Command command("check", "List the mistakes of a configuration");
    TextArgument file("file", "INI document", true, "", "FILE", command.line());
    command.parse(arguments);
    return checkFile(file.getValue(), output);
}

CtlExit explain(const Arguments &arguments, CtlOutput output)
{
    Command command("explain", "Explain a reason for a refusal and its remedy");
    TextArgument reason("reason", "stable name of a reason", true, "", "REASON", command.line());
    command.parse(arguments);
    return explainReason(reason.getValue(), output);
}

CtlExit show(const Arguments &arguments, CtlOutput output)
{
    Command command("show", "Print the newest configuration, or an older version");
    CommonOptions common(command.line());
    TCLAP::ValueArg<ConfigVersion> version("n", "number", "version to print", false, 0, "VERSION",
                                           command.line());
    command.parse(arguments);
    return withClient(common, output, [&](ProxyClient &client) {
        return showConfiguration(client, version.getValue(), output);
    });
}

CtlExit diff(const Arguments &arguments, CtlOutput output)
{
    Command command("diff", "Print what a file would change");
    CommonOptions common(command.line());
    TextArgument file("file", "INI document", true, "", "FILE", command.line());
    command.parse(arguments);
    return withClient(common, output, [&](ProxyClient &client) {
        return diffFile(client, file.getValue(), output);
    });
}

std::string defaultAuthor()
{
    const char *user = std::getenv("USER");
    return user && *user ? user : "unknown";
}

CtlExit apply(const Arguments &arguments, CtlOutput output)
{
    Command command("apply", "Make a file the next configuration version");
    CommonOptions common(command.line());
    TextArgument file("file", "INI document", true, "", "FILE", command.line());
    TCLAP::ValueArg<ConfigVersion> expect("e", "expect",
                                          "version that is changed; 0 when there is none yet", true,
                                          0, "VERSION", command.line());
    TCLAP::ValueArg<std::string> author("a", "author", "author of the change; default: $USER",
                                        false, defaultAuthor(), "NAME", command.line());
    TCLAP::ValueArg<std::string> changeId("c", "change-id",
                                          "id of an earlier attempt at this change", false, "",
                                          "ID", command.line());
    TCLAP::SwitchArg wait("w", "wait", "Wait until every process has the version", command.line());
    TCLAP::ValueArg<int> limit("", "wait-limit", "maximum time for --wait", false,
                               defaultWaitSeconds, "seconds", command.line());
    command.parse(arguments);
    ApplyOptions options;
    options.file = file.getValue();
    options.expected = expect.getValue();
    options.author = author.getValue();
    options.changeId = changeId.getValue();
    if (wait.getValue())
        options.wait = std::chrono::seconds(limit.getValue());
    return withClient(common, output,
                      [&](ProxyClient &client) { return applyFile(client, options, output); });
}

CtlExit history(const Arguments &arguments, CtlOutput output)
{
    Command command("history", "List the accepted versions, newest first");
    CommonOptions common(command.line());
    TCLAP::ValueArg<int> limit("l", "limit", "maximum number of versions", false,
                               defaultHistoryLimit, "COUNT", command.line());
    command.parse(arguments);
    return withClient(common, output, [&](ProxyClient &client) {
        return showHistory(client, limit.getValue(), output);
    });
}

CtlExit status(const Arguments &arguments, CtlOutput output)
{
    Command command("status", "Print the status of processes, groups and servers");
    CommonOptions common(command.line());
    TCLAP::SwitchArg json("j", "json", "Print the JSON document", command.line());
    command.parse(arguments);
    return withClient(common, output, [&](ProxyClient &client) {
        return showStatus(client, json.getValue(), output);
    });
}

CtlExit drain(const Arguments &arguments, CtlOutput output)
{
    Command command("drain", "Stop giving work to the processes of a host");
    CommonOptions common(command.line());
    TextArgument host("host", "name in the configuration", true, "", "HOST", command.line());
    command.parse(arguments);
    return withClient(common, output, [&](ProxyClient &client) {
        return drainHost(client, host.getValue(), output);
    });
}

CtlExit promote(const Arguments &arguments, CtlOutput output)
{
    Command command("promote", "Make a server the primary of its group");
    CommonOptions common(command.line());
    TextArgument group("group", "database group", true, "", "GROUP", command.line());
    TextArgument server("server", "server of the group", true, "", "SERVER", command.line());
    TCLAP::SwitchArg acceptLoss("", "accept-loss",
                                "Promote without a majority: confirmed work may be lost",
                                command.line());
    command.parse(arguments);
    return withClient(common, output, [&](ProxyClient &client) {
        return promoteServer(client, group.getValue(), server.getValue(), acceptLoss.getValue(),
                             output);
    });
}

struct NamedCommand
{
    const char *name;
    CtlExit (*run)(const Arguments &, CtlOutput);
};

constexpr NamedCommand commands[] = {
    {"check", check}, {"show", show},       {"diff", diff},
    {"apply", apply}, {"history", history}, {"status", status},
    {"drain", drain}, {"promote", promote}, {"explain", explain},
};

CtlExit runCommand(const Arguments &arguments, CtlOutput output)
{
    for (const NamedCommand &command : commands)
        if (arguments.front() == command.name)
            return command.run(arguments, output);
    output.err << "kelptallyctl: unknown command " << arguments.front() << "\n" << usage;
    return CtlExit::Usage;
}

} // namespace

CtlExit runCtl(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    if (arguments.empty()) {
        err << usage;
        return CtlExit::Usage;
    }
    if (arguments.front() == "--help" || arguments.front() == "-h") {
        out << usage;
        return CtlExit::Done;
    }
    if (arguments.front() == "--version") {
        out << "kelptallyctl " << buildVersion() << "\n";
        return CtlExit::Done;
    }
    try {
        return runCommand(arguments, {out, err});
    } catch (const TCLAP::ArgException &error) {
        err << "kelptallyctl " << arguments.front() << ": " << error.argId() << ": "
            << error.error() << " (see kelptallyctl " << arguments.front() << " --help)\n";
        return CtlExit::Usage;
    } catch (const TCLAP::ExitException &end) {
        return end.getExitStatus() == 0 ? CtlExit::Done : CtlExit::Usage;
    }
}

} // namespace kelptally::admin
