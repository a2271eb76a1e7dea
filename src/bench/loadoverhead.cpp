#include "bench/loadoverhead.h"

#include "bench/loadcaller.h"
#include "bench/loadprocess.h"
#include "bench/loadresult.h"
#include "settings/sectionreader.h"

#include <absl/strings/str_cat.h>
#include <libpq-fe.h>

#include <memory>
#include <thread>

namespace kelptally::bench {

namespace {

constexpr auto readDeadline = std::chrono::seconds(5);
// Delay before the memory is read, so that deferred allocations and frees are included.
constexpr auto settleTime = std::chrono::seconds(2);

// A connection to an entry with blocking, sequential requests.
class EntryConnection
{
public:
    EntryConnection(boost::asio::io_context &context, const OverheadPlan &plan)
        : context_(context), caller_(context, {plan.entry}, plan.callerKey, 1),
          body_(statementBody(plan.group, plan.kind, plan.sql, {}, std::nullopt, readDeadline))
    { }

    CallerAnswer execute()
    {
        CallerAnswer result;
        caller_.send({body_, {}, {}}, [&](const CallerAnswer &answer) {
            result = answer;
            context_.stop();
        });
        context_.restart();
        context_.run();
        return result;
    }

private:
    boost::asio::io_context &context_;
    Caller caller_;
    const std::string body_;
};

using DirectConnection = std::unique_ptr<PGconn, decltype(&PQfinish)>;

DirectConnection connectTo(const std::string &server)
{
    const auto endpoint = settings::parseEndpoint(server).value_or(settings::Endpoint {});
    const std::string text = absl::StrCat("host=", endpoint.address, " port=", endpoint.port,
                                          " dbname=kelptally user=kelptally sslmode=disable");
    return {PQconnectdb(text.c_str()), PQfinish};
}

bool executeDirectly(PGconn *connection, const std::string &sql)
{
    PGresult *result =
        PQexecParams(connection, sql.c_str(), 0, nullptr, nullptr, nullptr, nullptr, 0);
    const bool good = PQresultStatus(result) == PGRES_TUPLES_OK;
    PQclear(result);
    return good;
}

Duration toDuration(std::uint32_t microseconds)
{
    return std::chrono::microseconds(microseconds);
}

std::uint32_t microsecondsSince(Instant begin)
{
    return std::uint32_t((BootClock::now() - begin) / std::chrono::microseconds(1));
}

} // namespace

absl::StatusOr<Overhead> measureOverhead(const OverheadPlan &plan)
{
    const DirectConnection direct = connectTo(plan.server);
    if (PQstatus(direct.get()) != CONNECTION_OK)
        return absl::UnavailableError(PQerrorMessage(direct.get()));
    boost::asio::io_context context;
    EntryConnection entry(context, plan);
    std::vector<std::uint32_t> directTimes;
    std::vector<std::uint32_t> entryTimes;
    for (int i = 0; i < plan.rounds; ++i) {
        Instant begin = BootClock::now();
        if (!executeDirectly(direct.get(), plan.sql))
            return absl::InternalError(PQerrorMessage(direct.get()));
        directTimes.push_back(microsecondsSince(begin));
        begin = BootClock::now();
        const CallerAnswer answer = entry.execute();
        if (!answer.good())
            return absl::InternalError(absl::StrCat("refused: ", answer.reason));
        entryTimes.push_back(microsecondsSince(begin));
    }
    return Overhead {toDuration(quantile(directTimes, 0.5)),
                     toDuration(quantile(directTimes, 0.99)), toDuration(quantile(entryTimes, 0.5)),
                     toDuration(quantile(entryTimes, 0.99))};
}

absl::StatusOr<double> measureIdleMemory(const OverheadPlan &plan, int processId, int connections)
{
    const auto before = residentMemory(processId);
    if (!before.ok())
        return before.status();
    boost::asio::io_context context;
    std::vector<std::unique_ptr<EntryConnection>> entryConnections;
    for (int i = 0; i < connections; ++i) {
        entryConnections.push_back(std::make_unique<EntryConnection>(context, plan));
        const CallerAnswer answer = entryConnections.back()->execute();
        if (!answer.good())
            return absl::InternalError(absl::StrCat("connection ", i, " refused: ", answer.reason));
    }
    std::this_thread::sleep_for(settleTime);
    const auto after = residentMemory(processId);
    if (!after.ok())
        return after.status();
    return double(*after - *before) / connections;
}

} // namespace kelptally::bench
