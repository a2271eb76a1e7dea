#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <set>

namespace kelptally::owner {

// Returns an unused local port, a different one each time: the system may assign a port again until
// its user listens on it.
inline int takeFreePort()
{
    using boost::asio::ip::tcp;
    static boost::asio::io_context context;
    static std::set<int> usedPorts;
    int port = 0;
    do {
        tcp::acceptor acceptor(context,
                               tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        port = acceptor.local_endpoint().port();
    } while (!usedPorts.insert(port).second);
    return port;
}

} // namespace kelptally::owner
