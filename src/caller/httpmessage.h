#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// HTTP messages and handlers, independent of the HTTP library.
namespace kelptally::caller {

// Identifies a connection; a server never reuses one.
using ConnectionId = std::uint64_t;

enum class HttpMethod {
    Get,
    Head,
    Post,
    Put,
    Delete,
    Other,
};

// A complete request with the headers that handlers use.
struct HttpRequest
{
    ConnectionId connection = 0;
    HttpMethod method = HttpMethod::Get;
    // Path of the request target, without the query.
    std::string path;
    // Query of the request target, without the '?'.
    std::string query;
    std::string authorization;
    std::string idempotencyKey;
    // From the Kelptally-Session header.
    std::string sessionToken;
    std::string ifMatch;
    std::string ifNoneMatch;
    std::string body;
};

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    // Headers besides Content-Type, Content-Length, Date and Connection.
    std::vector<HttpHeader> headers;
    std::string body;
};

// Returns a response with status 200 and a JSON body.
inline HttpResponse jsonResponse(std::string document)
{
    HttpResponse response;
    response.body = std::move(document);
    return response;
}

// Sends the response to one request.
class HttpReply
{
public:
    virtual ~HttpReply() = default;

    // Only the first call has an effect. Callable from any thread, also after the connection has
    // closed. A reply that is destroyed without a call sends Reason::Internal.
    virtual void send(HttpResponse response) = 0;
};
using HttpReplyPtr = std::shared_ptr<HttpReply>;

// Handles the requests of an HTTP server. Called on the server's thread.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    // Called for one request of a connection at a time; the next one follows the response.
    virtual void onRequest(HttpRequest request, HttpReplyPtr reply) = 0;

    // Called when a caller closes its connection while its request is in progress.
    virtual void onCallerDisconnected(ConnectionId connection) = 0;
};

} // namespace kelptally::caller
