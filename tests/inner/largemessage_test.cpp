#include "linkfixtures.h"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <thread>

using namespace kelptally;
using namespace kelptally::inner;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

// Forwards one connection, with a limited rate towards the side that opened it.
class SlowPath
{
public:
    static constexpr std::size_t bytesPerStep = 4096;
    static constexpr Duration step {10ms};

    SlowPath(const std::string &listenAddress, const std::string &target)
        : acceptor_(context_, endpointOf(listenAddress)), dialled_(context_), accepted_(context_),
          target_(endpointOf(target))
    {
        forth_ = std::thread([this] {
            acceptor_.accept(accepted_);
            dialled_.connect(target_);
            back_ = std::thread([this] { forward(dialled_, accepted_, step); });
            forward(accepted_, dialled_, Duration(0));
        });
    }
    // The ends must be closed before.
    ~SlowPath()
    {
        forth_.join();
        back_.join();
    }

private:
    static tcp::endpoint endpointOf(const std::string &address)
    {
        const std::size_t colon = address.find(':');
        const int port = std::stoi(address.substr(colon + 1));
        return {boost::asio::ip::make_address(address.substr(0, colon)),
                static_cast<std::uint16_t>(port)};
    }

    static void forward(tcp::socket &from, tcp::socket &to, Duration pause)
    {
        std::array<char, bytesPerStep> chunk;
        boost::system::error_code error;
        while (!error) {
            const std::size_t count = from.read_some(boost::asio::buffer(chunk), error);
            if (!error)
                boost::asio::write(to, boost::asio::buffer(chunk, count), error);
            std::this_thread::sleep_for(pause);
        }
        boost::system::error_code ignored;
        to.shutdown(tcp::socket::shutdown_both, ignored);
    }

    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    tcp::socket dialled_;
    tcp::socket accepted_;
    const tcp::endpoint target_;
    std::thread forth_;
    std::thread back_;
};

} // namespace

// Guards against links that count as silent while a message arrives on them.
TEST_CASE("A message that arrives for longer than the silence timeout doesn't close its link")
{
    PeerLinkOptions options = linkOptions(takeFreeAddress());
    options.silenceTimeout = 600ms;
    auto a = std::make_unique<Process>(options);
    const std::string slow = takeFreeAddress();
    options = linkOptions(takeFreeAddress());
    options.self.address = slow;
    options.silenceTimeout = 600ms;
    auto b = std::make_unique<Process>(options);
    SlowPath path(slow, options.listenAddress);
    a->links->connect(slow);
    REQUIRE(a->events.waitForUps(1));
    REQUIRE(b->events.waitForUps(1));
    // Takes 1.3 s at 400 KB/s.
    ConfigAnswer answer;
    answer.document = std::string(512 << 10, 'x');
    REQUIRE(b->links->sendOn(b->events.ups[0].link, answer).ok());
    REQUIRE(a->events.waitForMessageOrDown());
    CHECK(a->events.messages.size() == 1);
    CHECK(a->events.downs.empty());
    a = nullptr;
    b = nullptr;
}
