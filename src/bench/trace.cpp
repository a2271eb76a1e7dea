#include "bench/trace.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <map>

namespace kelptally::bench {

using namespace std::chrono_literals;
using settings::RequestClass;

namespace {

struct FaultName
{
    FaultKind kind;
    absl::string_view name;
};

constexpr std::array<FaultName, 14> faultNames = {{
    {FaultKind::KillServer, "kill"},
    {FaultKind::StartServer, "start"},
    {FaultKind::HangServer, "hang"},
    {FaultKind::HealServer, "heal"},
    {FaultKind::SlowServer, "slow"},
    {FaultKind::LagServer, "lag"},
    {FaultKind::LeaveServer, "leave"},
    {FaultKind::CutZone, "cut-zone"},
    {FaultKind::HealZone, "heal-zone"},
    {FaultKind::StopStore, "store-down"},
    {FaultKind::StartStore, "store-up"},
    {FaultKind::StopHost, "stop-host"},
    {FaultKind::CrashHost, "crash-host"},
    {FaultKind::StartHost, "start-host"},
}};

constexpr std::array<absl::string_view, settings::requestClassCount> classNames = {
    "critical", "write", "fresh-read", "browse"};
constexpr std::array<absl::string_view, 3> expectedOutcomeNames = {"done", "done-or-refused",
                                                                   "any"};

// The "KEY=VALUE" fields of a line. take() removes a field, so that unknown ones remain at the end.
class Fields
{
public:
    bool read(const std::vector<absl::string_view> &words, std::size_t first)
    {
        for (std::size_t i = first; i < words.size(); ++i) {
            const std::pair<absl::string_view, absl::string_view> field =
                absl::StrSplit(words[i], absl::MaxSplits('=', 1));
            if (field.second.empty() || !values_.emplace(field).second)
                return false;
        }
        return true;
    }

    std::optional<absl::string_view> take(absl::string_view key)
    {
        const auto found = values_.find(key);
        if (found == values_.end())
            return std::nullopt;
        const absl::string_view value = found->second;
        values_.erase(found);
        return value;
    }

    std::string takeText(absl::string_view key)
    {
        return std::string(take(key).value_or(absl::string_view()));
    }

