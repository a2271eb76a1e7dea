#pragma once

#include "core/dutythread.h"
#include "services/httpclient.h"
#include "services/httpservices.h"
#include "standin/platformstandin.h"

#include <catch2/catch.hpp>

#include <boost/asio/post.hpp>

#include <future>
#include <memory>
#include <string>
#include <vector>

namespace kelptally::services {

// The platform stand-in on one thread and its clients on another.
class PlatformFixture
{
public:
    explicit PlatformFixture(Duration timeout = std::chrono::seconds(30))
        : standin_(std::make_unique<standin::PlatformStandin>(serverThread_, 0)),
          address(addressOf(standin_->port())), control_(thread, address, std::chrono::seconds(30)),
          tables(makeTableService(thread, address, timeout)),
          objects(makeObjectStore(thread, address, timeout)),
          hosts(makeHostList(thread, address, timeout))
    {
        serverThread_.start();
        thread.start();
    }

    ~PlatformFixture()
    {
        thread.stop();
        serverThread_.stop();
    }

    static std::string addressOf(int port) { return "127.0.0.1:" + std::to_string(port); }

    // Runs a call on the clients' thread and waits for its result.
    template <typename Result, typename Call>
    Result wait(Call call)
    {
        std::promise<Result> promise;
        boost::asio::post(thread.context(), [&] {
            call([&](Result result) { promise.set_value(std::move(result)); });
        });
        return promise.get_future().get();
    }

    absl::StatusOr<std::optional<TableRow>> read(const std::string &table, const std::string &key)
    {
        return wait<absl::StatusOr<std::optional<TableRow>>>(
            [&](RowCallback done) { tables->read(table, key, std::move(done)); });
    }

    absl::StatusOr<std::vector<std::string>> write(const std::vector<ConditionalWrite> &writes)
    {
        return wait<absl::StatusOr<std::vector<std::string>>>(
            [&](WriteCallback done) { tables->write(writes, std::move(done)); });
    }

    absl::StatusOr<std::optional<TableRow>> getObject(const std::string &key)
    {
        return wait<absl::StatusOr<std::optional<TableRow>>>(
            [&](RowCallback done) { objects->get(key, std::move(done)); });
    }

    absl::StatusOr<std::vector<std::string>> putObject(const ConditionalWrite &object)
    {
        return wait<absl::StatusOr<std::vector<std::string>>>(
            [&](WriteCallback done) { objects->put(object, std::move(done)); });
    }

    absl::StatusOr<std::vector<ListedHost>> listHosts()
    {
        return wait<absl::StatusOr<std::vector<ListedHost>>>(
            [&](HostsCallback done) { hosts->fetch(std::move(done)); });
    }

    HttpResponse request(HttpMethod method, const std::string &target, const std::string &body = {})
    {
        const auto response = wait<absl::StatusOr<HttpResponse>>([&](HttpCallback done) {
            HttpRequest request;
            request.method = method;
            request.target = target;
            request.body = body;
            control_.send(std::move(request), std::move(done));
        });
        REQUIRE(response.ok());
        return *response;
    }

    void setFaults(const std::string &json)
    {
        REQUIRE(request(HttpMethod::Post, "/faults", json).status == 200);
    }

private:
    DutyThread serverThread_ {"platform"};
    std::unique_ptr<standin::PlatformStandin> standin_;

public:
    DutyThread thread {"clients"};
    const std::string address;

private:
    HttpClient control_;

public:
    std::unique_ptr<TableService> tables;
    std::unique_ptr<ObjectStore> objects;
    std::unique_ptr<HostList> hosts;
};

} // namespace kelptally::services
