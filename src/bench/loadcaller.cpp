#include "bench/loadcaller.h"

#include "core/json.h"
#include "settings/sectionreader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace kelptally::bench {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

// Limits each connect, write and read, so that a hung server can't block a connection for ever.
constexpr auto answerTimeout = std::chrono::seconds(20);
constexpr std::uint64_t maxAnswerBytes = 64 << 20;

Executed parseExecuted(const std::string &name)
{
    if (name == "no")
        return Executed::No;
    return name == "yes" ? Executed::Yes : Executed::Unknown;
}

void readRows(const JsonValue &rows, CallerAnswer &answer)
{
    for (const JsonValue &row : rows.items) {
        std::vector<Value> values;
        for (const JsonValue &value : row.items)
            values.push_back(value.type == JsonType::Null ? Value() : Value(value.text));
        answer.rows.push_back(std::move(values));
    }
}

bool isTrue(const JsonValue &document, std::string_view name)
{
    const JsonValue *value = document.find(name);
    return value != nullptr && value->boolean;
}

CallerAnswer parseAnswer(const http::response<http::string_body> &response)
{
    CallerAnswer answer;
    answer.status = response.result_int();
    const auto token = response.find("Kelptally-Session");
    if (token != response.end())
        answer.sessionToken = std::string(token->value());
    const auto document = parseJson(response.body());
    if (!document.ok()) {
        answer.reason = "unreadable_answer";
        return answer;
    }
    answer.executed = answer.good() ? Executed::Yes : parseExecuted(document->textOf("executed"));
    answer.reason = document->textOf("reason");
    answer.retryable = isTrue(*document, "retryable");
    answer.fromReplica = isTrue(*document, "fromReplica");
    answer.replayed = isTrue(*document, "replayed");
    if (const JsonValue *after = document->find("retryAfterMs"))
        answer.retryAfter = std::chrono::milliseconds(after->toInteger());
    if (const JsonValue *rows = document->find("rows"))
        readRows(*rows, answer);
    return answer;
}

} // namespace

std::string statementBody(const std::string &group, const std::string &kind, const std::string &sql,
                          const std::vector<std::string> &parameters,
                          std::optional<Duration> statedAge, std::optional<Duration> deadline)
{
    JsonWriter writer;
    writer.beginObject().member("group", group).member("kind", kind).member("sql", sql);
    writer.key("parameters").beginArray();
    for (const std::string &parameter : parameters)
        writer.string(parameter);
    writer.endArray();
    const auto addMilliseconds = [&writer](std::string_view name, std::optional<Duration> value) {
        if (value)
            writer.member(name, std::int64_t(*value / std::chrono::milliseconds(1)));
    };
    addMilliseconds("statedAgeMs", statedAge);
    addMilliseconds("deadlineMs", deadline);
    writer.endObject();
    return writer.take();
}

class Caller::Connection : public std::enable_shared_from_this<Connection>
{
public:
    // Tries the entries in order, beginning with the one at index `first`.
    Connection(Caller &caller, asio::io_context &context, const std::vector<std::string> &entries,
               std::size_t first, const std::string &callerKey)
        : caller_(&caller), stream_(context), nextEndpoint_(first)
    {
        for (const std::string &entry : entries) {
            const auto endpoint = settings::parseEndpoint(entry).value_or(settings::Endpoint {});
            boost::system::error_code error;
            endpoints_.emplace_back(asio::ip::make_address(endpoint.address, error),
                                    std::uint16_t(endpoint.port));
        }
        request_.method(http::verb::post);
        request_.target("/v1/statement");
        request_.version(11);
        request_.set(http::field::host, entries[first % entries.size()]);
        request_.set(http::field::content_type, "application/json");
        request_.set(http::field::authorization, "Bearer " + callerKey);
    }

