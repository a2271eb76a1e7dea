#include "standin/platformstandin.h"

#include "standin/acceptretry.h"
#include "standin/platformstate.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace kelptally::standin {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::uint64_t maxRequestBytes = 16u << 20;

PlatformRequest toPlatformRequest(http::request<http::string_body> &message)
{
    PlatformRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.ifMatch = std::string(message[http::field::if_match]);
    request.ifNoneMatch = message[http::field::if_none_match] == "*";
    request.body = std::move(message.body());
    return request;
}

// One client connection. Handles requests sequentially.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Tcp::socket socket, DutyThread &thread, std::shared_ptr<PlatformState> state)
        : socket_(std::move(socket)), thread_(thread), state_(std::move(state))
    { }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(maxRequestBytes);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](const Error &error, std::size_t) {
                             if (!error)
                                 self->onRequest();
                         });
    }

private:
    void onRequest()
    {
        keepAlive_ = parser_->get().keep_alive();
        const bool isWrite = parser_->get().method() != http::verb::get;
        const PlatformRequest request = toPlatformRequest(parser_->get());
        const PlatformService service = PlatformState::serviceOf(request.target);
        state_->countRequest(service, isWrite);
        const PlatformFaults &faults = state_->faults(service);
        if (faults.outage == Outage::Reset)
            return reset();
        if (faults.outage == Outage::Refuse)
            return write({503, "", "{}"});
        if (faults.delay == Duration(0))
            return execute(request, service, isWrite);
        thread_.timers().subscribeAfter(faults.delay,
                                        [self = shared_from_this(), request, service, isWrite] {
                                            self->execute(request, service, isWrite);
                                        });
    }

    void execute(const PlatformRequest &request, PlatformService service, bool isWrite)
    {
        PlatformResponse response = state_->handle(thread_.timers().now(), request);
        int &lostResponses = state_->faults(service).lostResponses;
        if (isWrite && response.status == 200 && lostResponses > 0) {
            --lostResponses;
            return reset();
        }
        write(std::move(response));
    }

    void write(PlatformResponse response)
    {
        response_ = {static_cast<http::status>(response.status), 11};
        response_.set(http::field::content_type, "application/json");
        if (!response.etag.empty())
            response_.set(http::field::etag, "\"" + response.etag + "\"");
        response_.keep_alive(keepAlive_);
        response_.body() = std::move(response.body);
        response_.prepare_payload();
        http::async_write(socket_, response_,
                          [self = shared_from_this()](const Error &error, std::size_t) {
                              if (!error && self->keepAlive_)
                                  self->read();
                          });
    }

    // Closes the connection with a TCP reset.
    void reset()
    {
        Error ignored;
        socket_.set_option(Tcp::socket::linger(true, 0), ignored);
        socket_.close(ignored);
    }

    Tcp::socket socket_;
    DutyThread &thread_;
    std::shared_ptr<PlatformState> state_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    bool keepAlive_ = true;
};

} // namespace

class PlatformStandin::Server : public std::enable_shared_from_this<Server>
{
public:
    Server(DutyThread &thread, int port)
        : thread_(thread), acceptor_(thread.context(),
                                     Tcp::endpoint(asio::ip::address_v4::loopback(),
                                                   static_cast<std::uint16_t>(port)))
    { }

    void accept()
    {
        acceptor_.async_accept([weak = weak_from_this()](const Error &error, Tcp::socket socket) {
            const auto self = weak.lock();
            if (!self || error == asio::error::operation_aborted)
                return;
            if (error) {
                self->thread_.timers().subscribeAfter(acceptRetryDelay, [weak] {
                    if (const auto server = weak.lock())
                        server->accept();
                });
                return;
            }
            Error ignored;
            socket.set_option(Tcp::no_delay(true), ignored);
            std::make_shared<Session>(std::move(socket), self->thread_, self->state)->read();
            self->accept();
        });
    }

    int port() const { return acceptor_.local_endpoint().port(); }

    const std::shared_ptr<PlatformState> state = std::make_shared<PlatformState>();

private:
    DutyThread &thread_;
    Tcp::acceptor acceptor_;
};

PlatformStandin::PlatformStandin(DutyThread &thread, int port)
    : server_(std::make_shared<Server>(thread, port))
{
    server_->accept();
}

PlatformStandin::~PlatformStandin() = default;

int PlatformStandin::port() const
{
    return server_->port();
}

void PlatformStandin::setHosts(std::vector<services::ListedHost> hosts, Duration lag)
{
    server_->state->setHostLag(lag);
    server_->state->setHosts(BootClock::now(), std::move(hosts));
}

} // namespace kelptally::standin
