#pragma once

#include "core/dutythread.h"
#include "services/tableservice.h"

#include <memory>
#include <string>

// The platform's services over HTTP/1.1 with JSON, as docs/STANDIN.md publishes the protocol. Each
// is made, used and destroyed on the given duty thread, or while that does not run. The address is
// "ip:port"; the timeout bounds each call as a whole.
namespace kelptally::services {

std::unique_ptr<TableService> makeTableService(DutyThread &thread, const std::string &address,
                                               Duration timeout);
std::unique_ptr<ObjectStore> makeObjectStore(DutyThread &thread, const std::string &address,
                                             Duration timeout);
std::unique_ptr<HostList> makeHostList(DutyThread &thread, const std::string &address,
                                       Duration timeout);

} // namespace kelptally::services
