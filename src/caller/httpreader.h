#pragma once

#include "caller/httpmessage.h"
#include "core/reason.h"

#include <memory>
#include <string>
#include <string_view>

namespace kelptally::caller {

// Takes the bytes of one connection apart into requests. No I/O. Keeps nothing but a small object
// between requests; while one is under way it holds at most the limits' worth of bytes.
class HttpReader
{
public:
    enum class State {
        NeedMore,
        // request() is whole.
        Request,
        // The connection can't go on; see reason() and detail().
        Refused,
    };

    HttpReader(std::size_t maxHeaderBytes, std::size_t maxBodyBytes);
    ~HttpReader();

    void feed(std::string_view bytes);
    // Goes on with what was fed. After Request, call it again for the next pipelined one.
    State next();

    // The request found by next(); it is moved out.
    HttpRequest takeRequest();
    // Whether the caller wants the connection to stay open after that request.
    bool keepAlive() const { return keepAlive_; }
    Reason reason() const { return reason_; }
    const std::string &detail() const { return detail_; }

    // Whether a part of a request has arrived.
    bool started() const;
    // Bytes fed that no request has taken yet.
    std::size_t buffered() const { return pending_.size(); }
    // True once for each request whose caller waits for "100 Continue" before sending the body.
    bool takeExpectContinue();

private:
    struct Parser;

    State refuse(Reason reason, std::string detail);
    State finish();
    bool readHeaderFields();

    const std::size_t maxHeaderBytes_;
    const std::size_t maxBodyBytes_;
    std::string pending_;
    std::unique_ptr<Parser> parser_;
    HttpRequest request_;
    Reason reason_ = Reason::None;
    std::string detail_;
    bool keepAlive_ = true;
    bool expectsContinue_ = false;
};

} // namespace kelptally::caller
