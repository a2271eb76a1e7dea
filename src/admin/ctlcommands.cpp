#include "admin/ctlcommands.h"

#include "admin/configdiff.h"
#include "admin/statusjson.h"
#include "core/reason.h"
#include "settings/inidocument.h"
#include "settings/inventory.h"

#include <ostream>
#include <random>
#include <thread>

namespace kelptally::admin {

namespace {

constexpr auto waitPollPeriod = std::chrono::milliseconds(250);

// Returns the content of a configuration file, or nothing after printing its mistakes.
std::optional<std::string> readValidDocument(const std::string &file, CtlOutput output)
{
    settings::Findings findings;
    const std::string text = settings::readFile(file, findings);
    if (findings.empty())
        settings::parseInventory(file, text, findings);
    if (findings.empty())
        return text;
    output.err << findings.toText();
    return std::nullopt;
}

CtlExit exitCodeFor(const JsonValue &problem)
{
    if (problem.textOf("reason") == reasonInfo(Reason::VersionConflict).name)
        return CtlExit::Conflict;
    if (problem.textOf("reason") == reasonInfo(Reason::InvalidConfiguration).name)
        return CtlExit::Mistakes;
    if (problem.textOf("executed") == executedName(Executed::Unknown))
        return CtlExit::Unknown;
    return CtlExit::Refused;
}

// Prints the failure and returns its exit code; returns nothing if the request succeeded.
std::optional<CtlExit> reportFailure(const absl::StatusOr<ProxyAnswer> &answer, CtlOutput output)
{
    if (!answer.ok()) {
        output.err << answer.status().message() << "\n";
        return CtlExit::Unreachable;
    }
    if (answer->succeeded())
        return std::nullopt;
    const JsonValue &problem = answer->body;
    output.err << answer->proxy << " refused: " << problem.textOf("reason") << ": "
               << problem.textOf("title") << "\n";
    if (!problem.textOf("detail").empty())
        output.err << "  " << problem.textOf("detail") << "\n";
    if (const JsonValue *findings = problem.find("findings"))
        for (const JsonValue &finding : findings->items)
            output.err << "  " << finding.textOf("place") << ": " << finding.textOf("problem")
                       << "\n";
    return exitCodeFor(problem);
}

std::string documentBody(const std::string &document)
{
    JsonWriter json;
    json.beginObject().member("document", document).endObject();
    return json.take();
}

std::string generateChangeId()
{
    std::random_device random;
    constexpr char digits[] = "0123456789abcdef";
    std::string id;
    for (int i = 0; i < 32; ++i)
        id += digits[random() % 16];
    return id;
}

struct VersionCount
{
    std::size_t processes = 0;
    std::size_t current = 0;
    std::string missing;
};

VersionCount countVersions(const JsonValue &status, ConfigVersion version)
{
    VersionCount count;
    const JsonValue *processes = status.find("processes");
    if (!processes)
        return count;
    for (const JsonValue &process : processes->items) {
        const JsonValue *reachable = process.find("reachable");
        const JsonValue *processVersion = process.find("version");
        const bool current = reachable && reachable->boolean && processVersion
            && processVersion->toInteger() >= static_cast<std::int64_t>(version);
        ++count.processes;
        count.current += current ? 1 : 0;
        if (!current)
            count.missing += "  " + process.textOf("host") + " " + process.textOf("role") + " "
                + process.textOf("address") + " " + process.textOf("problem") + "\n";
    }
    return count;
}

// Polls the status until every process has the version or the time limit is reached.
CtlExit waitUntilPropagated(ProxyClient &client, ConfigVersion version, Duration limit,
                            CtlOutput output)
{
    const Instant end = BootClock::now() + limit;
    std::string lastLine;
    for (;;) {
        const absl::StatusOr<ProxyAnswer> answer = client.get("/admin/v1/status");
        if (const std::optional<CtlExit> failure = reportFailure(answer, output))
            return *failure;
        const VersionCount count = countVersions(answer->body, version);
        const std::string line = "version " + std::to_string(version) + ": "
            + std::to_string(count.current) + " of " + std::to_string(count.processes)
            + " processes have it\n";
        if (line != lastLine)
            output.err << line << std::flush;
        lastLine = line;
        if (count.current == count.processes)
            return CtlExit::Done;
        if (BootClock::now() >= end) {
            output.err << "not in force everywhere yet:\n" << count.missing;
            return CtlExit::WaitTimedOut;
        }
        std::this_thread::sleep_for(waitPollPeriod);
    }
}

} // namespace

CtlExit checkFile(const std::string &file, CtlOutput output)
{
    if (!readValidDocument(file, output))
        return CtlExit::Mistakes;
    output.out << file << ": no mistakes\n";
    return CtlExit::Done;
}

CtlExit explainReason(const std::string &name, CtlOutput output)
{
    const Reason reason = reasonFromName(name);
    if (reason == Reason::None) {
        output.err << "unknown reason " << name << "; the reasons are:\n";
        for (const ReasonInfo &info : allReasons())
            output.err << "  " << info.name << "\n";
        return CtlExit::Usage;
    }
    const ReasonInfo &info = reasonInfo(reason);
    output.out << info.name << ": " << info.explanation << "\n  HTTP status " << info.httpStatus
               << ", executed: " << executedName(info.executed)
               << (info.retryable ? ", a retry may succeed\n"
                                  : ", a retry of the same request fails again\n");
    return CtlExit::Done;
}

CtlExit showConfiguration(ProxyClient &client, ConfigVersion version, CtlOutput output)
{
    const std::string query = version > 0 ? "?version=" + std::to_string(version) : "";
    const auto answer = client.get("/admin/v1/configuration" + query);
    if (const auto failure = reportFailure(answer, output))
        return *failure;
    const JsonValue &body = answer->body;
    output.err << "version " << body.textOf("version") << " by " << body.textOf("author") << " at "
               << body.textOf("time") << "; in force at " << answer->proxy << ": "
               << body.textOf("inForce") << "\n";
    output.out << body.textOf("document");
    return CtlExit::Done;
}

CtlExit diffFile(ProxyClient &client, const std::string &file, CtlOutput output)
{
    const std::optional<std::string> document = readValidDocument(file, output);
    if (!document)
        return CtlExit::Mistakes;
    const auto answer = client.post("/admin/v1/configuration/diff", documentBody(*document));
    if (const auto failure = reportFailure(answer, output))
        return *failure;
    std::vector<ConfigChange> changes;
    if (const JsonValue *list = answer->body.find("changes")) {
        for (const JsonValue &item : list->items) {
            ConfigChange change;
            change.section = item.textOf("section");
            change.key = item.textOf("key");
            if (const JsonValue *before = item.find("before"))
                change.before = before->text;
            if (const JsonValue *after = item.find("after"))
                change.after = after->text;
            changes.push_back(std::move(change));
        }
    }
    output.err << changes.size() << " changes against version " << answer->body.textOf("against")
               << "\n";
    output.out << changesToText(changes);
    return CtlExit::Done;
}

CtlExit applyFile(ProxyClient &client, const ApplyOptions &options, CtlOutput output)
{
    const std::optional<std::string> document = readValidDocument(options.file, output);
    if (!document)
        return CtlExit::Mistakes;
    const std::string changeId = options.changeId.empty() ? generateChangeId() : options.changeId;
    JsonWriter json;
    json.beginObject();
    json.member("document", *document);
    json.member("expect", options.expected);
    json.member("author", options.author);
    json.member("changeId", changeId);
    json.endObject();
    const auto answer = client.post("/admin/v1/configuration/apply", json.take());
    if (const auto failure = reportFailure(answer, output)) {
        if (*failure == CtlExit::Unknown || *failure == CtlExit::Unreachable)
            output.err << "to retry the same change: --change-id " << changeId << "\n";
        return *failure;
    }
    const JsonValue *version = answer->body.find("version");
    const auto accepted = static_cast<ConfigVersion>(version ? version->toInteger() : 0);
    output.out << "accepted as version " << accepted << "\n";
    if (!options.wait)
        return CtlExit::Done;
    return waitUntilPropagated(client, accepted, *options.wait, output);
}

CtlExit showHistory(ProxyClient &client, int limit, CtlOutput output)
{
    const auto answer =
        client.get("/admin/v1/configuration/history?limit=" + std::to_string(limit));
    if (const auto failure = reportFailure(answer, output))
        return *failure;
    if (const JsonValue *versions = answer->body.find("versions"))
        for (const JsonValue &version : versions->items)
            output.out << version.textOf("version") << "  " << version.textOf("time") << "  "
                       << version.textOf("author") << "  " << version.textOf("changeId") << "\n";
    return CtlExit::Done;
}

CtlExit showStatus(ProxyClient &client, bool json, CtlOutput output)
{
    const auto answer = client.get("/admin/v1/status");
    if (const auto failure = reportFailure(answer, output))
        return *failure;
    output.out << (json ? toJson(answer->body) + "\n" : statusToTable(answer->body));
    return CtlExit::Done;
}

CtlExit drainHost(ProxyClient &client, const std::string &host, CtlOutput output)
{
    JsonWriter json;
    json.beginObject().member("host", host).endObject();
    const auto answer = client.post("/admin/v1/drain", json.take());
    if (const auto failure = reportFailure(answer, output))
        return *failure;
    bool all = true;
    if (const JsonValue *processes = answer->body.find("processes")) {
        for (const JsonValue &process : processes->items) {
            const JsonValue *accepted = process.find("accepted");
            const bool drains = accepted && accepted->boolean;
            all = all && drains;
            output.out << process.textOf("address")
                       << (drains ? " is draining; see status" : ": " + process.textOf("problem"))
                       << "\n";
        }
    }
    return all ? CtlExit::Done : CtlExit::Refused;
}

CtlExit promoteServer(ProxyClient &client, const std::string &group, const std::string &server,
                      bool acceptLoss, CtlOutput output)
{
    JsonWriter json;
    json.beginObject();
    json.member("group", group);
    json.member("server", server);
    json.member("acceptLoss", acceptLoss);
    json.endObject();
    const auto answer = client.post("/admin/v1/promote", json.take());
    if (const auto failure = reportFailure(answer, output))
        return *failure;
    output.out << "the owner of " << group << " is promoting " << server << "; see status\n";
    if (!answer->body.textOf("detail").empty())
        output.out << answer->body.textOf("detail") << "\n";
    return CtlExit::Done;
}

} // namespace kelptally::admin
