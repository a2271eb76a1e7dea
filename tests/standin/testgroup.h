#pragma once

#include "standin/databasegroup.h"
#include "testclient.h"

namespace kelptally::standin {

// A running group of servers a, b and c on free ports; a is the initial primary.
class TestGroup
{
public:
    explicit TestGroup(const ServerLimits &limits = zeroConnectionCost()) : group_(settings(limits))
    {
        group_.start();
    }

    static ServerLimits zeroConnectionCost()
    {
        ServerLimits limits;
        limits.connectionCost = Duration(0);
        return limits;
    }

    DatabaseGroup &group() { return group_; }
    DatabaseServer &server(const ServerName &name) { return *group_.find(name); }
    int port(const ServerName &name) { return server(name).port(); }

    // Returns the first value of the result, read by a new client.
    std::string read(const ServerName &name, const std::string &sql)
    {
        return TestClient(port(name)).query(sql).value();
    }

    QueryResult run(const ServerName &name, const std::string &sql)
    {
        return TestClient(port(name)).query(sql);
    }

    // Prepares both servers for the term, promotes the first and makes the second follow it.
    void promote(const ServerName &primary, const ServerName &replica, Term term)
    {
        const std::string number = std::to_string(term);
        run(primary, "SELECT kelptally_prepare(" + number + ")");
        run(replica, "SELECT kelptally_prepare(" + number + ")");
        run(primary, "SELECT kelptally_promote(" + number + ")");
        run(replica, "SELECT kelptally_follow('" + primary + "', " + number + ")");
    }

    bool eventuallyReads(const ServerName &name, const std::string &sql, const std::string &value)
    {
        return eventually([&] { return read(name, sql) == value; });
    }

private:
    static DatabaseGroupSettings settings(const ServerLimits &limits)
    {
        DatabaseGroupSettings settings {
            "offers", "CREATE TABLE offers(id TEXT PRIMARY KEY, amount INTEGER NOT NULL)", {}};
        for (const char *name : {"a", "b", "c"})
            settings.servers.push_back({name, {}, limits});
        return settings;
    }

    DatabaseGroup group_;
};

} // namespace kelptally::standin
