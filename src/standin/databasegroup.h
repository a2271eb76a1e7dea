#pragma once

#include "standin/databaseserver.h"

#include <memory>
#include <vector>

namespace kelptally::standin {

// The servers of one database group and the network between them.
class DatabaseGroup
{
public:
    explicit DatabaseGroup(const DatabaseGroupSettings &settings);
    ~DatabaseGroup();

    void start();
    void stop();

    const GroupName &name() const { return name_; }
    const std::vector<std::unique_ptr<DatabaseServer>> &servers() const { return servers_; }
    DatabaseServer *find(const ServerName &name) const;
    // Partitions or heals the network between two servers, in both directions.
    void setPartitioned(const ServerName &a, const ServerName &b, bool partitioned);

private:
    class Link;

    const GroupName name_;
    std::vector<std::unique_ptr<Link>> links_;
    std::vector<std::unique_ptr<DatabaseServer>> servers_;
};

} // namespace kelptally::standin
