#pragma once

#include "admin/adminpeers.h"
#include "admin/frameprogram.h"
#include "admin/statusjson.h"
#include "settings/inventory.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kelptally::admin {

using StatusCallback = std::function<void(SystemStatus)>;
using OperatorAnswers = std::vector<absl::StatusOr<inner::OperatorAnswer>>;

// Sends operators' requests to processes of the system, this one included. Each function calls back
// exactly once, on the admin thread.
class OperatorCalls
{
public:
    // The address is this process's own peer address.
    OperatorCalls(DutyThread &thread, AdminPeers &peers, FrameProgram &program,
                  std::string address);

    void operate(const std::string &address, inner::OperatorRequest request,
                 AdminPeers::OperatorCallback callback);

    // Sends the request to all addresses, a bounded number at a time. The answers are in the order
    // of the addresses.
    void operateAll(std::vector<std::string> addresses, const inner::OperatorRequest &request,
                    std::function<void(OperatorAnswers)> callback);

    // Requests the status of every process of the configuration.
    void gatherStatus(const settings::Inventory &inventory, StatusCallback callback);

private:
    struct Broadcast;
    void sendNext(const std::shared_ptr<Broadcast> &broadcast);

    DutyThread &thread_;
    AdminPeers &peers_;
    FrameProgram &program_;
    const std::string address_;
};

} // namespace kelptally::admin