    bool empty() const { return values_.empty(); }

private:
    std::map<absl::string_view, absl::string_view> values_;
};

// Parses a non-negative whole number with a unit: "us", "ms" or "s".
std::optional<Duration> parseTime(absl::string_view text)
{
    const std::pair<absl::string_view, Duration> units[] = {{"us", 1us}, {"ms", 1ms}, {"s", 1s}};
    for (const auto &[suffix, unit] : units) {
        if (text.size() <= suffix.size() || text.substr(text.size() - suffix.size()) != suffix)
            continue;
        std::int64_t count = 0;
        if (absl::SimpleAtoi(text.substr(0, text.size() - suffix.size()), &count) && count >= 0)
            return unit * count;
    }
    return std::nullopt;
}

std::string formatTime(Duration time)
{
    return absl::StrCat(time / 1us, "us");
}

template <typename Names>
std::optional<std::size_t> indexOf(const Names &names, absl::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - names.begin());
}

template <typename Number>
bool takeNumber(Fields &fields, absl::string_view key, Number &number)
{
    const auto text = fields.take(key);
    return text && absl::SimpleAtoi(*text, &number);
}

bool takeTime(Fields &fields, absl::string_view key, Duration &time)
{
    const auto text = fields.take(key);
    const auto parsed = text ? parseTime(*text) : std::nullopt;
    time = parsed.value_or(time);
    return parsed.has_value();
}

bool readRequest(Fields &fields, TraceRequest &request)
{
    const auto requestClass = indexOf(classNames, fields.take("class").value_or(""));
    const auto expect = indexOf(expectedOutcomeNames, fields.take("expect").value_or(""));
    if (!requestClass || !expect)
        return false;
    request.requestClass = static_cast<RequestClass>(*requestClass);
    request.expect = static_cast<ExpectedOutcome>(*expect);
    request.entry = fields.takeText("entry");
    request.group = fields.takeText("group");
    request.team = fields.takeText("team");
    request.repeatable = fields.take("once") != absl::string_view("yes");
    if (const auto age = fields.take("age")) {
        request.statedAge = parseTime(*age);
        if (!request.statedAge)
            return false;
    }
    return takeNumber(fields, "id", request.id) && takeNumber(fields, "session", request.session)
        && takeTime(fields, "deadline", request.deadline) && takeTime(fields, "cost", request.cost);
}

bool readFault(Fields &fields, TraceFault &fault)
{
    fault.target = fields.takeText("of");
    if (fault.kind == FaultKind::LagServer)
        return takeTime(fields, "time", fault.time);
    if (fault.kind == FaultKind::SlowServer)
        return takeNumber(fields, "factor", fault.factor) && fault.factor >= 1;
    return true;
}

bool readEvent(const std::vector<absl::string_view> &words, Fields &fields, TraceEvent &event)
{
    const auto at = parseTime(words[0].substr(1));
    if (!at || words.size() < 2)
        return false;
    event.at = *at;
    if (words[1] == "read" || words[1] == "write") {
        event.request.emplace();
        event.request->write = words[1] == "write";
        return readRequest(fields, *event.request);
    }
    for (const FaultName &fault : faultNames) {
        if (fault.name == words[1]) {
            event.fault = TraceFault {fault.kind, {}, Duration(0), 1};
            return readFault(fields, *event.fault);
        }
    }
    return false;
}

bool readLine(absl::string_view line, Trace &trace)
{
    const std::vector<absl::string_view> words = absl::StrSplit(line, ' ', absl::SkipEmpty());
    const bool isEvent = words[0][0] == '@';
    Fields fields;
    if (words.size() < 2 || !fields.read(words, 2))
        return false;
    if (isEvent) {
        TraceEvent event;
        if (!readEvent(words, fields, event) || !fields.empty())
            return false;
        if (!trace.events.empty() && event.at < trace.events.back().at)
            return false;
        trace.events.push_back(std::move(event));
        return true;
    }
    if (words[0] == "trace") {
        trace.name = std::string(words[1]);
        return takeTime(fields, "zone-delay", trace.zoneDelay)
            && takeTime(fields, "client-delay", trace.clientDelay)
            && takeTime(fields, "replication", trace.replicationDelay) && fields.empty();
    }
    if (words[0] == "host") {
        trace.hosts.push_back({std::string(words[1]), fields.takeText("zone")});
        return fields.empty();
    }
    if (words[0] != "server")
        return false;
    TraceServer server {std::string(words[1]), fields.takeText("group"), fields.takeText("zone"),
                        0};
    const bool valid = takeNumber(fields, "slots", server.slots) && server.slots > 0;
    trace.servers.push_back(std::move(server));
    return valid && fields.empty();
}

void formatRequest(std::string &out, const TraceRequest &request)
{
    absl::StrAppend(&out, request.write ? " write" : " read", " id=", request.id,
                    " session=", request.session, " entry=", request.entry,
                    " group=", request.group, " team=", request.team,
                    " class=", classNames[static_cast<std::size_t>(request.requestClass)]);
    if (request.statedAge)
        absl::StrAppend(&out, " age=", formatTime(*request.statedAge));
    if (!request.repeatable)
        absl::StrAppend(&out, " once=yes");
    absl::StrAppend(&out, " deadline=", formatTime(request.deadline),
                    " cost=", formatTime(request.cost),
                    " expect=", expectedOutcomeNames[static_cast<std::size_t>(request.expect)]);
}

void formatFault(std::string &out, const TraceFault &fault)
{
    const auto isSameKind = [&fault](const FaultName &name) { return name.kind == fault.kind; };
    absl::StrAppend(&out, " ",
                    std::find_if(faultNames.begin(), faultNames.end(), isSameKind)->name);
    if (!fault.target.empty())
        absl::StrAppend(&out, " of=", fault.target);
    if (fault.kind == FaultKind::LagServer)
        absl::StrAppend(&out, " time=", formatTime(fault.time));
    if (fault.kind == FaultKind::SlowServer)
        absl::StrAppend(&out, " factor=", fault.factor);
}

} // namespace

std::vector<GroupName> Trace::groups() const
{
    std::vector<GroupName> names;
    for (const TraceServer &server : servers)
        names.push_back(server.group);
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

absl::StatusOr<Trace> parseTrace(std::string_view text)
{
    Trace trace;
    int number = 0;
    for (const absl::string_view line :
         absl::StrSplit(absl::string_view(text.data(), text.size()), '\n')) {
        ++number;
        const bool blank = line.find_first_not_of(" \t\r") == absl::string_view::npos;
        if (blank || line[0] == '#')
            continue;
        if (!readLine(line, trace))
            return absl::InvalidArgumentError(absl::StrCat("line ", number, ": ", line));
    }
    if (trace.hosts.empty() || trace.servers.empty())
        return absl::InvalidArgumentError("a trace requires at least one host and one server");
    return trace;
}

std::string formatTrace(const Trace &trace)
{
    std::string out;
    absl::StrAppend(&out, "trace ", trace.name, " zone-delay=", formatTime(trace.zoneDelay),
                    " client-delay=", formatTime(trace.clientDelay),
                    " replication=", formatTime(trace.replicationDelay), "\n");
    for (const TraceHost &host : trace.hosts)
        absl::StrAppend(&out, "host ", host.name, " zone=", host.zone, "\n");
    for (const TraceServer &server : trace.servers)
        absl::StrAppend(&out, "server ", server.name, " group=", server.group,
                        " zone=", server.zone, " slots=", server.slots, "\n");
    for (const TraceEvent &event : trace.events) {
        absl::StrAppend(&out, "@", formatTime(event.at));
        if (event.request)
            formatRequest(out, *event.request);
        else
            formatFault(out, *event.fault);
        out.push_back('\n');
    }
    return out;
}

} // namespace kelptally::bench
