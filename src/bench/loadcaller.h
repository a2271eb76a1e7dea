#pragma once

#include "core/clock.h"
#include "core/reason.h"
#include "core/rows.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kelptally::bench {

// One statement as it goes to POST /v1/statement (docs/CALLERS.md).
struct CallerRequest
{
    std::string body;
    std::string idempotencyKey;
    std::string sessionToken;
};

struct CallerAnswer
{
    // 0 when the connection was refused or lost; then nothing but `executed` is set.
    int status = 0;
    std::string reason;
    Executed executed = Executed::Unknown;
    bool retryable = false;
    Duration retryAfter {0};
    bool fromReplica = false;
    bool replayed = false;
    std::string sessionToken;
    std::vector<std::vector<Value>> rows;

    bool good() const { return status == 200; }
};

using CallerCallback = std::function<void(const CallerAnswer &)>;

// The body of a request; parameters are sent as strings.
std::string statementBody(const std::string &group, const std::string &kind, const std::string &sql,
                          const std::vector<std::string> &parameters,
                          std::optional<Duration> statedAge, std::optional<Duration> deadline);

// A caller with some keep-alive connections to the entries, one request at a time on each. What
// finds no free connection waits in order. Used on the thread of its I/O context; callbacks come
// there, each exactly once.
class Caller
{
public:
    Caller(boost::asio::io_context &context, const std::vector<std::string> &entries,
           const std::string &callerKey, int connections);
    ~Caller();

    void send(CallerRequest request, CallerCallback callback);
    // Drops all connections; open requests get no callback any more.
    void close();
    std::size_t queuedRequests() const { return queue_.size(); }

private:
    class Connection;
    friend class Connection;
    struct QueuedRequest
    {
        CallerRequest request;
        CallerCallback callback;
    };
    void onConnectionFree(Connection &connection);

    std::vector<std::shared_ptr<Connection>> connections_;
    std::deque<Connection *> freeConnections_;
    std::deque<QueuedRequest> queue_;
};

} // namespace kelptally::bench
