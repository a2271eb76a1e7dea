#pragma once

#include "caller/httpserver.h"
#include "core/dutythread.h"
#include "platform/wire.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

// A fake store and a fake database server for tests of kelptallyd. They run on their own thread and
// implement the parts of the protocol that the tests need.
namespace kelptally::platform {

// A store that keeps its rows and all changes in memory. A feed request is answered once there are
// changes, or after its wait.
class FakeStore : public caller::HttpHandler
{
public:
    explicit FakeStore(DutyThread &thread);

    int port() const { return server_.port(); }
    void put(const std::string &table, const std::string &key, const std::string &value);
    std::string value(const std::string &table, const std::string &key);
    // Discards the history of all tables: changes after an older version are not available.
    void discardHistory();

    void onRequest(caller::HttpRequest request, caller::HttpReplyPtr reply) override;
    void onCallerDisconnected(caller::ConnectionId) override { }

private:
    struct Row
    {
        std::string key;
        std::string value;
        std::uint64_t version = 0;
    };

    void write(const std::string &table, const std::string &key, const std::string &value);
    std::string rowsFrom(const std::string &table, const std::string &from);
    // Returns nothing when there are no changes.
    bool isHistoryAvailable(std::uint64_t after);
    std::optional<std::string> changesAfter(const std::string &table, std::uint64_t after);
    std::string emptyChanges();
    void answerFeed(const caller::HttpRequest &request, const caller::HttpReplyPtr &reply,
                    Instant until);
    void transact(const std::string &body, const caller::HttpReplyPtr &reply);

    DutyThread &thread_;
    caller::HttpServer server_;
    std::mutex mutex_;
    std::map<std::string, std::map<std::string, Row>> tables_;
    // All versions of each row, in order.
    std::map<std::string, std::vector<Row>> changes_;
    std::uint64_t version_ = 0;
    // Version up to which the history was discarded.
    std::uint64_t discardedUpTo_ = 0;
};

// A primary without replicas, which records every line that it receives.
class FakeServer
{
public:
    FakeServer(DutyThread &thread, std::string id);

    int port() const { return acceptor_.local_endpoint().port(); }
    std::vector<std::string> lines();
    // Makes the server close the connection instead of answering the next write.
    void loseNextWrite();
    // The same for the next read.
    void loseNextRead();

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
    bool loseNextRead_ = false;
    std::uint64_t commits_ = 0;
};

} // namespace kelptally::platform
