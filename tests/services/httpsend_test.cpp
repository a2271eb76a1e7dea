#include "platformfixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <csignal>
#include <mutex>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

// Requests that must not be sent, or must not arrive, after their time.
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

// A process that posts a large request to a server that doesn't read yet, so that most of the
// request waits in the sender's socket.
class StalledSender
{
public:
    static constexpr Duration timeout = 1s;
    static constexpr std::size_t bodySize = 32u << 20;
    // Limits what the server's socket holds before the server reads.
    static constexpr std::size_t receiveBufferSize = 64u << 10;

    StalledSender() : acceptor_(context_)
    {
        acceptor_.open(Tcp::v4());
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferSize / 4));
        acceptor_.bind(Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        acceptor_.listen();
        process_ = ::fork();
        REQUIRE(process_ >= 0);
        if (process_ == 0)
            postAndWait(PlatformFixture::addressOf(acceptor_.local_endpoint().port()));
        socket_.emplace(acceptor_.accept());
        std::this_thread::sleep_for(300ms);
    }

    ~StalledSender() { end(); }

    void signal(int number) { ::kill(process_, number); }

    void end()
    {
        if (process_ == 0)
            return;
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
        process_ = 0;
    }

    // Returns how much arrives until the stream ends, or pauses for the time.
    std::size_t receive(Duration maxPause)
    {
        std::vector<char> bytes(1u << 20);
        std::size_t total = 0;
        boost::system::error_code error;
        socket_->non_blocking(true);
        for (Instant last = BootClock::now(); BootClock::now() - last < maxPause;) {
            const std::size_t count = socket_->read_some(boost::asio::buffer(bytes), error);
            if (error && error != boost::asio::error::would_block)
                break;
            total += count;
            if (count > 0)
                last = BootClock::now();
            else
                std::this_thread::sleep_for(1ms);
        }
        return total;
    }

private:
    [[noreturn]] static void postAndWait(const std::string &address)
    {
        DutyThread thread("client");
        HttpClient client(thread, address, timeout, LateDelivery::Prevented);
        thread.start();
        boost::asio::post(thread.context(), [&client] {
            HttpRequest request = postRequest();
            request.body.assign(bodySize, 'x');
            client.send(std::move(request), 60s, [](const auto &) {});
        });
        for (;;)
            ::pause();
    }

    boost::asio::io_context context_;
    Tcp::acceptor acceptor_;
    std::optional<Tcp::socket> socket_;
    pid_t process_ = 0;
};

} // namespace

TEST_CASE("The rest of a request is not delivered after its process was killed")
{
    StalledSender sender;
    sender.end();
    const std::size_t afterKill = sender.receive(1s);
    CHECK(afterKill < StalledSender::receiveBufferSize);
}

TEST_CASE("The rest of a request is not delivered after the timeout while its process stands still")
{
    StalledSender sender;
    sender.signal(SIGSTOP);
    std::this_thread::sleep_for(2 * StalledSender::timeout);
    const std::size_t afterTimeout = sender.receive(1s);
    CHECK(afterTimeout < StalledSender::receiveBufferSize);
}

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
