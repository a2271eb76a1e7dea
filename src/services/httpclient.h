#pragma once

#include "core/clock.h"
#include "core/dutythread.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kelptally::services {

enum class HttpMethod {
    Get,
    Put,
    Post,
};

// The condition of a conditional request (RFC 9110, section 13).
enum class HttpCondition {
    None,
    // If-Match with the request's tag.
    Matches,
    // If-None-Match: *
    Absent,
};

struct HttpField
{
    std::string name;
    std::string value;
};

struct HttpRequest
{
    HttpMethod method = HttpMethod::Get;
    // Path and query, percent-encoded.
    std::string target;
    std::string body;
    HttpCondition condition = HttpCondition::None;
    // Without its quotes.
    std::string etag;
    // Header fields besides the usual ones.
    std::vector<HttpField> fields;
    // How long the server may hold the answer back, as in a question for changes.
    Duration longPollTime {0};
};

struct HttpResponse
{
    int status = 0;
    // Without its quotes; empty when there is none.
    std::string etag;
    std::string body;
};

using HttpCallback = std::function<void(absl::StatusOr<HttpResponse>)>;

// A client of one HTTP/1.1 server over a few keep-alive connections. Used on the duty thread only;
// callbacks come there too, each exactly once and never from within send(). A destroyed client
// forgets the calls that are open. The duty thread outlives it.
//
// Errors: Unavailable when nothing of the request left this process; DeadlineExceeded when it was
// sent and no answer came in time; Unknown when the connection broke after it was sent. A GET that
// breaks or stays unanswered on a connection used before is sent once more, anything else never. A
// call that is given up resets its connection, so that a request still on its way cannot arrive
// later. Open connections may have gone silent without a reset: anything but a GET goes out on a
// connection that was opened or answered a moment ago.
class HttpClient
{
public:
    // The address is "ip:port". The timeout counts from send() to the whole answer.
    HttpClient(DutyThread &thread, const std::string &address, Duration timeout);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    void send(HttpRequest request, HttpCallback callback);
    // The same with another timeout.
    void send(HttpRequest request, Duration timeout, HttpCallback callback);
    // Ends all calls that are on a connection as DeadlineExceeded, and closes every connection:
    // what is open may never be answered, while new connections work.
    void abortOpenCalls();

private:
    class Pool;
    std::shared_ptr<Pool> pool_;
};

// Percent-encodes one segment of a path or one value of a query (RFC 3986).
std::string percentEncoded(const std::string &text);

} // namespace kelptally::services
