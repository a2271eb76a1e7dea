#include "storepath.h"

#include "freeport.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace kelptally::platform {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

} // namespace

struct StorePath::Connection
{
    Connection(asio::io_context &context, Tcp::socket accepted)
        : toHost(std::move(accepted)), toStore(context)
    { }

    void close()
    {
        Error ignored;
        toHost.close(ignored);
        toStore.close(ignored);
    }

    void reset()
    {
        Error ignored;
        toHost.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    Tcp::socket toHost;
    Tcp::socket toStore;
    bool isSilent = false;
    std::array<char, 16384> fromHostBytes;
    std::array<char, 16384> fromStoreBytes;
};

StorePath::StorePath(DutyThread &thread, int storePort, std::size_t rate)
    : thread_(thread),
      store_(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(storePort)),
      rate_(rate),
      acceptor_(thread.context(), Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      port_(acceptor_.local_endpoint().port())
{
    accept();
}

StorePath::~StorePath()
{
    acceptor_.close();
    for (const auto &[id, weak] : connections_)
        if (const auto connection = weak.lock())
            connection->close();
}

void StorePath::silence()
{
    asio::post(thread_.context(), [this] { silenceOpen(); });
}

void StorePath::cut()
{
    asio::post(thread_.context(), [this] {
        silenceOpen();
        isCut_ = true;
    });
}

void StorePath::refuse()
{
    asio::post(thread_.context(), [this] {
        isRefused_ = true;
        for (const auto &[id, weak] : connections_)
            if (const auto connection = weak.lock())
                connection->reset();
    });
}

void StorePath::heal()
{
    asio::post(thread_.context(), [this] { isCut_ = isRefused_ = false; });
}

void StorePath::silenceOpen()
{
    for (const auto &[id, weak] : connections_)
        if (const auto connection = weak.lock())
            connection->isSilent = true;
}

void StorePath::accept()
{
    acceptor_.async_accept([this](const Error &error, Tcp::socket socket) {
        if (error)
            return;
        const auto connection = std::make_shared<Connection>(thread_.context(), std::move(socket));
        const std::uint64_t id = ++lastConnection_;
        connections_[id] = connection;
        connection->isSilent = isCut_;
        if (isRefused_) {
            connection->reset();
            return accept();
        }
        Error ignored;
        connection->toHost.set_option(Tcp::no_delay(true), ignored);
        connection->toStore.async_connect(store_, [this, connection](const Error &failed) {
            if (failed)
                return connection->close();
            Error unused;
            connection->toStore.set_option(Tcp::no_delay(true), unused);
            forward(connection, false);
            forward(connection, true);
        });
        for (auto each = connections_.begin(); each != connections_.end();)
            each = each->second.expired() ? connections_.erase(each) : std::next(each);
        accept();
    });
}

// Passes bytes on in one direction, or drops them, until the connection ends.
void StorePath::forward(const ConnectionPtr &connection, bool fromStore)
{
    Tcp::socket &from = fromStore ? connection->toStore : connection->toHost;
    auto &bytes = fromStore ? connection->fromStoreBytes : connection->fromHostBytes;
    from.async_read_some(
        asio::buffer(bytes),
        [this, connection, fromStore, &bytes](const Error &error, std::size_t count) {
            // The other side learns nothing of an end while the connection is silent.
            if (error && connection->isSilent)
                return;
            if (error)
                return connection->close();
            if (connection->isSilent)
                return forward(connection, fromStore);
            Tcp::socket &to = fromStore ? connection->toHost : connection->toStore;
            asio::async_write(
                to, asio::buffer(bytes, count),
                [this, connection, fromStore, count](const Error &failed, std::size_t) {
                    if (failed)
                        return connection->close();
                    if (!fromStore || rate_ == 0)
                        return forward(connection, fromStore);
                    const auto transfer = std::chrono::duration<double>(double(count) / rate_);
                    thread_.timers().subscribeAfter(
                        std::chrono::duration_cast<Duration>(transfer),
                        [this, connection] { forward(connection, true); });
                });
        });
}

} // namespace kelptally::platform
