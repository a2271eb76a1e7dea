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

// Why work was refused before it started.
struct WorkRefusal
{
    Reason reason = Reason::None;
    Duration retryAfter {0};
    std::string detail;
    // No connection to the server could be opened; another server may answer.
    bool unreachable = false;
};

// Work for one server. Exactly one of the functions is called, unless the work is cancelled.
struct ExecutorWork
{
    decision::Work work;
    // Connection of a transaction; null to take one from the pool.
    ConnectionPtr pinned;
    std::function<void(ConnectionPtr)> start;
    std::function<void(const WorkRefusal &)> refused;
};

// Runs work on one server: queues it, admits it to a limited number of slots and supplies pooled
// connections.
class ServerExecutor : public std::enable_shared_from_this<ServerExecutor>
{
public:
    ServerExecutor(const settings::Group &group, const settings::Server &server,
                   const settings::Limits &limits, OwnerPorts &ports);

    void submit(ExecutorWork work);
    // Removes queued work; returns false if it has started or is unknown.
    bool cancel(decision::WorkId id);

    // Frees the slot of started work. No service time means that nothing ran.
    void finished(const decision::Work &work, std::optional<Duration> serviceTime);
    // Returns a connection to the pool, which closes it unless it is reusable.
    void release(const ConnectionPtr &connection, bool reusable);

    // Refuses all queued work.
    void refuseAll(const WorkRefusal &refusal);
    // Closes idle connections now, and connections in use when they are released or, with
    // abortRunning, at once.
    void closeConnections(bool abortRunning);
    // Refuses queued work that can no longer meet its deadline.
    void expire();

    // Calls withinLimit once the number of connections is within the limit.
    void setConnectionLimit(int limit, std::function<void()> withinLimit = {});
    void configure(const settings::Server &server, const std::vector<settings::Team> &teams);
    void setMinConnections(int connections);

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
        // Holds a slot and waits for a connection.
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
