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

// Asks processes of ours, this one included. Calls back exactly once, on the admin thread.
class OperatorCalls
{
public:
    // The address is that of this process's own peer endpoint.
    OperatorCalls(DutyThread &thread, AdminPeers &peers, FrameProgram &program,
                  std::string address);

    void operate(const std::string &address, inner::OperatorRequest request,
                 AdminPeers::OperatorCallback callback);

    // Asks all of them, a bounded number at a time; the answers are in the order of the addresses.
    void operateAll(std::vector<std::string> addresses, const inner::OperatorRequest &request,
                    std::function<void(OperatorAnswers)> callback);

    // Asks every process of the configuration for its status.
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
