#include "admin/operatorcalls.h"

#include <algorithm>
#include <map>

namespace kelptally::admin {

namespace {

// Short, so that a process that is down does not delay the answer to the operator.
constexpr Duration operatorTimeout = std::chrono::seconds(2);
constexpr std::size_t maxConcurrentRequests = 64;

std::vector<ProcessStatus> listProcesses(const settings::Inventory &inventory)
{
    std::vector<ProcessStatus> processes;
    for (const settings::Host &host : inventory.hosts) {
        for (const auto &[address, role] :
             {std::pair(host.ownerAddress, "owner"), std::pair(host.entryAddress, "entry")}) {
            ProcessStatus process;
            process.host = host.name;
            process.address = address;
            process.role = role;
            if (!address.empty())
                processes.push_back(std::move(process));
        }
    }
    return processes;
}

// Adds the answers to the status; they are in the order of its processes.
SystemStatus toStatus(SystemStatus status, OperatorAnswers answers,
                      const settings::Inventory &inventory)
{
    std::map<GroupName, inner::GroupStatus> groups;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        ProcessStatus &process = status.processes[i];
        const auto &answer = answers[i];
        process.reachable = answer.ok();
        if (!answer.ok()) {
            process.problem = std::string(answer.status().message());
            continue;
        }
        process.version = answer->configVersion;
        process.draining = answer->draining;
        for (const inner::GroupStatus &group : answer->groups) {
            inner::GroupStatus &known = groups[group.group];
            if (known.group.empty() || known.epoch < group.epoch)
                known = group;
        }
    }
    for (auto &entry : groups)
        status.groups.push_back(std::move(entry.second));
    for (const settings::Group &group : inventory.groups)
        if (groups.count(group.name) == 0)
            status.unowned.push_back(group.name);
    return status;
}

} // namespace

// A request to many processes, with a bounded number of them in flight.
struct OperatorCalls::Broadcast
{
    std::vector<std::string> addresses;
    inner::OperatorRequest request;
    OperatorAnswers answers;
    std::size_t next = 0;
    std::size_t answered = 0;
    std::function<void(OperatorAnswers)> callback;
};

OperatorCalls::OperatorCalls(DutyThread &thread, AdminPeers &peers, FrameProgram &program,
                             std::string address)
    : thread_(thread), peers_(peers), program_(program), address_(std::move(address))
{ }

void OperatorCalls::operate(const std::string &address, inner::OperatorRequest request,
                            AdminPeers::OperatorCallback callback)
{
    if (address != address_)
        return peers_.operate(address, std::move(request), operatorTimeout, std::move(callback));
    program_.operate(request, [this, callback = std::move(callback)](inner::OperatorAnswer answer) {
        boost::asio::post(thread_.context(), [callback, answer = std::move(answer)]() mutable {
            callback(std::move(answer));
        });
    });
}

void OperatorCalls::operateAll(std::vector<std::string> addresses,
                               const inner::OperatorRequest &request,
                               std::function<void(OperatorAnswers)> callback)
{
    if (addresses.empty())
        return callback({});
    const auto broadcast = std::make_shared<Broadcast>();
    broadcast->answers.resize(addresses.size(), absl::UnknownError("not sent"));
    broadcast->addresses = std::move(addresses);
    broadcast->request = request;
    broadcast->callback = std::move(callback);
    const std::size_t first = std::min(maxConcurrentRequests, broadcast->addresses.size());
    for (std::size_t i = 0; i < first; ++i)
        sendNext(broadcast);
}

void OperatorCalls::sendNext(const std::shared_ptr<Broadcast> &broadcast)
{
    const std::size_t index = broadcast->next++;
    if (index >= broadcast->addresses.size())
        return;
    operate(broadcast->addresses[index], broadcast->request,
            [this, broadcast, index](absl::StatusOr<inner::OperatorAnswer> answer) {
                broadcast->answers[index] = std::move(answer);
                if (++broadcast->answered == broadcast->addresses.size())
                    return broadcast->callback(std::move(broadcast->answers));
                sendNext(broadcast);
            });
}

void OperatorCalls::gatherStatus(const settings::Inventory &inventory, StatusCallback callback)
{
    SystemStatus status;
    status.processes = listProcesses(inventory);
    std::vector<std::string> addresses;
    for (const ProcessStatus &process : status.processes)
        addresses.push_back(process.address);
    operateAll(std::move(addresses), inner::OperatorRequest(),
               [status = std::move(status), inventory,
                callback = std::move(callback)](OperatorAnswers answers) {
                   callback(toStatus(status, std::move(answers), inventory));
               });
}

} // namespace kelptally::admin
