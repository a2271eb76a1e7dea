#pragma once

#include "backend/backendserver.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kelptally::backend {

// A connection whose answers the test supplies.
class FakeConnection : public Connection
{
public:
    void run(std::vector<Statement> batch, BatchCallback callback) override
    {
        batches.push_back(std::move(batch));
        callback_ = std::move(callback);
        if (answersImmediately)
            answer({});
    }
    bool busy() const override { return callback_ != nullptr; }
    bool open() const override { return open_; }
    void close() override
    {
        open_ = false;
        if (callback_)
            loseConnection();
    }
    void closeAsync(std::function<void()> closed) override
    {
        close();
        closed_ = std::move(closed);
        if (answersImmediately)
            completeClose();
    }

    void answer(BatchResult result)
    {
        if (result.state == BatchState::NotSent)
            result.state = BatchState::Done;
        std::exchange(callback_, nullptr)(std::move(result));
    }
    void loseConnection()
    {
        open_ = false;
        BatchResult result;
        result.state = BatchState::Unknown;
        result.connectionLost = true;
        std::exchange(callback_, nullptr)(std::move(result));
    }
    // The server closes its side.
    void completeClose()
    {
        if (closed_)
            std::exchange(closed_, nullptr)();
    }
    bool closing() const { return closed_ != nullptr; }

    bool answersImmediately = false;
    std::vector<std::vector<Statement>> batches;

private:
    bool open_ = true;
    BatchCallback callback_;
    std::function<void()> closed_;
};

// A server whose connects the test completes.
class FakeServer : public BackendServer
{
public:
    void connect(Duration, ConnectCallback callback) override
    {
        pending.push_back(std::move(callback));
    }

    std::shared_ptr<FakeConnection> accept()
    {
        auto connection = std::make_shared<FakeConnection>();
        connections.push_back(connection);
        const ConnectCallback callback = std::move(pending.front());
        pending.pop_front();
        callback(absl::OkStatus(), connection);
        return connection;
    }
    void acceptAll()
    {
        while (!pending.empty())
            accept();
    }
    void refuse(const absl::Status &status)
    {
        const ConnectCallback callback = std::move(pending.front());
        pending.pop_front();
        callback(status, nullptr);
    }
    void completeCloses()
    {
        for (const auto &connection : std::vector<std::shared_ptr<FakeConnection>>(connections))
            connection->completeClose();
    }
    // Connections counted by a server: being opened, open, or not yet closed on its side.
    std::size_t counted() const
    {
        return pending.size()
            + static_cast<std::size_t>(
                   std::count_if(connections.begin(), connections.end(),
                                 [](const auto &each) { return each->open() || each->closing(); }));
    }

    std::deque<ConnectCallback> pending;
    std::vector<std::shared_ptr<FakeConnection>> connections;
};

} // namespace kelptally::backend