    void send(CallerRequest request, CallerCallback callback)
    {
        callback_ = std::move(callback);
        setHeader("Idempotency-Key", request.idempotencyKey);
        setHeader("Kelptally-Session", request.sessionToken);
        request_.body() = std::move(request.body);
        request_.prepare_payload();
        if (connected_)
            write();
        else
            connect(endpoints_.size());
    }

    void close()
    {
        caller_ = nullptr;
        callback_ = nullptr;
        stream_.close();
    }

private:
    void setHeader(const char *name, const std::string &value)
    {
        if (value.empty())
            request_.erase(name);
        else
            request_.set(name, value);
    }

    // Tries the next entry if one can't be reached, as the platform's load balancer does.
    void connect(std::size_t attemptsLeft)
    {
        stream_.expires_after(answerTimeout);
        const tcp::endpoint &endpoint = endpoints_[nextEndpoint_ % endpoints_.size()];
        stream_.async_connect(
            endpoint, [self = shared_from_this(), attemptsLeft](const beast::error_code &error) {
                if (!error)
                    return self->onConnected();
                ++self->nextEndpoint_;
                self->disconnect();
                if (attemptsLeft > 1 && self->caller_ != nullptr)
                    return self->connect(attemptsLeft - 1);
                self->fail("connection_refused", Executed::No);
            });
    }

    void onConnected()
    {
        boost::system::error_code ignored;
        stream_.socket().set_option(tcp::no_delay(true), ignored);
        connected_ = true;
        write();
    }

    void write()
    {
        stream_.expires_after(answerTimeout);
        http::async_write(stream_, request_,
                          [self = shared_from_this()](const beast::error_code &error, std::size_t) {
                              if (error)
                                  return self->fail("connection_lost", Executed::Unknown);
                              self->read();
                          });
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(maxAnswerBytes);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](const beast::error_code &error, std::size_t) {
                             if (error)
                                 return self->fail("connection_lost", Executed::Unknown);
                             if (!self->parser_->get().keep_alive())
                                 self->disconnect();
                             self->finish(parseAnswer(self->parser_->get()));
                         });
    }

    void disconnect()
    {
        stream_.close();
        buffer_.clear();
        connected_ = false;
    }

    void fail(const char *reason, Executed executed)
    {
        disconnect();
        CallerAnswer answer;
        answer.reason = reason;
        answer.executed = executed;
        answer.retryable = true;
        finish(answer);
    }

    void finish(const CallerAnswer &answer)
    {
        if (caller_ == nullptr)
            return;
        const CallerCallback callback = std::move(callback_);
        callback_ = nullptr;
        caller_->onConnectionFree(*this);
        callback(answer);
    }

    Caller *caller_;
    beast::tcp_stream stream_;
    std::vector<tcp::endpoint> endpoints_;
    std::size_t nextEndpoint_;
    bool connected_ = false;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    beast::flat_buffer buffer_;
    CallerCallback callback_;
};

Caller::Caller(asio::io_context &context, const std::vector<std::string> &entries,
               const std::string &callerKey, int connections)
{
    for (int i = 0; i < connections; ++i) {
        connections_.push_back(
            std::make_shared<Connection>(*this, context, entries, std::size_t(i), callerKey));
        freeConnections_.push_back(connections_.back().get());
    }
}

Caller::~Caller()
{
    close();
}

void Caller::close()
{
    queue_.clear();
    for (const auto &connection : connections_)
        connection->close();
}

void Caller::send(CallerRequest request, CallerCallback callback)
{
    if (freeConnections_.empty()) {
        queue_.push_back({std::move(request), std::move(callback)});
        return;
    }
    Connection *connection = freeConnections_.front();
    freeConnections_.pop_front();
    connection->send(std::move(request), std::move(callback));
}

void Caller::onConnectionFree(Connection &connection)
{
    if (queue_.empty()) {
        freeConnections_.push_back(&connection);
        return;
    }
    QueuedRequest next = std::move(queue_.front());
    queue_.pop_front();
    connection.send(std::move(next.request), std::move(next.callback));
}

} // namespace kelptally::bench
