#include "standin/faultcontrol.h"

#include "standin/acceptretry.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace kelptally::standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

// One connection to the control port. Handles requests sequentially.
class ControlSession : public std::enable_shared_from_this<ControlSession>
{
public:
    ControlSession(tcp::socket socket, DatabaseGroups &groups)
        : socket_(std::move(socket)), groups_(groups)
    { }

    void read()
    {
        request_ = {};
        http::async_read(socket_, buffer_, request_,
                         [self = shared_from_this()](const beast::error_code &error, std::size_t) {
                             if (!error)
                                 self->answer();
                         });
    }

private:
    void answer()
    {
        response_ = {};
        response_.version(request_.version());
        response_.keep_alive(request_.keep_alive());
        response_.set(http::field::content_type, "application/json");
        if (request_.method() == http::verb::get && request_.target() == "/state") {
            response_.body() = stateDocument(groups_);
        } else if (request_.method() == http::verb::post && request_.target() == "/faults") {
            const std::string problem = applyFault(groups_, request_.body());
            response_.result(problem.empty() ? http::status::ok : http::status::bad_request);
            response_.body() = problem.empty() ? "{}\n" : problem + "\n";
        } else {
            response_.result(http::status::not_found);
            response_.body() = "GET /state or POST /faults\n";
        }
        response_.prepare_payload();
        http::async_write(socket_, response_,
                          [self = shared_from_this()](const beast::error_code &error, std::size_t) {
                              if (!error && self->response_.keep_alive())
                                  self->read();
                          });
    }

    tcp::socket socket_;
    DatabaseGroups &groups_;
    beast::flat_buffer buffer_ {1 << 20};
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
};

} // namespace

struct FaultControl::Private
{
    Private(ListenAddress address, DatabaseGroups &theGroups)
        : listen(std::move(address)), groups(theGroups)
    { }

    void accept()
    {
        acceptor.async_accept([this](const beast::error_code &error, tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (error) {
                thread.timers().subscribeAfter(acceptRetryDelay, [this] { accept(); });
                return;
            }
            std::make_shared<ControlSession>(std::move(socket), groups)->read();
            accept();
        });
    }

    const ListenAddress listen;
    DatabaseGroups &groups;
    DutyThread thread {"control"};
    tcp::acceptor acceptor {thread.context()};
};

FaultControl::FaultControl(ListenAddress listen, DatabaseGroups &groups)
    : d_(std::make_unique<Private>(std::move(listen), groups))
{ }

FaultControl::~FaultControl()
{
    stop();
}

void FaultControl::start()
{
    const tcp::endpoint endpoint(asio::ip::make_address(d_->listen.address),
                                 std::uint16_t(d_->listen.port));
    d_->acceptor.open(endpoint.protocol());
    d_->acceptor.set_option(tcp::acceptor::reuse_address(true));
    d_->acceptor.bind(endpoint);
    d_->acceptor.listen();
    d_->accept();
    d_->thread.start();
}

void FaultControl::stop()
{
    d_->thread.stop();
}

int FaultControl::port() const
{
    return d_->acceptor.local_endpoint().port();
}

} // namespace kelptally::standin
