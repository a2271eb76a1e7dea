#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <set>

namespace kelptally::owner {

// A port that nothing listened on a moment ago; another one each time. A port that was drawn is
// free until its user listens there, so the system may well draw it again.
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
