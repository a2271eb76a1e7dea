#pragma once

#include "core/dutythread.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>

namespace kelptally::platform {

// A network path from one host to the store, as a forwarder on a duty thread that must outlive it.
// All functions but the constructor and the destructor are callable from any thread.
class StorePath
{
public:
    // The rate, in bytes per second, applies to what comes from the store; 0 for no limit.
    StorePath(DutyThread &thread, int storePort, std::size_t rate);
    ~StorePath();

    int port() const { return port_; }
    // Open connections lose all further bytes without a reset, while new ones work.
    void silence();
    // Open connections lose all further bytes, and new ones are opened but carry nothing, until
    // heal(). Connections from the time of the cut stay silent.
    void cut();
    // Resets open connections and each new one until heal().
    void refuse();
    void heal();

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept();
    void forward(const ConnectionPtr &connection, bool fromStore);
    void silenceOpen();

    DutyThread &thread_;
    const boost::asio::ip::tcp::endpoint store_;
    const std::size_t rate_;
    boost::asio::ip::tcp::acceptor acceptor_;
    const int port_;
    bool isCut_ = false;
    bool isRefused_ = false;
    std::map<std::uint64_t, std::weak_ptr<Connection>> connections_;
    std::uint64_t lastConnection_ = 0;
};

} // namespace kelptally::platform
