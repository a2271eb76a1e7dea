#pragma once

#include "core/dutythread.h"
#include "decision/linkwatch.h"
#include "inner/handshake.h"
#include "inner/websocketlinks.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include <atomic>
#include <memory>
#include <string>

// State of the links; included by websocketlinks.cpp only, as websocketpp compiles slowly.
namespace kelptally::inner {

// Maximum message size before authentication; enough for a Hello.
constexpr std::size_t maxUnauthenticatedBytes = 4096;
// Interval of the checks for silent links and late handshakes.
constexpr Duration checkInterval = std::chrono::milliseconds(200);

// Connection that counts the bytes it receives. websocketpp reports whole frames only. Its
// functions are called by websocketpp, which looks them up by name.
template <typename Config>
class CountingConnection : public websocketpp::transport::asio::connection<Config>
{
public:
    using Base = websocketpp::transport::asio::connection<Config>;
    using Base::Base;
    using Error = websocketpp::lib::error_code;

    std::size_t receivedBytes() const { return receivedBytes_; }

protected:
    // NOLINTNEXTLINE(readability-identifier-naming)
    void async_read_at_least(std::size_t minBytes, char *buffer, std::size_t size,
                             websocketpp::transport::read_handler handler)
    {
        Base::async_read_at_least(
            minBytes, buffer, size,
            [this, handler = std::move(handler)](const Error &error, std::size_t bytes) {
                receivedBytes_ += bytes;
                handler(error, bytes);
            });
    }

private:
    std::size_t receivedBytes_ = 0;
};

template <typename Config>
class CountingEndpoint : public websocketpp::transport::asio::endpoint<Config>
{
public:
    // Names required by websocketpp.
    // NOLINTBEGIN(readability-identifier-naming)
    using transport_con_type = CountingConnection<Config>;
    using transport_con_ptr = typename transport_con_type::ptr;
    // NOLINTEND(readability-identifier-naming)
};

// websocketpp runs on one thread and needs no locks. Frame masks need not be unpredictable, which
// only protects HTTP proxies from browsers.
struct LinkConfig : public websocketpp::config::asio
{
    using type = LinkConfig;
    using base = websocketpp::config::asio;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
    using alog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
    using rng_type = websocketpp::random::none::int_generator<uint32_t>;
    // Names required by websocketpp.
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr bool enable_multithreading = false;

    struct transport_config : public base::transport_config
    {
        using concurrency_type = type::concurrency_type;
        using elog_type = type::elog_type;
        using alog_type = type::alog_type;
        static constexpr bool enable_multithreading = false;
        static constexpr long timeout_connect = 1500;
        static constexpr long timeout_dns_resolve = 1500;
    };
    using transport_type = CountingEndpoint<transport_config>;

    static constexpr websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static constexpr websocketpp::log::level alog_level = websocketpp::log::alevel::none;
    static constexpr long timeout_open_handshake = 1500;
    static constexpr long timeout_close_handshake = 1000;
    static constexpr long timeout_pong = 0;
    static constexpr std::size_t connection_read_buffer_size = 8192;
    static constexpr std::size_t max_message_size = maxUnauthenticatedBytes;
    static constexpr std::size_t max_http_body_size = 1024;
    // NOLINTEND(readability-identifier-naming)
};

using Server = websocketpp::server<LinkConfig>;
using Client = websocketpp::client<LinkConfig>;
using Connection = Server::connection_ptr;
using Handle = websocketpp::connection_hdl;
static_assert(std::is_same_v<Connection, Client::connection_ptr>);

// Part of a link that is shared with senders on other threads.
struct Channel
{
    explicit Channel(LinkId linkId) : id(linkId) { }

    const LinkId id;
    std::atomic<bool> isUp {false};
    // Bytes queued for the links' thread, and bytes in the connection's send buffer at the last
    // check.
    std::atomic<std::size_t> queuedBytes {0};
    std::atomic<std::size_t> bufferedBytes {0};
};
using ChannelPtr = std::shared_ptr<Channel>;

// A link; used on the links' thread only.
struct Link
{
    Link(LinkId id, LinkRole role, const PeerLinkOptions &options, const Hello &self,
         const std::string &dialled)
        : channel(std::make_shared<Channel>(id)), role(role), dialled(dialled),
          exchange(role, options.peerKey, self, dialled),
          watch(checkInterval, options.silenceTimeout)
    { }

    const ChannelPtr channel;
    const LinkRole role;
    const std::string dialled;
    HelloExchange exchange;
    Connection connection;
    Instant handshakeDeadline;
    bool isAuthenticated = false;
    std::string peerAddress;
    decision::LinkWatch watch;
    // Bytes received by the last check.
    std::size_t receivedBytes = 0;
    // Why this end closed the link; OK if the other end or the network did.
    absl::Status closeReason;
};
using LinkPtr = std::shared_ptr<Link>;

// An address to which a link is kept open.
struct Target
{
    // Calls of connect() less calls of drop().
    int users = 0;
    LinkPtr link;
    // Second link that replaces the first once it is open.
    LinkPtr renewal;
    TimerId retry = 0;
    Duration retryDelay {0};
    std::string lastCause;
};

struct Outgoing
{
    ChannelPtr channel;
    std::string bytes;
};

} // namespace kelptally::inner
