#include "bench/livereplay.h"

#include "bench/loadcaller.h"
#include "bench/loadcontrol.h"
#include "core/dutythread.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>
#include <set>

namespace kelptally::bench {

using namespace std::chrono_literals;

namespace {

// Time to wait for answers after the end of the trace.
constexpr Duration drainTime = 20s;
// Minimum delay before a request of unknown outcome is retried.
constexpr Duration minRetryDelay = 100ms;
constexpr int maxAttempts = 100;

// Request kinds of a demo configuration.
struct RequestKinds
{
    std::string nonRepeatable;
    std::string write;
    std::string browse;
    std::string newest;
};

RequestKinds requestKindsOf(const Trace &trace)
{
    if (absl::StartsWith(trace.name, "lagon"))
        return {"offer", "edit-listing", "browse", "listing-read"};
    return {"register-decision", "note", "eligibility", "case-read"};
}

std::string faultBody(const TraceFault &fault)
{
    const std::string server = absl::StrCat("\"server\":\"", fault.target, "\"}");
    switch (fault.kind) {
    case FaultKind::KillServer:
        return "{\"fault\":\"kill\"," + server;
    case FaultKind::StartServer:
        return "{\"fault\":\"restart\"," + server;
    case FaultKind::HangServer:
        return "{\"fault\":\"pause\"," + server;
    case FaultKind::HealServer:
        return "{\"fault\":\"resume\"," + server;
    case FaultKind::LagServer:
        return absl::StrCat("{\"fault\":\"set\",\"replication-lag-ms\":", fault.time / 1ms, ",",
                            server);
    default:
        return {};
    }
}

struct Write
{
    std::string id;
    Instant acknowledgedAt;
};

struct Session
{
    std::string token;
    std::vector<Write> acknowledged;
    std::set<std::string> refusedWrites;
};

class LiveReplay
{
public:
    LiveReplay(const Trace &trace, const LiveOptions &options)
        : trace_(trace), options_(options), kinds_(requestKindsOf(trace)),
          run_(absl::StrCat("replay-", BootClock::now().time_since_epoch() / 1us)),
          control_(options.standin)
    {
        for (const std::string &entry : options.entries)
            callers_.push_back(std::make_unique<Caller>(context_, std::vector<std::string> {entry},
                                                        options.callerKey,
                                                        options.connectionsPerEntry));
    }

    absl::StatusOr<LiveFigures> run()
    {
        const Instant begin = timers_.now() + 100ms;
        Duration last {0};
        for (const TraceEvent &event : trace_.events) {
            last = event.at * options_.timeFactor;
            timers_.subscribeAt(begin + last, [this, &event] { onEvent(event); });
        }
        timers_.subscribeAt(begin + last + drainTime, [this] { context_.stop(); });
        context_.run();
        figures_.unknown += inFlight_;
        for (auto &caller : callers_)
            caller->close();
        if (const absl::Status status = readTables(); !status.ok())
            return status;
        return figures_;
    }

private:
    // A request in flight.
    struct Pending
    {
        const TraceRequest *request = nullptr;
        Instant sentAt;
        // Number of the session's writes that were acknowledged when the request was sent.
        std::size_t acknowledgedBefore = 0;
        std::size_t retries = 0;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    void onEvent(const TraceEvent &event)
    {
        if (event.fault)
            return injectFault(*event.fault);
        auto pending = std::make_shared<Pending>();
        pending->request = &*event.request;
        pending->sentAt = timers_.now();
        pending->acknowledgedBefore = sessions_[event.request->session].acknowledged.size();
        ++figures_.requests;
        ++inFlight_;
        figures_.statedAgeReads += !event.request->write && event.request->statedAge ? 1 : 0;
        send(pending);
    }

    void injectFault(const TraceFault &fault)
    {
        const std::string body = faultBody(fault);
        const bool injected =
            !options_.standin.empty() && !body.empty() && control_.fault(body).ok();
        figures_.faultsNotInjected += injected ? 0 : 1;
    }

