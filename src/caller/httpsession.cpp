#include "caller/httpsession.h"

#include "caller/httpreader.h"
#include "caller/problem.h"

#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace kelptally::caller {

namespace {

using Socket = boost::asio::ip::tcp::socket;
using TlsStream = boost::asio::ssl::stream<Socket>;
using ErrorCode = boost::system::error_code;

// Allocated for each connection; holds a typical request.
constexpr std::size_t readBufferBytes = 2048;
// A larger output buffer is freed after the response.
constexpr std::size_t maxRetainedOutputBytes = 2048;
// How long input is still read before a close, so that the caller receives the response before a
// reset (RFC 9112, section 9.6).
constexpr Duration lingerTimeout = std::chrono::seconds(2);

constexpr Instant noDeadline = Instant::max();

std::string_view statusText(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 204:
        return "No Content";
    case 304:
        return "Not Modified";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 412:
        return "Precondition Failed";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

void appendHeader(std::string &out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    const auto begin = static_cast<std::ptrdiff_t>(out.size());
    out += value;
    // Prevents header injection.
    const auto breaks = [](char c) { return c == '\r' || c == '\n' || c == '\0'; };
    std::replace_if(out.begin() + begin, out.end(), breaks, ' ');
    out += "\r\n";
}

void appendResponse(std::string &out, const HttpResponse &response, const std::string &date,
                    bool close, bool headOnly)
{
    out.reserve(out.size() + response.body.size() + 256);
    out += "HTTP/1.1 ";
    out += std::to_string(response.status);
    out += ' ';
    out += statusText(response.status);
    out += "\r\n";
    appendHeader(out, "Date", date);
    if (!response.contentType.empty())
        appendHeader(out, "Content-Type", response.contentType);
    appendHeader(out, "Content-Length", std::to_string(response.body.size()));
    for (const HttpHeader &header : response.headers)
        appendHeader(out, header.name, header.value);
    if (close)
        appendHeader(out, "Connection", "close");
    out += "\r\n";
    if (!headOnly)
        out += response.body;
}

Socket &socketOf(Socket &stream)
{
    return stream;
}

Socket &socketOf(TlsStream &stream)
{
    return stream.next_layer();
}

template <typename Stream>
class StreamSession : public HttpSession
{
public:
    template <typename... Args>
    StreamSession(HttpSessionManager &manager, ConnectionId id, Args &&...args)
        : manager_(&manager), id_(id), stream_(std::forward<Args>(args)...),
          reader_(manager.limits().maxHeaderBytes, manager.limits().maxBodyBytes)
    { }

    ConnectionId id() const override { return id_; }

    void start() override
    {
        if constexpr (std::is_same_v<Stream, TlsStream>) {
            deadline_ = BootClock::now() + manager_->limits().readTimeout;
            stream_.async_handshake(TlsStream::server,
                                    [this, self = shared_from_this()](const ErrorCode &error) {
                                        error ? close() : begin();
                                    });
        } else {
            begin();
        }
    }

    void startRefusing(Reason reason) override
    {
        refusal_ = reason;
        start();
    }

    void answer(const HttpResponse &response) override
    {
        if (state_ != State::Handling)
            return;
        const bool closes = !reader_.keepAlive() || manager_->draining() || callerDisconnected_;
        write(response, closes);
    }

    void checkDeadline(Instant now) override
    {
        if (now < deadline_)
            return;
        if (state_ == State::Reading && reader_.started())
            refuse(Reason::RequestTooSlow, {});
        else
            close();
    }

    void closeIfIdle() override
    {
        if (state_ == State::Reading && !reader_.started())
            close();
    }

    void abandon() override
    {
        manager_ = nullptr;
        close();
    }

private:
    enum class State {
        // Waits for a request or receives one.
        Reading,
        // The handler processes a request.
        Handling,
        Writing,
        // The last response is sent; further input is discarded.
        Lingering,
        Closed,
    };

    void begin()
    {
        if (state_ == State::Closed)
            return;
        if (refusal_ != Reason::None)
            return refuse(refusal_, {});
        deadline_ = BootClock::now() + manager_->limits().idleTimeout;
        read();
    }

    // Keeps one read pending to detect a disconnect. While a request is handled, it buffers no more
    // than the header limit.
    void read()
    {
        if (reading_ || state_ == State::Closed)
            return;
        const bool shouldRead = state_ == State::Reading || state_ == State::Lingering
            || reader_.buffered() <= manager_->limits().maxHeaderBytes;
        if (!shouldRead)
            return;
        reading_ = true;
        stream_.async_read_some(
            boost::asio::buffer(buffer_),
            [this, self = shared_from_this()](const ErrorCode &error, std::size_t count) {
                reading_ = false;
                if (state_ != State::Closed)
                    error ? onReadFailed() : onDataReceived(count);
            });
    }

    void onDataReceived(std::size_t count)
    {
        if (state_ == State::Lingering)
            return read();
        if (state_ == State::Reading && !reader_.started())
            deadline_ = BootClock::now() + manager_->limits().readTimeout;
        reader_.feed({buffer_.data(), count});
        if (state_ == State::Reading)
            processInput();
        else
            read();
    }

    // Parses the received bytes and acts on the result.
    void processInput()
    {
        switch (reader_.next()) {
        case HttpReader::State::NeedMore:
            if (reader_.takeExpectContinue())
                return sendContinue();
            return read();
        case HttpReader::State::Request:
            return handle();
        case HttpReader::State::Refused:
            return refuse(reader_.reason(), reader_.detail());
        }
    }

    void handle()
    {
        state_ = State::Handling;
        deadline_ = noDeadline;
        HttpRequest request = reader_.takeRequest();
        request.connection = id_;
        headOnly_ = request.method == HttpMethod::Head;
        manager_->onRequest(*this, std::move(request));
        read();
    }

    void onReadFailed()
    {
        switch (state_) {
        case State::Reading:
            if (!reader_.started())
                return close();
            return refuse(Reason::RequestTruncated, {});
        case State::Handling:
        case State::Writing:
            if (!callerDisconnected_ && state_ == State::Handling)
                manager_->onCallerDisconnected(id_);
            callerDisconnected_ = true;
            return;
        case State::Lingering:
            return close();
        case State::Closed:
            return;
        }
    }

    void refuse(Reason reason, const std::string &detail)
    {
        manager_->onRefused(reason);
        refusal_ = reason;
        write(problemResponse(makeProblem(reason, detail)), true);
    }

    void sendContinue()
    {
        output_ = "HTTP/1.1 100 Continue\r\n\r\n";
        state_ = State::Writing;
        boost::asio::async_write(
            stream_, boost::asio::buffer(output_),
            [this, self = shared_from_this()](const ErrorCode &error, std::size_t) {
                if (state_ == State::Closed)
                    return;
                if (error || callerDisconnected_)
                    return close();
                state_ = State::Reading;
                processInput();
            });
        read();
    }

    void write(const HttpResponse &response, bool closes)
    {
        state_ = State::Writing;
        deadline_ = BootClock::now() + manager_->limits().writeTimeout;
        closesAfterWrite_ = closes;
        output_.clear();
        appendResponse(output_, response, manager_->date(), closes, headOnly_);
        boost::asio::async_write(
            stream_, boost::asio::buffer(output_),
            [this, self = shared_from_this()](const ErrorCode &error, std::size_t) {
                if (state_ == State::Closed)
                    return;
                if (output_.capacity() > maxRetainedOutputBytes)
                    output_ = std::string();
                error ? close() : onWritten();
            });
    }

    void onWritten()
    {
        headOnly_ = false;
        if (callerDisconnected_)
            return close();
        if (closesAfterWrite_)
            return linger();
        state_ = State::Reading;
        const bool more = reader_.started();
        deadline_ = BootClock::now()
            + (more ? manager_->limits().readTimeout : manager_->limits().idleTimeout);
        more ? processInput() : read();
    }

    // Closes the sending side and waits for the caller to close the connection.
    void linger()
    {
        state_ = State::Lingering;
        deadline_ = BootClock::now() + lingerTimeout;
        ErrorCode ignored;
        if constexpr (std::is_same_v<Stream, Socket>)
            stream_.shutdown(Socket::shutdown_send, ignored);
        read();
    }

    void close()
    {
        if (state_ == State::Closed)
            return;
        const bool handled = state_ == State::Handling;
        state_ = State::Closed;
        deadline_ = noDeadline;
        ErrorCode ignored;
        socketOf(stream_).close(ignored);
        if (!manager_)
            return;
        if (handled && !callerDisconnected_)
            manager_->onCallerDisconnected(id_);
        manager_->onClosed(id_);
    }

    HttpSessionManager *manager_;
    const ConnectionId id_;
    Stream stream_;
    HttpReader reader_;
    State state_ = State::Reading;
    Reason refusal_ = Reason::None;
    bool reading_ = false;
    bool callerDisconnected_ = false;
    bool closesAfterWrite_ = false;
    bool headOnly_ = false;
    Instant deadline_ = noDeadline;
    std::string output_;
    std::array<char, readBufferBytes> buffer_;
};

} // namespace

std::shared_ptr<HttpSession> makeHttpSession(HttpSessionManager &manager, ConnectionId id,
                                             boost::asio::ip::tcp::socket socket,
                                             boost::asio::ssl::context *tls)
{
    if (tls)
        return std::make_shared<StreamSession<TlsStream>>(manager, id, std::move(socket), *tls);
    return std::make_shared<StreamSession<Socket>>(manager, id, std::move(socket));
}

} // namespace kelptally::caller
