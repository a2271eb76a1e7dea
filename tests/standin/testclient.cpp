#include "testclient.h"

#include <chrono>
#include <thread>

namespace kelptally::standin {

namespace {

QueryResult toQueryResult(PGresult *result)
{
    QueryResult queryResult;
    const ExecStatusType status = PQresultStatus(result);
    if (status == PGRES_PIPELINE_ABORTED) {
        queryResult.sqlState = "aborted";
    } else if (status == PGRES_FATAL_ERROR || result == nullptr) {
        const char *state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        queryResult.sqlState = state ? state : "lost";
    }
    queryResult.tag = result ? PQcmdStatus(result) : "";
    queryResult.rows = PQntuples(result);
    for (int i = 0; queryResult.rows > 0 && i < PQnfields(result); ++i)
        queryResult.row.push_back(PQgetisnull(result, 0, i) ? "NULL" : PQgetvalue(result, 0, i));
    PQclear(result);
    return queryResult;
}

} // namespace

TestClient::TestClient(int port)
    : connection_(PQconnectdb(("host=127.0.0.1 dbname=x user=x connect_timeout=60 sslmode=prefer"
                               " port="
                               + std::to_string(port))
                                  .c_str()))
{ }

TestClient::~TestClient()
{
    PQfinish(connection_);
}

bool TestClient::connected() const
{
    return PQstatus(connection_) == CONNECTION_OK;
}

std::string TestClient::error() const
{
    return PQerrorMessage(connection_);
}

char TestClient::transactionStatus() const
{
    switch (PQtransactionStatus(connection_)) {
    case PQTRANS_IDLE:
        return 'I';
    case PQTRANS_INTRANS:
        return 'T';
    case PQTRANS_INERROR:
        return 'E';
    default:
        return '?';
    }
}

QueryResult TestClient::query(const std::string &sql)
{
    return toQueryResult(PQexec(connection_, sql.c_str()));
}

QueryResult TestClient::query(const std::string &sql, const std::vector<std::string> &parameters)
{
    std::vector<const char *> values;
    for (const std::string &parameter : parameters)
        values.push_back(parameter.c_str());
    return toQueryResult(PQexecParams(connection_, sql.c_str(), int(values.size()), nullptr,
                                      values.data(), nullptr, nullptr, 0));
}

std::vector<QueryResult> TestClient::pipeline(const std::vector<std::string> &statements)
{
    PQenterPipelineMode(connection_);
    for (const std::string &sql : statements)
        PQsendQueryParams(connection_, sql.c_str(), 0, nullptr, nullptr, nullptr, nullptr, 0);
    PQpipelineSync(connection_);
    std::vector<QueryResult> results;
    while (true) {
        PGresult *result = PQgetResult(connection_);
        const ExecStatusType status = PQresultStatus(result);
        const bool isLost = result == nullptr && PQstatus(connection_) != CONNECTION_OK;
        if (result != nullptr || isLost)
            results.push_back(toQueryResult(result));
        if (status == PGRES_PIPELINE_SYNC || isLost)
            break;
    }
    PQexitPipelineMode(connection_);
    return results;
}

void TestClient::send(const std::string &sql)
{
    PQsendQuery(connection_, sql.c_str());
}

QueryResult TestClient::receive()
{
    QueryResult queryResult = toQueryResult(PQgetResult(connection_));
    while (PGresult *rest = PQgetResult(connection_))
        PQclear(rest);
    return queryResult;
}

bool eventually(const std::function<bool()> &condition)
{
    constexpr auto limit = std::chrono::seconds(60);
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return false;
}

} // namespace kelptally::standin
