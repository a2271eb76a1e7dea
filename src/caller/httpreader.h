#pragma once

#include "caller/httpmessage.h"
#include "core/reason.h"

#include <memory>
#include <string>
#include <string_view>

namespace kelptally::caller {

// Incremental parser of the requests of one connection; does no I/O. Its memory is bounded by the
// limits during a request and small between requests.
class HttpReader
{
public:
    enum class State {
        NeedMore,
        // A request is complete; see takeRequest().
        Request,
        // The input is invalid and the connection must be closed; see reason() and detail().
        Refused,
    };

    HttpReader(std::size_t maxHeaderBytes, std::size_t maxBodyBytes);
    ~HttpReader();

    // Appends received bytes.
    void feed(std::string_view bytes);
    // Parses the bytes fed so far. After Request, call it again for pipelined requests.
    State next();

    // Moves out the request that next() completed.
    HttpRequest takeRequest();
    // Whether the connection stays open after that request.
    bool keepAlive() const { return keepAlive_; }
    Reason reason() const { return reason_; }
    const std::string &detail() const { return detail_; }

    // Whether part of a request has been received.
    bool started() const;
    // Number of bytes that are fed but not yet parsed.
    std::size_t buffered() const { return pending_.size(); }
    // True once for each request with "Expect: 100-continue" whose body is outstanding.
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
