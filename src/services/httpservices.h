#pragma once

#include "core/dutythread.h"
#include "services/tableservice.h"

#include <memory>
#include <string>

// The platform's services over HTTP/1.1 with JSON (protocol: docs/STANDIN.md). Each is created,
// used and destroyed on the given duty thread, or while that thread is not running. The address is
// "ip:port"; the timeout covers a whole call.
namespace kelptally::services {

std::unique_ptr<TableService> makeTableService(DutyThread &thread, const std::string &address,
                                               Duration timeout);
std::unique_ptr<ObjectStore> makeObjectStore(DutyThread &thread, const std::string &address,
                                             Duration timeout);
std::unique_ptr<HostList> makeHostList(DutyThread &thread, const std::string &address,
                                       Duration timeout);

} // namespace kelptally::services
