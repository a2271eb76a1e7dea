#pragma once

#include "caller/httpmessage.h"
#include "caller/httpserver.h"
#include "core/clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <memory>

namespace kelptally::caller {

class HttpSession;

// Owns the sessions of one server and receives their events, on the server's thread.
class HttpSessionManager
{
public:
    virtual ~HttpSessionManager() = default;

    virtual const HttpLimits &limits() const = 0;
    virtual void onRequest(HttpSession &session, HttpRequest request) = 0;
    virtual void onCallerDisconnected(ConnectionId connection) = 0;
    virtual void onRefused(Reason reason) = 0;
    virtual void onClosed(ConnectionId connection) = 0;
    // Returns the value of the Date header.
    virtual const std::string &date() = 0;
    virtual bool draining() const = 0;
};

// One connection of a caller. Pending operations keep it alive; its manager must outlive it or call
// abandon().
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    virtual ~HttpSession() = default;

    virtual ConnectionId id() const = 0;
    virtual void start() = 0;
    // Sends this refusal and closes the connection.
    virtual void startRefusing(Reason reason) = 0;
    virtual void answer(const HttpResponse &response) = 0;
    // Refuses a request or closes the connection if its time limit has passed.
    virtual void checkDeadline(Instant now) = 0;
    // Closes if no request is in progress.
    virtual void closeIfIdle() = 0;
    // Closes the connection and drops the reference to the manager.
    virtual void abandon() = 0;
};

// Creates a session for an accepted socket; uses TLS if a context is given.
std::shared_ptr<HttpSession> makeHttpSession(HttpSessionManager &manager, ConnectionId id,
                                             boost::asio::ip::tcp::socket socket,
                                             boost::asio::ssl::context *tls);

} // namespace kelptally::caller
