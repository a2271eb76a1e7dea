#include "platformfixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <mutex>
#include <thread>

// Requests that must not be sent any more when a connection is ready.
using namespace kelptally;
using namespace kelptally::services;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

// A server that answers nothing and keeps all that it receives.
class ReceivingServer
{
public:
    ReceivingServer()
        : acceptor_(context_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          thread_([this] { run(); })
    { }

    ~ReceivingServer()
    {
        stopping_ = true;
        Tcp::socket wake(context_);
        wake.connect(acceptor_.local_endpoint());
        wake.close();
        thread_.join();
    }

    std::string address() const
    {
        return PlatformFixture::addressOf(acceptor_.local_endpoint().port());
    }

    std::string received()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return received_;
    }

private:
    void run()
    {
        while (!stopping_) {
            Tcp::socket socket = acceptor_.accept();
            boost::system::error_code error;
            while (!error) {
                char bytes[1024];
                const std::size_t count = socket.read_some(boost::asio::buffer(bytes), error);
                const std::lock_guard<std::mutex> lock(mutex_);
                received_.append(bytes, count);
            }
        }
    }

    boost::asio::io_context context_;
    Tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ {false};
    std::mutex mutex_;
    std::string received_;
    std::thread thread_;
};

HttpRequest postRequest()
{
    HttpRequest request;
    request.method = HttpMethod::Post;
    request.target = "/call";
    request.body = "{}";
    return request;
}

// Sends the request, keeps the client's thread busy for the pause, and returns the call's status.
absl::Status statusAfterPause(PlatformFixture &fixture, HttpClient &client, HttpRequest request,
                              Duration timeout, Duration pause)
{
    return fixture.wait<absl::Status>([&](const std::function<void(absl::Status)> &done) {
        client.send(
            std::move(request), timeout,
            [done](const absl::StatusOr<HttpResponse> &response) { done(response.status()); });
        std::this_thread::sleep_for(pause);
    });
}

} // namespace

TEST_CASE("A request whose connection is ready only after its timeout is not sent")
{
    PlatformFixture fixture;
    ReceivingServer server;
    HttpClient client(fixture.thread, server.address(), 1s);
    const absl::Status status = statusAfterPause(fixture, client, postRequest(), 100ms, 300ms);
    CHECK(absl::IsUnavailable(status));
    std::this_thread::sleep_for(100ms);
    CHECK(server.received().empty());
    fixture.thread.stop();
}

TEST_CASE("A request that its caller withdraws while it waits for a connection is not sent")
{
    PlatformFixture fixture;
    ReceivingServer server;
    HttpClient client(fixture.thread, server.address(), 1s);
    std::atomic<bool> isWanted {true};
    HttpRequest request = postRequest();
    request.maySend = [&isWanted] { return isWanted.load(); };

    const absl::Status status =
        fixture.wait<absl::Status>([&](const std::function<void(absl::Status)> &done) {
            client.send(std::move(request), [done](const absl::StatusOr<HttpResponse> &response) {
                done(response.status());
            });
            isWanted = false;
        });
    CHECK(absl::IsUnavailable(status));
    std::this_thread::sleep_for(100ms);
    CHECK(server.received().empty());
    fixture.thread.stop();
}
