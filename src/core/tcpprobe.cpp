#include "core/tcpprobe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <cstdlib>
#include <memory>

namespace kelptally {

namespace {

using Tcp = boost::asio::ip::tcp;

struct Probe
{
    explicit Probe(boost::asio::io_context &context) : socket(context) { }

    Tcp::socket socket;
    TimerId timer = 0;
    std::function<void(ProbeOutcome)> callback;

    void finish(TimerService &timers, ProbeOutcome outcome)
    {
        if (!callback)
            return;
        timers.cancel(timer);
        boost::system::error_code ignored;
        socket.close(ignored);
        const auto call = std::move(callback);
        callback = nullptr;
        call(outcome);
    }
};

} // namespace

void probeTcp(boost::asio::io_context &context, TimerService &timers, const std::string &address,
              Duration timeout, std::function<void(ProbeOutcome)> callback)
{
    const auto probe = std::make_shared<Probe>(context);
    probe->callback = std::move(callback);
    const std::size_t colon = address.rfind(':');
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    if (error || colon == std::string::npos) {
        boost::asio::post(context,
                          [probe, &timers] { probe->finish(timers, ProbeOutcome::Silent); });
        return;
    }
    const int port = std::atoi(address.c_str() + colon + 1);
    probe->timer = timers.subscribeAfter(
        timeout, [probe, &timers] { probe->finish(timers, ProbeOutcome::Silent); });
    probe->socket.async_connect(Tcp::endpoint(ip, static_cast<std::uint16_t>(port)),
                                [probe, &timers](const boost::system::error_code &failed) {
                                    if (!failed)
                                        probe->finish(timers, ProbeOutcome::Accepted);
                                    else if (failed == boost::asio::error::connection_refused)
                                        probe->finish(timers, ProbeOutcome::Refused);
                                    else
                                        probe->finish(timers, ProbeOutcome::Silent);
                                });
}

} // namespace kelptally
