#pragma once

#include "caller/httpserver.h"
#include "core/dutythread.h"
#include "platform/wire.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <mutex>
#include <string>
#include <vector>

// The platform that a real kelptallyd meets in its test: the store's rows and one wire server, on a
// thread of their own. Both speak the published protocol and no more of it than the test needs.
namespace kelptally::platform {

// The store. Rows are kept in memory; a feed answers at once when there is news, else after a
// while.
class FakeStore : public caller::HttpHandler
{
public:
    explicit FakeStore(DutyThread &thread);

    int port() const { return server_.port(); }
    void put(const std::string &table, const std::string &key, const std::string &value);
    std::string value(const std::string &table, const std::string &key);

    void onRequest(caller::HttpRequest request, caller::HttpReplyPtr reply) override;
    void onCallerGone(caller::ConnectionId) override { }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    std::string rowsAfter(const std::string &table, std::uint64_t after, const std::string &from);
    void transact(const std::string &body, const caller::HttpReplyPtr &reply);

    DutyThread &thread_;
    caller::HttpServer server_;
    std::mutex mutex_;
    std::map<std::string, std::map<std::string, Row>> tables_;
    std::uint64_t version_ = 0;
};

// A primary without replicas. Keeps every line that it was sent.
class FakeServer
{
public:
    FakeServer(DutyThread &thread, std::string id);

    int port() const { return acceptor_.local_endpoint().port(); }
    std::vector<std::string> lines();
    // Drops the connection instead of answering the next write.
    void loseNextWrite();

private:
    struct Connection;

    bool isStart(const std::string &line) const;
    void accept();
    void read(const std::shared_ptr<Connection> &connection);
    std::string answer(Connection &connection, const std::string &line);

    const std::string id_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::mutex mutex_;
    std::vector<std::string> lines_;
    bool loseNextWrite_ = false;
    std::uint64_t commits_ = 0;
};

} // namespace kelptally::platform
