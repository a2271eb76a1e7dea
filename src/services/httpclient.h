#pragma once

#include "core/clock.h"
#include "core/dutythread.h"
#include "services/answercallback.h"

#include <chrono>
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

// Condition of a conditional request (RFC 9110, section 13).
enum class HttpCondition {
    None,
    // If-Match with the request's entity tag.
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
    // Target when the read is sent again because its connection was silent; empty for the same. A
    // long poll, which has used up its time by then, is sent again without a wait.
    std::string repeatTarget;
    std::string body;
    HttpCondition condition = HttpCondition::None;
    // Without quotes.
    std::string etag;
    // Additional header fields.
    std::vector<HttpField> fields;
    // Time by which the server may delay its answer (long polling).
    Duration longPollTime {0};
    // If set, called right before the first byte is sent. If it returns false, nothing is sent and
    // the call ends with Unavailable.
    std::function<bool()> maySend;
};

struct HttpResponse
{
    int status = 0;
    // Without quotes; empty when there is none.
    std::string etag;
    std::string body;
};

// What happens to request bytes that have not arrived when the process ends or stands still. The
// operating system goes on sending them unless it is told otherwise.
enum class LateDelivery {
    Allowed,
    // The bytes are discarded when the process ends, or when they have not been acknowledged
    // within the client's timeout.
    Prevented,
};

using HttpCallback = AnswerCallback<HttpResponse>;

// A reused connection on which a read got no answer in time.
struct SilentConnection
{
    // Between its last answer and the read.
    Duration idle {0};
    // Since the read was sent, and how much of that the server was allowed to hold it.
    Duration waited {0};
    Duration longPollTime {0};
};

// Client of one HTTP/1.1 server with a small pool of keep-alive connections. Used on the duty
// thread only, which must outlive it. Callbacks are called there, each exactly once and never from
// within send(). No request is sent after its timeout. Destroying the client drops open calls
// without a callback.
//
// Errors: Unavailable when nothing of the request was sent; DeadlineExceeded when it was sent and
// the answer did not arrive in time; Cancelled when its caller refused the rest of the answer;
// Unknown when the connection broke after it was sent. A GET that fails or gets no answer on a
// reused connection is retried once on a new one; other requests are never retried. An aborted call
// resets its connection, so that its request can't arrive later. As idle connections may be dead
// without a reset, each call uses a new connection or one that answered recently.
class HttpClient
{
public:
    // A GET without an answer for this long on a reused connection is retried on a new one, and an
    // answer is overdue. An answer that pauses for this long is no longer arriving.
    static constexpr Duration silenceTimeout = std::chrono::milliseconds(500);
    // A connection is used only if it answered within this time.
    static constexpr Duration maxIdleTime = std::chrono::seconds(1);

    // The address is "ip:port". The timeout covers a call from send() to the first bytes of its
    // answer, and then each pause between bytes.
    HttpClient(DutyThread &thread, const std::string &address, Duration timeout,
               LateDelivery lateDelivery = LateDelivery::Allowed);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    void send(HttpRequest request, HttpCallback callback);
    // As above, with a timeout of its own.
    void send(HttpRequest request, Duration timeout, HttpCallback callback);
    // Ends all calls on a connection with DeadlineExceeded and closes every connection, except
    // those on which an answer is arriving. For a server whose open connections are silent while
    // new ones work.
    void abortOpenCalls();
    // Sets a callback for each silent connection that is found.
    void onSilentConnection(std::function<void(const SilentConnection &)> callback);

private:
    class Pool;
    std::shared_ptr<Pool> pool_;
};

// Percent-encodes a path segment or a query value (RFC 3986).
std::string percentEncoded(const std::string &text);

} // namespace kelptally::services
