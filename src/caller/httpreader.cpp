#include "caller/httpreader.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>

namespace kelptally::caller {

namespace http = boost::beast::http;

namespace {

// A larger empty buffer is freed between requests.
constexpr std::size_t maxRetainedPendingBytes = 512;

// Length of the last chunk, "0\r\n\r\n". Beast 1.74 may fail an assertion if it resumes a chunked
// body with fewer bytes; every chunked body ends with at least these.
constexpr std::size_t minChunkedBytes = 5;

std::string toString(boost::beast::string_view text)
{
    return std::string(text.data(), text.size());
}

HttpMethod toMethod(http::verb verb)
{
    switch (verb) {
    case http::verb::get:
        return HttpMethod::Get;
    case http::verb::head:
        return HttpMethod::Head;
    case http::verb::post:
        return HttpMethod::Post;
    case http::verb::put:
        return HttpMethod::Put;
    case http::verb::delete_:
        return HttpMethod::Delete;
    default:
        return HttpMethod::Other;
    }
}

// Sets path and query from a target in origin or absolute form (RFC 9112, section 3.2).
bool parseTarget(boost::beast::string_view target, HttpRequest &request)
{
    std::string text = toString(target);
    constexpr std::string_view scheme = "http://";
    if (text.compare(0, scheme.size(), scheme) == 0) {
        const std::size_t slash = text.find('/', scheme.size());
        text = slash == std::string::npos ? "/" : text.substr(slash);
    }
    if (text.empty() || text.front() != '/')
        return false;
    const std::size_t question = text.find('?');
    request.path = text.substr(0, question);
    if (question != std::string::npos)
        request.query = text.substr(question + 1);
    return true;
}

bool isTooLarge(const boost::system::error_code &error)
{
    return error == http::error::header_limit || error == http::error::body_limit
        || error == http::error::buffer_overflow;
}

} // namespace

struct HttpReader::Parser
{
    http::request_parser<http::string_body> beast;
    bool headerSeen = false;
};

HttpReader::HttpReader(std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
    : maxHeaderBytes_(maxHeaderBytes), maxBodyBytes_(maxBodyBytes)
{ }

HttpReader::~HttpReader() = default;

void HttpReader::feed(std::string_view bytes)
{
    pending_.append(bytes.data(), bytes.size());
}

bool HttpReader::started() const
{
    return parser_ || !pending_.empty();
}

bool HttpReader::takeExpectContinue()
{
    const bool wanted = expectsContinue_;
    expectsContinue_ = false;
    return wanted;
}

HttpReader::State HttpReader::refuse(Reason reason, std::string detail)
{
    reason_ = reason;
    detail_ = std::move(detail);
    parser_.reset();
    return State::Refused;
}

HttpReader::State HttpReader::next()
{
    if (reason_ != Reason::None)
        return State::Refused;
    if (!parser_) {
        if (pending_.empty())
            return State::NeedMore;
        parser_ = std::make_unique<Parser>();
        parser_->beast.header_limit(static_cast<std::uint32_t>(maxHeaderBytes_));
        parser_->beast.body_limit(maxBodyBytes_);
        parser_->beast.eager(true);
    }
    if (parser_->headerSeen && parser_->beast.chunked() && pending_.size() < minChunkedBytes)
        return State::NeedMore;
    boost::system::error_code error;
    const std::size_t used =
        parser_->beast.put(boost::asio::buffer(pending_.data(), pending_.size()), error);
    pending_.erase(0, used);
    if (error && error != http::error::need_more) {
        if (isTooLarge(error))
            return refuse(Reason::RequestTooLarge, error.message());
        return refuse(Reason::MalformedRequest, error.message());
    }
    if (parser_->beast.is_header_done() && !parser_->headerSeen) {
        parser_->headerSeen = true;
        const auto &fields = parser_->beast.get();
        expectsContinue_ =
            !parser_->beast.is_done() && fields[http::field::expect] == "100-continue";
    }
    if (parser_->beast.is_done())
        return finish();
    // The parser consumes a header only when it is complete.
    if (pending_.size() > maxHeaderBytes_)
        return refuse(Reason::RequestTooLarge, "header limit exceeded");
    return State::NeedMore;
}

HttpReader::State HttpReader::finish()
{
    if (!readHeaderFields())
        return State::Refused;
    parser_.reset();
    expectsContinue_ = false;
    if (pending_.empty() && pending_.capacity() > maxRetainedPendingBytes)
        pending_ = std::string();
    return State::Request;
}

// Copies the header fields that are used. Refuses duplicates, as intermediate proxies may use a
// different one of them.
bool HttpReader::readHeaderFields()
{
    auto &message = parser_->beast.get();
    request_ = HttpRequest();
    request_.method = toMethod(message.method());
    if (!parseTarget(message.target(), request_)) {
        refuse(Reason::MalformedRequest, "the target must be a path");
        return false;
    }
    bool hasHost = false;
    for (const auto &field : message) {
        std::string *into = nullptr;
        std::string host;
        if (field.name() == http::field::host)
            into = &host;
        else if (field.name() == http::field::authorization)
            into = &request_.authorization;
        else if (field.name() == http::field::if_match)
            into = &request_.ifMatch;
        else if (field.name() == http::field::if_none_match)
            into = &request_.ifNoneMatch;
        else if (field.name() != http::field::unknown)
            continue;
        else if (boost::beast::iequals(field.name_string(), "Idempotency-Key"))
            into = &request_.idempotencyKey;
        else if (boost::beast::iequals(field.name_string(), "Kelptally-Session"))
            into = &request_.sessionToken;
        else
            continue;
        if (!into->empty() || (into == &host && hasHost)) {
            refuse(Reason::MalformedRequest, toString(field.name_string()) + " is given twice");
            return false;
        }
        hasHost = hasHost || into == &host;
        *into = toString(field.value());
    }
    if (!hasHost && message.version() >= 11) {
        refuse(Reason::MalformedRequest, "the Host header is missing");
        return false;
    }
    keepAlive_ = message.keep_alive();
    request_.body = std::move(message.body());
    return true;
}

HttpRequest HttpReader::takeRequest()
{
    return std::move(request_);
}

} // namespace kelptally::caller
