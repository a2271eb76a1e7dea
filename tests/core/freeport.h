#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <mutex>
#include <set>
#include <string>

namespace kelptally {

// Returns the loopback address on which the tests of a process listen. Each process has its own, so
// that a port stays free for it until it listens, whatever ports other processes use.
inline std::string loopbackAddress(pid_t process = ::getpid())
{
    constexpr unsigned firstNetwork = 64;
    const auto id = static_cast<unsigned>(process);
    return "127." + std::to_string(firstNetwork + (id >> 16 & 0x3f)) + "."
        + std::to_string(id >> 8 & 0xff) + "." + std::to_string(id & 0xff);
}

// Returns an unused port of loopbackAddress(), a different one each time: the system may assign a
// port again until its user listens on it. Callable from any thread.
inline int takeFreePort()
{
    using boost::asio::ip::tcp;
    static std::mutex mutex;
    boost::asio::io_context context;
    static std::set<int> usedPorts;
    const std::lock_guard<std::mutex> lock(mutex);
    int port = 0;
    do {
        tcp::acceptor acceptor(context,
                               tcp::endpoint(boost::asio::ip::make_address(loopbackAddress()), 0));
        port = acceptor.local_endpoint().port();
    } while (!usedPorts.insert(port).second);
    return port;
}

// Returns "ip:port" of an unused port.
inline std::string takeFreeAddress()
{
    return loopbackAddress() + ":" + std::to_string(takeFreePort());
}

} // namespace kelptally
