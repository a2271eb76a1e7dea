#include "bench/loadcontrol.h"

#include "core/json.h"
#include "settings/sectionreader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace kelptally::bench {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

std::int64_t integerOf(const JsonValue &object, std::string_view name)
{
    const JsonValue *value = object.find(name);
    return value ? value->toInteger() : 0;
}

bool isTrue(const JsonValue &object, std::string_view name)
{
    const JsonValue *value = object.find(name);
    return value != nullptr && value->boolean;
}

StandinServer toServer(const JsonValue &object)
{
    StandinServer server;
    server.name = object.textOf("name");
    server.port = int(integerOf(object, "port"));
    server.running = isTrue(object, "running");
    server.paused = isTrue(object, "paused");
    server.term = Term(integerOf(object, "term"));
    server.isPrimary = object.textOf("role") == "primary";
    server.received = LogOffset(integerOf(object, "received"));
    server.applied = LogOffset(integerOf(object, "applied"));
    server.connections = int(integerOf(object, "connections"));
    server.peakConnections = int(integerOf(object, "peak-connections"));
    return server;
}

} // namespace

StandinControl::StandinControl(std::string address) : address_(std::move(address)) { }

absl::StatusOr<std::string> StandinControl::exchange(const std::string &method,
                                                     const std::string &target,
                                                     const std::string &body)
{
    const auto endpoint = settings::parseEndpoint(address_);
    if (!endpoint)
        return absl::InvalidArgumentError("not an address and port: " + address_);
    try {
        boost::asio::io_context context;
        tcp::socket socket(context);
        socket.connect(tcp::endpoint(boost::asio::ip::make_address(endpoint->address),
                                     std::uint16_t(endpoint->port)));
        http::request<http::string_body> request(http::string_to_verb(method), target, 11);
        request.set(http::field::host, address_);
        request.set(http::field::connection, "close");
        request.body() = body;
        request.prepare_payload();
        http::write(socket, request);
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
        if (response.result() != http::status::ok)
            return absl::InvalidArgumentError("the stand-in rejected the request: "
                                              + response.body());
        return response.body();
    } catch (const boost::system::system_error &error) {
        return absl::UnavailableError("stand-in at " + address_ + ": " + error.what());
    }
}

absl::Status StandinControl::fault(const std::string &body)
{
    return exchange("POST", "/faults", body).status();
}

absl::StatusOr<std::vector<StandinServer>> StandinControl::group(const GroupName &name)
{
    const auto text = exchange("GET", "/state", "");
    if (!text.ok())
        return text.status();
    const auto document = parseJson(*text);
    if (!document.ok())
        return document.status();
    const JsonValue *groups = document->find("groups");
    std::vector<StandinServer> servers;
    for (const JsonValue &group : groups ? groups->items : std::vector<JsonValue> {}) {
        const JsonValue *list = group.textOf("name") == name ? group.find("servers") : nullptr;
        for (const JsonValue &server : list ? list->items : std::vector<JsonValue> {})
            servers.push_back(toServer(server));
    }
    if (servers.empty())
        return absl::NotFoundError("the stand-in has no group " + name);
    return servers;
}

} // namespace kelptally::bench
