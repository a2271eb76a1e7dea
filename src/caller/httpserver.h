#pragma once

#include "caller/httpmessage.h"
#include "core/dutythread.h"
#include "core/reason.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>

namespace kelptally::caller {

struct HttpLimits
{
    int maxConnections = 20000;
    std::size_t maxHeaderBytes = 8192;
    std::size_t maxBodyBytes = 1u << 20;
    // From the first byte of a request to its last byte.
    Duration readTimeout {std::chrono::seconds(10)};
    // For writing a response.
    Duration writeTimeout {std::chrono::seconds(30)};
    // Between requests.
    Duration idleTimeout {std::chrono::minutes(10)};
    // How long a draining server still accepts connections and requests, answered with
    // "Connection: close", until load balancers and callers have noticed the stop.
    Duration drainGrace {std::chrono::seconds(1)};
};

// Paths of PEM files; TLS is off when both are empty.
struct HttpTls
{
    std::string certificate;
    std::string key;
};

// An HTTP/1.1 server on one duty thread. Requests of one connection are handled sequentially,
// pipelined ones included. A violated limit is answered with a problem document and counted by its
// reason, and the connection is closed.
class HttpServer
{
public:
    // Called on the duty thread for each request that the server itself refuses.
    using RefusalCounter = std::function<void(Reason)>;

    HttpServer(DutyThread &thread, HttpHandler &handler, HttpLimits limits,
               RefusalCounter countRefusal);
    // The duty thread must have stopped.
    ~HttpServer();

    // Call it before the duty thread starts, or on it. Port 0 selects a free port, see port().
    absl::Status listen(const std::string &address, int port, const HttpTls &tls = {});
    int port() const;

    // Starts a graceful stop; callable from any thread. After drainGrace the server stops accepting
    // and closes idle connections. Calls back on the duty thread once all connections are closed.
    void drain(std::function<void()> whenDone);

    // Number of open connections; callable from any thread.
    int connections() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace kelptally::caller