    std::string sessionRun(SessionId session) const { return absl::StrCat(run_, "/s", session); }
    std::string idOf(const TraceRequest &request) const
    {
        return absl::StrCat(run_, "/", request.id);
    }

    // Returns another session of the same group. Sessions are assigned to groups round robin.
    SessionId neighbourOf(SessionId session) const
    {
        const auto groups = static_cast<SessionId>(trace_.groups().size());
        return session >= groups ? session - groups : session;
    }

    CallerRequest requestFor(const TraceRequest &request)
    {
        CallerRequest statement;
        statement.sessionToken = sessions_[request.session].token;
        if (request.write) {
            const std::string &kind = request.repeatable ? kinds_.write : kinds_.nonRepeatable;
            if (!request.repeatable)
                statement.idempotencyKey = idOf(request);
            statement.body = statementBody(
                request.group, kind, "INSERT INTO load_writes(id, run) VALUES ($1, $2)",
                {idOf(request), sessionRun(request.session)}, std::nullopt, request.deadline);
            return statement;
        }
        const std::string &kind = request.statedAge ? kinds_.browse : kinds_.newest;
        statement.body =
            statementBody(request.group, kind, "SELECT id FROM load_writes WHERE run IN ($1, $2)",
                          {sessionRun(request.session), sessionRun(neighbourOf(request.session))},
                          request.statedAge, request.deadline);
        return statement;
    }

    Caller &callerOf(const TraceRequest &request, std::size_t retries)
    {
        std::size_t host = 0;
        while (host + 1 < trace_.hosts.size() && trace_.hosts[host].name != request.entry)
            ++host;
        return *callers_[(host + retries) % callers_.size()];
    }

    void send(const PendingPtr &pending)
    {
        const TraceRequest &request = *pending->request;
        callerOf(request, pending->retries)
            .send(requestFor(request),
                  [this, pending](const CallerAnswer &answer) { onAnswer(pending, answer); });
    }

    void onAnswer(const PendingPtr &pending, const CallerAnswer &answer)
    {
        const TraceRequest &request = *pending->request;
        const bool keyed = request.write && !request.repeatable;
        const bool shouldRetry = answer.executed == Executed::Unknown && (keyed || !request.write);
        if (shouldRetry && ++pending->retries < maxAttempts) {
            const Duration delay = std::max(answer.retryAfter, minRetryDelay);
            timers_.subscribeAfter(delay, [this, pending] { send(pending); });
            return;
        }
        --inFlight_;
        Session &session = sessions_[request.session];
        if (!answer.sessionToken.empty() && answer.good() && request.write)
            session.token = answer.sessionToken;
        countOutcome(request, answer);
        if (answer.executed == Executed::No && request.write)
            session.refusedWrites.insert(idOf(request));
        if (!answer.good())
            return;
        const Instant now = timers_.now();
        (request.write ? figures_.writeLatency : figures_.readLatency)
            .push_back(now - pending->sentAt);
        if (request.write)
            session.acknowledged.push_back({idOf(request), now});
        else
            checkRead(*pending, answer, now);
    }

    void countOutcome(const TraceRequest &request, const CallerAnswer &answer)
    {
        const bool refused = answer.executed == Executed::No;
        figures_.done += answer.good() ? 1 : 0;
        figures_.refused += !answer.good() && refused ? 1 : 0;
        figures_.unknown += !answer.good() && !refused ? 1 : 0;
        if (!answer.good())
            ++figures_.reasons[answer.status == 0 ? "connection_lost" : answer.reason];
        const bool isExpected = answer.good() || request.expect == ExpectedOutcome::Any
            || (refused && request.expect == ExpectedOutcome::DoneOrRefused);
        figures_.unexpectedOutcomes += isExpected ? 0 : 1;
    }

