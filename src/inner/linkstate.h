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

// What websocketlinks.cpp keeps of each link; for that file only, as websocketpp compiles slowly.
namespace kelptally::inner {

// A Hello fits; nothing larger is read from an end that has not proved itself.
constexpr std::size_t maxUnauthenticatedBytes = 4096;
// Links are looked at this often.
constexpr Duration checkInterval = std::chrono::milliseconds(200);
// One thread runs everything, so websocketpp needs no locks of its own; a mask that nobody can
// foresee protects browsers' proxies, which are not among our peers.
struct LinkConfig : public websocketpp::config::asio
{
    using type = LinkConfig;
    using base = websocketpp::config::asio;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
    using alog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
    using rng_type = websocketpp::random::none::int_generator<uint32_t>;
    // Names that websocketpp asks for.
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
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

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

// What senders on other threads see of a link.
struct Channel
{
    explicit Channel(LinkId theId) : id(theId) { }

    const LinkId id;
    std::atomic<bool> isUp {false};
    // Bytes on their way to the links' thread, and bytes that wait there as last looked at.
    std::atomic<std::size_t> queuedBytes {0};
    std::atomic<std::size_t> bufferedBytes {0};
};
using ChannelPtr = std::shared_ptr<Channel>;

// One link, on the links' thread.
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
    // Why this end gave it up; otherwise the other end or the network did.
    absl::Status refused;
};
using LinkPtr = std::shared_ptr<Link>;

// An address that a link is wanted to.
struct Target
{
    // Calls of connect() that no drop() has undone.
    int users = 0;
    LinkPtr link;
    // Dialled beside the link, to take its place.
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
