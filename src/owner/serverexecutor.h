#pragma once

#include "backend/connectionpool.h"
#include "decision/admission.h"
#include "owner/ownerports.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace kelptally::owner {

using ConnectionPtr = std::shared_ptr<backend::Connection>;

// Why work left a lane without having started.
struct WorkRefusal
{
    Reason reason = Reason::None;
    Duration retryAfter {0};
    std::string detail;
    // No connection to the server could be had; another server may do.
    bool unreachable = false;
};

// Work for one server: exactly one of its functions is called, unless it is cancelled.
struct ExecutorWork
{
    decision::Work work;
    // A transaction's own connection; nothing: one of the pool.
    ConnectionPtr pinned;
    std::function<void(ConnectionPtr)> start;
    std::function<void(const WorkRefusal &)> refused;
};

// The way to one server: its queue and slots, and the pool of connections under them.
class ServerExecutor : public std::enable_shared_from_this<ServerExecutor>
{
public:
    ServerExecutor(const settings::Group &group, const settings::Server &server,
                   const settings::Limits &limits, OwnerPorts &ports);

    void submit(ExecutorWork work);
    // Takes waiting work away; false when it has started or is unknown.
    bool cancel(decision::WorkId id);

    // Ends the use of a slot that start() began; without a service time nothing was run.
    void finished(const decision::Work &work, std::optional<Duration> serviceTime);
    // Gives a connection back to the pool, or closes it when its state is not known to be clean.
    void release(const ConnectionPtr &connection, bool reusable);

    // Refuses everything that waits.
    void refuseAll(const WorkRefusal &refusal);
    // Closes idle connections now and those in use when given back; those in use are cut at once
    // when told so.
    void closeConnections(bool abortRunning);
    // Refuses what can no longer be done in time.
    void expire();

    // The notice comes once no more connections are counted than the limit allows.
    void setConnectionLimit(int limit, std::function<void()> withinLimit = {});
    void configure(const settings::Server &server, const std::vector<settings::Team> &teams);
    void warm(int connections);

    const settings::Server &server() const { return server_; }
    const decision::Admission &admission() const { return admission_; }
    void setBrowseSlots(int slots) { admission_.setBrowseSlots(slots); }
    int connectionLimit() const { return connectionLimit_; }
    int openConnections() const { return pool_->counted(); }

private:
    void dispatch();
    void startAdmitted();
    void start(const decision::Work &work);
    void refuseDropped();
    void onConnection(decision::WorkId id, const absl::Status &status, ConnectionPtr connection);
    void refuse(decision::WorkId id, const WorkRefusal &refusal);

    struct PendingWork
    {
        ExecutorWork queued;
        // Waits for a connection with its slot taken.
        bool hasSlot = false;
        backend::ConnectionPool::RequestId request = 0;
    };

    OwnerPorts &ports_;
    settings::Server server_;
    decision::Admission admission_;
    std::shared_ptr<backend::ConnectionPool> pool_;
    std::unordered_map<decision::WorkId, PendingWork> pendingWorks_;
    int connectionLimit_ = 0;
    bool dispatching_ = false;
    bool dispatchAgain_ = false;
};

} // namespace kelptally::owner
