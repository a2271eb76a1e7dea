#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <mutex>
#include <set>

namespace kelptally::owner {

// Returns an unused local port, a different one each time: the system may assign a port again until
// its user listens on it. Callable from any thread.
inline int takeFreePort()
{
    using boost::asio::ip::tcp;
    static std::mutex mutex;
    static boost::asio::io_context context;
    static std::set<int> usedPorts;
    const std::lock_guard<std::mutex> lock(mutex);
    int port = 0;
    do {
        tcp::acceptor acceptor(context,
                               tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        port = acceptor.local_endpoint().port();
    } while (!usedPorts.insert(port).second);
    return port;
}

} // namespace kelptally::owner
