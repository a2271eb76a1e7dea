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

// A statement for POST /v1/statement (docs/CALLERS.md). `body` is the JSON body; an empty key or
// token is not sent.
struct CallerRequest
{
    std::string body;
    std::string idempotencyKey;
    std::string sessionToken;
};

// The answer of an entry, or the local failure of the request.
struct CallerAnswer
{
    // HTTP status; 0 if the connection was refused or lost, or the answer timed out. Then only
    // `reason`, `executed` and `retryable` are set.
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

// Returns the JSON body of a request. Parameters are sent as strings.
std::string statementBody(const std::string &group, const std::string &kind, const std::string &sql,
                          const std::vector<std::string> &parameters,
                          std::optional<Duration> statedAge, std::optional<Duration> deadline);

// HTTP client with a fixed number of keep-alive connections to the entries, each with one request
// in flight. Requests without a free connection are queued in order. To be used on the thread of
// its I/O context, where each callback is called exactly once unless the client is closed.
class Caller
{
public:
    Caller(boost::asio::io_context &context, const std::vector<std::string> &entries,
           const std::string &callerKey, int connections);
    ~Caller();

    void send(CallerRequest request, CallerCallback callback);
    // Closes all connections and discards the callbacks of requests in flight or queued.
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
