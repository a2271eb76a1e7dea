#pragma once

#include "backend/backendserver.h"
#include "core/dutythread.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <utility>

namespace kelptally::backend {

// Runs connections on a duty thread and blocks the test's thread until their callbacks.
class BlockingClient
{
public:
    using Connected = std::pair<absl::Status, std::shared_ptr<Connection>>;

    BlockingClient() { thread_.start(); }
    ~BlockingClient() { thread_.stop(); }

    DutyThread &thread() { return thread_; }

    // Runs a function on the duty thread and returns its result.
    template <typename Function>
    auto call(Function function)
    {
        using Result = decltype(function());
        auto task = std::make_shared<std::packaged_task<Result()>>(std::move(function));
        auto future = task->get_future();
        boost::asio::post(thread_.context(), [task] { (*task)(); });
        return wait(future);
    }

    Connected connect(BackendServer &server, Duration timeout = std::chrono::seconds(30))
    {
        auto promise = std::make_shared<std::promise<Connected>>();
        auto future = promise->get_future();
        call([&] {
            server.connect(timeout, [promise](absl::Status status, auto connection) {
                promise->set_value({std::move(status), std::move(connection)});
            });
        });
        return wait(future);
    }

    // A second callback throws on the duty thread, which ends the test program.
    std::future<BatchResult> start(Connection &connection, std::vector<Statement> batch)
    {
        auto promise = std::make_shared<std::promise<BatchResult>>();
        auto future = promise->get_future();
        call([&] {
            connection.run(std::move(batch), [promise](BatchResult result) {
                promise->set_value(std::move(result));
            });
        });
        return future;
    }

    BatchResult run(Connection &connection, std::vector<Statement> batch)
    {
        auto future = start(connection, std::move(batch));
        return wait(future);
    }

    template <typename Result>
    static Result wait(std::future<Result> &future)
    {
        REQUIRE(future.wait_for(std::chrono::seconds(30)) == std::future_status::ready);
        return future.get();
    }

private:
    DutyThread thread_ {"backend"};
};

} // namespace kelptally::backend
