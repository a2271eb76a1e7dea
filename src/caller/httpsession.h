#pragma once

#include "caller/httpmessage.h"
#include "caller/httpserver.h"
#include "core/clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <memory>

namespace kelptally::caller {

class HttpSession;

// What the sessions of one server share. Used on the server's thread.
class HttpSessionManager
{
public:
    virtual ~HttpSessionManager() = default;

    virtual const HttpLimits &limits() const = 0;
    virtual void onRequest(HttpSession &session, HttpRequest request) = 0;
    virtual void onCallerGone(ConnectionId connection) = 0;
    virtual void onRefused(Reason reason) = 0;
    virtual void onClosed(ConnectionId connection) = 0;
    // Value of the Date header.
    virtual const std::string &date() = 0;
    virtual bool draining() const = 0;
};

// One connection of a caller. It keeps itself alive by its pending operations; the host outlives
// it or is told to forget it by abandon().
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    virtual ~HttpSession() = default;

    virtual ConnectionId id() const = 0;
    virtual void start() = 0;
    // Answers any first request with this refusal and closes.
    virtual void startRefusing(Reason reason) = 0;
    virtual void answer(const HttpResponse &response) = 0;
    // Ends what has taken too long.
    virtual void checkDeadline(Instant now) = 0;
    // Closes if no request is in progress.
    virtual void closeIfIdle() = 0;
    virtual void abandon() = 0;
};

// With a TLS context the session begins with a handshake.
std::shared_ptr<HttpSession> makeHttpSession(HttpSessionManager &manager, ConnectionId id,
                                             boost::asio::ip::tcp::socket socket,
                                             boost::asio::ssl::context *tls);

} // namespace kelptally::caller
