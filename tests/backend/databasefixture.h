#pragma once

#include "backend/postgresserver.h"
#include "blockingclient.h"
#include "standin/databasegroup.h"

#include <memory>
#include <string>
#include <utility>

namespace kelptally::backend {

// A simulated database group within the test process, and connections to it.
class DatabaseFixture
{
public:
    explicit DatabaseFixture(int servers = 1, standin::ServerLimits limits = noCostLimits())
        : group_(settingsFor(servers, limits))
    {
        group_.start();
    }
    ~DatabaseFixture()
    {
        for (const auto &connection : connections_)
            client.call([&] { connection->close(); });
        group_.stop();
    }

    static standin::ServerLimits noCostLimits()
    {
        standin::ServerLimits limits;
        limits.connectionCost = Duration(0);
        return limits;
    }

    standin::DatabaseServer &server(std::size_t index = 0) { return *group_.servers()[index]; }

    std::shared_ptr<BackendServer> makeServer(std::size_t index = 0)
    {
        return makePostgresServer(client.thread(),
                                  {"127.0.0.1", server(index).port(), "db", "user", ""});
    }
    std::shared_ptr<Connection> connect(std::size_t index = 0)
    {
        const auto peer = makeServer(index);
        const auto [status, connection] = client.connect(*peer);
        REQUIRE(status.ok());
        connections_.push_back(connection);
        return connection;
    }

    // Runs one statement on a separate connection.
    BatchResult query(const std::string &sql)
    {
        if (!query_)
            query_ = connect();
        return client.run(*query_, {{sql, {}}});
    }
    // Returns the only value of the only row.
    std::string queryValue(const std::string &sql)
    {
        const BatchResult result = query(sql);
        REQUIRE(result.state == BatchState::Done);
        return result.rows.at(0).values.at(0).at(0).value_or("");
    }

    BlockingClient client;

private:
    static standin::DatabaseGroupSettings settingsFor(int servers,
                                                      const standin::ServerLimits &limits)
    {
        standin::DatabaseGroupSettings settings;
        settings.name = "tariff";
        settings.schema = "CREATE TABLE decision (id INTEGER PRIMARY KEY, household TEXT, amount "
                          "INTEGER);";
        for (int i = 0; i < servers; ++i)
            settings.servers.push_back({"tariff-" + std::to_string(i), {}, limits});
        return settings;
    }

    standin::DatabaseGroup group_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::shared_ptr<Connection> query_;
};

} // namespace kelptally::backend
