#pragma once

#include "core/dutythread.h"
#include "standin/databasegroup.h"

#include <memory>
#include <string>
#include <vector>

namespace kelptally::standin {

using DatabaseGroups = std::vector<std::unique_ptr<DatabaseGroup>>;

// HTTP server that injects faults into the database stand-ins and reports their state; see
// docs/STANDIN.md.
class FaultControl
{
public:
    FaultControl(ListenAddress listen, DatabaseGroups &groups);
    ~FaultControl();

    // Starts listening. Throws boost::system::system_error on failure.
    void start();
    void stop();
    int port() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

// Applies the body of POST /faults. Returns an error message, or an empty string on success.
std::string applyFault(DatabaseGroups &groups, const std::string &body);

// Returns the response body of GET /state.
std::string stateDocument(const DatabaseGroups &groups);

} // namespace kelptally::standin
