#include "standin/wiresession.h"

#include "standin/databaseserver.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace kelptally::standin {

namespace {

// Size of the input buffer at which reading stops, and limit of a message's length.
constexpr std::size_t maxBuffered = 64 << 20;

} // namespace

WireSession::WireSession(DatabaseServer &server, boost::asio::ip::tcp::socket socket,
                         std::uint32_t id, std::uint32_t secret)
    : server_(server), socket_(std::move(socket)), id_(id), secret_(secret),
      sql_(server.node(), [this] { wakeFunction()(); }), inboundQueue_(server.timers()),
      outboundQueue_(server.timers())
{
    boost::system::error_code error;
    clientAddress_ = socket_.remote_endpoint(error).address().to_string();
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), error);
    sql_.setLockTimeout(server.limits().lockTimeout);
}

void WireSession::start()
{
    read();
}

void WireSession::close()
{
    if (closed_)
        return;
    closed_ = true;
    sql_.onClientDisconnected();
    inboundQueue_.clear();
    outboundQueue_.clear();
    boost::system::error_code ignored;
    socket_.close(ignored);
    server_.onSessionClosed(*this);
}

void WireSession::resume()
{
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->read();
        self->process();
        self->write();
    });
}

void WireSession::cancel(std::uint32_t secret)
{
    if (secret != secret_ || !waiting_)
        return;
    canceled_ = true;
    wakeFunction()();
}

// The callback posts its work, so that process() never runs inside the caller of the callback.
std::function<void()> WireSession::wakeFunction()
{
    return [weak = weak_from_this(), executor = socket_.get_executor()] {
        boost::asio::post(executor, [weak] {
            const auto self = weak.lock();
            if (!self || self->closed_)
                return;
            self->waiting_ = false;
            self->process();
        });
    };
}

void WireSession::waitFor(Duration delay)
{
    waiting_ = true;
    server_.timers().subscribeAfter(delay, wakeFunction());
}

void WireSession::read()
{
    if (closed_ || reading_ || server_.isPartitionedFrom(clientAddress_)
        || inputBuffer_.size() > maxBuffered)
        return;
    reading_ = true;
    socket_.async_read_some(
        boost::asio::buffer(readBuffer_),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t count) {
            self->reading_ = false;
            if (error)
                return self->close();
            self->onBytes(std::string(self->readBuffer_.data(), count));
        });
}

void WireSession::onBytes(std::string bytes)
{
    if (closed_)
        return;
    const Duration delay = server_.limits().clientDelay;
    if (delay.count() == 0) {
        inputBuffer_ += bytes;
        process();
    } else {
        inboundQueue_.push(server_.timers().now() + delay, [this, bytes = std::move(bytes)] {
            inputBuffer_ += bytes;
            process();
        });
    }
    read();
}

void WireSession::process()
{
    const auto self = shared_from_this();
    while (!closed_ && !waiting_ && !closeWhenSent_ && !server_.paused()) {
        if (!step())
            break;
    }
    inputBuffer_.erase(0, consumedBytes_);
    consumedBytes_ = 0;
    flush();
}

bool WireSession::step()
{
    switch (phase_) {
    case Phase::Startup:
        return processStartup();
    case Phase::Connecting:
        return completeStartup();
    case Phase::Ready:
        return processMessage();
    }
    return false;
}

bool WireSession::processStartup()
{
    const std::string_view remaining = std::string_view(inputBuffer_).substr(consumedBytes_);
    if (remaining.size() < 8)
        return false;
    const std::uint32_t length = firstInt32(remaining);
    if (length < 8 || length > 10000) {
        close();
        return false;
    }
    if (remaining.size() < length)
        return false;
    consumedBytes_ += length;
    const std::uint32_t code = firstInt32(remaining.substr(4));
    if (code == sslRequestCode || code == gssRequestCode) {
        writer_.rawByte('N');
    } else if (code == cancelRequestCode && length == 16) {
        server_.cancel(firstInt32(remaining.substr(8)), firstInt32(remaining.substr(12)));
        close();
    } else if (code >> 16 != protocolVersion >> 16) {
        sendFatalError({"0A000", "unsupported frontend protocol"});
    } else {
        authenticate();
    }
    return true;
}

// Delays the startup response by the connection cost.
void WireSession::authenticate()
{
    if (!server_.admit()) {
        sendFatalError({"53300", "sorry, too many clients already"});
        return;
    }
    admitted_ = true;
    phase_ = Phase::Connecting;
    if (server_.limits().connectionCost.count() > 0)
        waitFor(server_.limits().connectionCost);
}

bool WireSession::completeStartup()
{
    phase_ = Phase::Ready;
    writer_.authenticationOk();
    writer_.parameterStatus("server_version", "15.0");
    writer_.parameterStatus("server_encoding", "UTF8");
    writer_.parameterStatus("client_encoding", "UTF8");
    writer_.parameterStatus("standard_conforming_strings", "on");
    writer_.parameterStatus("integer_datetimes", "on");
    writer_.backendKeyData(id_, secret_);
    writer_.readyForQuery('I');
    return true;
}

bool WireSession::processMessage()
{
    const std::string_view remaining = std::string_view(inputBuffer_).substr(consumedBytes_);
    if (remaining.size() < 5)
        return false;
    const std::uint32_t length = firstInt32(remaining.substr(1));
    if (length < 4 || length > maxBuffered) {
        sendFatalError(protocolError);
        return false;
    }
    if (remaining.size() < length + 1)
        return false;
    const char type = remaining[0];
    const bool skipped = skipToSync_ && type != 'S' && type != 'X';
    if (!skipped && handle(type, remaining.substr(5, length - 4)) == StepStatus::Pending) {
        waiting_ = true;
        return false;
    }
    consumedBytes_ += length + 1;
    return true;
}

void WireSession::sendFatalError(const SqlError &error)
{
    writer_.errorResponse("FATAL", error);
    closeWhenSent_ = true;
}

void WireSession::flush()
{
    if (closed_)
        return;
    std::string bytes;
    bytes.swap(writer_.buffer());
    const Duration delay = server_.limits().clientDelay;
    if (delay.count() == 0 || bytes.empty()) {
        pendingOutput_ += bytes;
        write();
        return;
    }
    outboundQueue_.push(server_.timers().now() + delay, [this, bytes = std::move(bytes)] {
        pendingOutput_ += bytes;
        write();
    });
}

void WireSession::write()
{
    if (closed_ || !sendBuffer_.empty() || server_.isPartitionedFrom(clientAddress_))
        return;
    if (pendingOutput_.empty()) {
        if (closeWhenSent_ && writer_.buffer().empty())
            close();
        return;
    }
    sendBuffer_.swap(pendingOutput_);
    boost::asio::async_write(
        socket_, boost::asio::buffer(sendBuffer_),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            self->sendBuffer_.clear();
            if (error)
                return self->close();
            self->write();
        });
}

} // namespace kelptally::standin
