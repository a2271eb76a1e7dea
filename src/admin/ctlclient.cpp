#include "admin/ctlclient.h"

#include "settings/sectionreader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

namespace kelptally::admin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t maxAnswerBytes = 64u << 20;
constexpr std::size_t maxAnswerValues = 4u << 20;

using Request = http::request<http::string_body>;
using Parser = http::response_parser<http::string_body>;

// Sends one request on a new connection and reads the response within a time limit.
template <typename Stream>
class Exchange
{
public:
    Exchange(asio::io_context &context, Stream &stream, const Request &request)
        : context_(context), stream_(stream), request_(request)
    {
        parser_.body_limit(maxAnswerBytes);
    }

    absl::Status run(const asio::ip::tcp::endpoint &endpoint, Duration timeout)
    {
        beast::get_lowest_layer(stream_).expires_after(timeout);
        beast::get_lowest_layer(stream_).async_connect(endpoint, [this](const ErrorCode &error) {
            continueWith(error, [this] { handshake(); });
        });
        context_.run();
        if (!error_)
            return absl::OkStatus();
        if (error_ == beast::error::timeout)
            return absl::DeadlineExceededError("no answer in time");
        return absl::UnavailableError(error_.message());
    }

    int status() const { return parser_.get().result_int(); }
    const std::string &body() const { return parser_.get().body(); }

private:
    template <typename Step>
    void continueWith(const ErrorCode &error, Step step)
    {
        error_ = error;
        if (!error_)
            step();
    }

    void handshake()
    {
        if constexpr (std::is_same_v<Stream, beast::tcp_stream>)
            write();
        else
            stream_.async_handshake(asio::ssl::stream_base::client, [this](const ErrorCode &error) {
                continueWith(error, [this] { write(); });
            });
    }

    void write()
    {
        http::async_write(stream_, request_, [this](const ErrorCode &error, std::size_t) {
            continueWith(error, [this] { read(); });
        });
    }

    void read()
    {
        http::async_read(stream_, buffer_, parser_,
                         [this](const ErrorCode &error, std::size_t) { error_ = error; });
    }

    asio::io_context &context_;
    Stream &stream_;
    const Request &request_;
    beast::flat_buffer buffer_;
    Parser parser_;
    ErrorCode error_;
};

template <typename Stream>
absl::StatusOr<ProxyAnswer> exchange(asio::io_context &context, Stream &stream,
                                     const Request &request,
                                     const asio::ip::tcp::endpoint &endpoint, Duration timeout)
{
    Exchange<Stream> exchange(context, stream, request);
    const absl::Status result = exchange.run(endpoint, timeout);
    if (!result.ok())
        return result;
    absl::StatusOr<JsonValue> body = parseJson(exchange.body(), maxAnswerValues);
    if (!body.ok())
        return absl::UnavailableError("the answer is not JSON; is this an administration port?");
    ProxyAnswer answer;
    answer.status = exchange.status();
    answer.body = std::move(*body);
    return answer;
}

absl::StatusOr<ProxyAnswer> sendRequest(const ProxyOptions &options, const std::string &proxy,
                                        const Request &request)
{
    const std::optional<settings::Endpoint> parsed = settings::parseEndpoint(proxy);
    if (!parsed)
        return absl::InvalidArgumentError("must be an IP and a port, as 127.0.0.1:7002");
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(parsed->address),
                                           static_cast<unsigned short>(parsed->port));
    asio::io_context context;
    if (options.ca.empty()) {
        beast::tcp_stream stream(context);
        return exchange(context, stream, request, endpoint, options.timeout);
    }
    asio::ssl::context tls(asio::ssl::context::tls_client);
    ErrorCode error;
    tls.load_verify_file(options.ca, error);
    if (error)
        return absl::InvalidArgumentError(options.ca + ": " + error.message());
    tls.set_verify_mode(asio::ssl::verify_peer);
    beast::ssl_stream<beast::tcp_stream> stream(context, tls);
    return exchange(context, stream, request, endpoint, options.timeout);
}

} // namespace

ProxyClient::ProxyClient(ProxyOptions options) : options_(std::move(options)) { }

absl::StatusOr<ProxyAnswer> ProxyClient::get(const std::string &target)
{
    return call("GET", target, {});
}

absl::StatusOr<ProxyAnswer> ProxyClient::post(const std::string &target, const std::string &body)
{
    return call("POST", target, body);
}

absl::StatusOr<ProxyAnswer> ProxyClient::call(const std::string &method, const std::string &target,
                                              const std::string &body)
{
    std::string problems;
    for (std::size_t i = 0; i < options_.proxies.size(); ++i) {
        const std::size_t index = (current_ + i) % options_.proxies.size();
        const std::string &proxy = options_.proxies[index];
        Request request(method == "GET" ? http::verb::get : http::verb::post, target, 11);
        request.set(http::field::host, proxy);
        request.set(http::field::authorization, "Bearer " + options_.key);
        request.set(http::field::connection, "close");
        request.body() = body;
        request.prepare_payload();
        absl::StatusOr<ProxyAnswer> answer = sendRequest(options_, proxy, request);
        if (answer.ok()) {
            current_ = index;
            answer->proxy = proxy;
            return answer;
        }
        problems += "\n  " + proxy + ": " + std::string(answer.status().message());
    }
    return absl::UnavailableError("no proxy could be reached:" + problems);
}

} // namespace kelptally::admin