    void checkRead(const Pending &pending, const CallerAnswer &answer, Instant now)
    {
        const TraceRequest &request = *pending.request;
        std::set<std::string> seen;
        for (const auto &row : answer.rows)
            seen.insert(row.at(0).value_or(""));
        const std::vector<Write> &own = sessions_[request.session].acknowledged;
        const auto isSeen = [&seen](const Write &write) { return seen.count(write.id) > 0; };
        const auto knownEnd = own.begin() + static_cast<std::ptrdiff_t>(pending.acknowledgedBefore);
        figures_.readYourWrites += std::all_of(own.begin(), knownEnd, isSeen) ? 0 : 1;

        // A read without a stated age must see all writes acknowledged before it was sent.
        const Instant requiredBefore =
            request.statedAge ? now - *request.statedAge : pending.sentAt;
        const auto &others = sessions_[neighbourOf(request.session)].acknowledged;
        const auto isConsistent = [&](const Write &write) {
            return write.acknowledgedAt >= requiredBefore || isSeen(write);
        };
        figures_.statedAge += std::all_of(others.begin(), others.end(), isConsistent) ? 0 : 1;
        figures_.replicaReads += request.statedAge && answer.fromReplica ? 1 : 0;
    }

    // Returns how often each id of a session is in its table. Retries until a query succeeds.
    absl::StatusOr<std::map<std::string, int>> readSessionRows(SessionId session,
                                                               const GroupName &group)
    {
        const std::string body = statementBody(
            group, kinds_.newest, "SELECT id, count(*) FROM load_writes WHERE run = $1 GROUP BY id",
            {sessionRun(session)}, std::nullopt, 5s);
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            boost::asio::io_context context;
            const std::size_t entry = static_cast<std::size_t>(attempt) % options_.entries.size();
            Caller caller(context, {options_.entries[entry]}, options_.callerKey, 1);
            CallerAnswer last;
            caller.send({body, {}, {}}, [&](const CallerAnswer &answer) {
                last = answer;
                context.stop();
            });
            context.run();
            if (!last.good())
                continue;
            std::map<std::string, int> rowCounts;
            for (const auto &row : last.rows)
                rowCounts[row.at(0).value_or("")] = std::atoi(row.at(1).value_or("0").c_str());
            return rowCounts;
        }
        return absl::UnavailableError("cannot read the table of group " + group
                                      + " after the replay");
    }

    absl::Status readTables()
    {
        std::map<SessionId, GroupName> groups;
        std::set<std::string> nonRepeatable;
        for (const TraceEvent &event : trace_.events) {
            if (!event.request || !event.request->write)
                continue;
            groups[event.request->session] = event.request->group;
            if (!event.request->repeatable)
                nonRepeatable.insert(idOf(*event.request));
        }
        for (const auto &[session, group] : groups) {
            const auto rowCounts = readSessionRows(session, group);
            if (!rowCounts.ok())
                return rowCounts.status();
            checkTable(sessions_[session], *rowCounts, nonRepeatable);
        }
        return absl::OkStatus();
    }

    void checkTable(const Session &session, const std::map<std::string, int> &rowCounts,
                    const std::set<std::string> &nonRepeatable)
    {
        for (const Write &write : session.acknowledged)
            figures_.lostWrites += rowCounts.count(write.id) > 0 ? 0 : 1;
        for (const std::string &id : session.refusedWrites)
            figures_.executedDespiteRefusal += rowCounts.count(id) > 0 ? 1 : 0;
        for (const auto &[id, count] : rowCounts)
            figures_.duplicateWrites += count > 1 && nonRepeatable.count(id) > 0 ? 1 : 0;
    }

    const Trace &trace_;
    const LiveOptions &options_;
    const RequestKinds kinds_;
    const std::string run_;
    StandinControl control_;
    boost::asio::io_context context_;
    AsioTimerService timers_ {context_};
    std::vector<std::unique_ptr<Caller>> callers_;
    std::map<SessionId, Session> sessions_;
    LiveFigures figures_;
    int inFlight_ = 0;
};

} // namespace

absl::StatusOr<LiveFigures> replayLive(const Trace &trace, const LiveOptions &options)
{
    if (options.entries.empty() || options.timeFactor < 1 || options.connectionsPerEntry < 1)
        return absl::InvalidArgumentError(
            "a live replay requires entries, and a time factor and connections of at least 1");
    return LiveReplay(trace, options).run();
}

} // namespace kelptally::bench
