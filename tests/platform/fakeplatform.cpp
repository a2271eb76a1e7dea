#include "fakeplatform.h"

#include "core/json.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_split.h>
#include <boost/asio/write.hpp>

namespace kelptally::platform {

namespace {

using Tcp = boost::asio::ip::tcp;
constexpr Duration feedPollPeriod = std::chrono::milliseconds(20);
// An answer holds changes up to this size, and at least one version.
constexpr std::size_t maxChangesBytes = 1u << 20;

std::string parameter(const std::string &query, const std::string &name)
{
    const std::size_t at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos)
        return std::string();
    const std::size_t begin = at + name.size() + 1;
    return query.substr(begin, query.find('&', begin) - begin);
}

void addRow(JsonWriter &json, const std::string &table, const std::string &key,
            const std::string &value, std::uint64_t version)
{
    json.beginObject().member("table", table).member("part", "").member("key", key);
    json.member("value", absl::Base64Escape(value)).member("ver", version).endObject();
}

// Ends the rows and adds the store's version and clock.
std::string finish(JsonWriter &json, std::uint64_t version)
{
    const auto now = BootClock::now().time_since_epoch() / std::chrono::milliseconds(1);
    json.endArray().member("truncated", false).member("ver", version);
    json.member("nowMs", std::int64_t(now)).endObject();
    return json.take();
}

} // namespace

FakeStore::FakeStore(DutyThread &thread)
    : thread_(thread), server_(thread, *this, {}, [](Reason) {})
{
    if (!server_.listen("127.0.0.1", 0).ok())
        throw std::runtime_error("the fake store can't listen");
}

void FakeStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    write(table, key, value);
}

void FakeStore::write(const std::string &table, const std::string &key, const std::string &value)
{
    tables_[table][key] = {key, value, version_};
    changes_[table].push_back({key, value, version_});
}

void FakeStore::discardHistory()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    changes_.clear();
    discardedUpTo_ = version_;
}

bool FakeStore::isHistoryAvailable(std::uint64_t after)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return after >= discardedUpTo_;
}

std::string FakeStore::value(const std::string &table, const std::string &key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return tables_[table][key].value;
}

std::string FakeStore::rowsFrom(const std::string &table, const std::string &from)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    JsonWriter json;
    json.beginObject().key("rows").beginArray();
    for (const auto &[key, row] : tables_[table])
        if (key >= from && row.version != 0)
            addRow(json, table, key, row.value, row.version);
    return finish(json, version_);
}

std::optional<std::string> FakeStore::changesAfter(const std::string &table, std::uint64_t after)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    JsonWriter json;
    json.beginObject().key("rows").beginArray();
    std::size_t bytes = 0;
    std::uint64_t last = 0;
    for (const Row &row : changes_[table]) {
        if (row.version <= after)
            continue;
        if (bytes >= maxChangesBytes && row.version != last)
            return finish(json, last);
        addRow(json, table, row.key, row.value, row.version);
        bytes += row.value.size();
        last = row.version;
    }
    if (last == 0)
        return std::nullopt;
    return finish(json, version_);
}

std::string FakeStore::emptyChanges()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    JsonWriter json;
    json.beginObject().key("rows").beginArray();
    return finish(json, version_);
}

void FakeStore::onRequest(caller::HttpRequest request, caller::HttpReplyPtr reply)
{
    if (request.path == "/kelptally/rows-get")
        return reply->send(caller::jsonResponse(
            rowsFrom(parameter(request.query, "table"), parameter(request.query, "from"))));
    if (request.path == "/kelptally/rows-tx")
        return transact(request.body, reply);
    if (request.path != "/kelptally/rows-feed") {
        caller::HttpResponse missing;
        missing.status = 404;
        return reply->send(std::move(missing));
    }
    const std::chrono::milliseconds wait(std::atoi(parameter(request.query, "waitMs").c_str()));
    answerFeed(request, reply, thread_.timers().now() + wait);
}

void FakeStore::answerFeed(const caller::HttpRequest &request, const caller::HttpReplyPtr &reply,
                           Instant until)
{
    const auto after = std::strtoull(parameter(request.query, "after").c_str(), nullptr, 10);
    if (!isHistoryAvailable(after)) {
        caller::HttpResponse gone;
        gone.status = 410;
        return reply->send(std::move(gone));
    }
    if (auto changes = changesAfter(parameter(request.query, "table"), after))
        return reply->send(caller::jsonResponse(*std::move(changes)));
    if (thread_.timers().now() >= until)
        return reply->send(caller::jsonResponse(emptyChanges()));
    thread_.timers().subscribeAfter(
        feedPollPeriod, [this, request, reply, until] { answerFeed(request, reply, until); });
}

void FakeStore::transact(const std::string &body, const caller::HttpReplyPtr &reply)
{
    const auto json = parseJson(body);
    caller::HttpResponse response;
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const JsonValue &expected : json->find("expectedRev")->items) {
        const Row &row = tables_[expected.textOf("table")][expected.textOf("key")];
        if (row.version != static_cast<std::uint64_t>(expected.find("ver")->toInteger()))
            response.status = 412;
    }
    if (response.status == 200) {
        ++version_;
        for (const JsonValue &put : json->find("puts")->items) {
            std::string value;
            absl::Base64Unescape(put.textOf("value"), &value);
            write(put.textOf("table"), put.textOf("key"), value);
        }
    }
    response.body = "{\"ver\":" + std::to_string(version_) + ",\"nowMs\":1000}";
    reply->send(std::move(response));
}

struct FakeServer::Connection
{
    explicit Connection(Tcp::socket theSocket) : socket(std::move(theSocket)) { }

    Tcp::socket socket;
    LineBuffer buffer;
    std::array<char, 4096> bytes;
    char state = 'I';
};

FakeServer::FakeServer(DutyThread &thread, std::string id)
    : id_(std::move(id)),
      acceptor_(thread.context(), Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
{
    accept();
}

std::vector<std::string> FakeServer::lines()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return lines_;
}

void FakeServer::loseNextWrite()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    loseNextWrite_ = true;
}

void FakeServer::loseNextRead()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    loseNextRead_ = true;
}

void FakeServer::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, Tcp::socket socket) {
        if (error)
            return;
        read(std::make_shared<Connection>(std::move(socket)));
        accept();
    });
}

void FakeServer::read(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_read_some(
        boost::asio::buffer(connection->bytes),
        [this, connection](const boost::system::error_code &error, std::size_t count) {
            if (error)
                return;
            connection->buffer.append(connection->bytes.data(), count);
            std::string out;
            while (const auto line = connection->buffer.next()) {
                const std::string text = answer(*connection, std::string(*line));
                if (text.empty())
                    return connection->socket.close();
                out += text;
            }
            connection->buffer.compact();
            boost::system::error_code ignored;
            boost::asio::write(connection->socket, boost::asio::buffer(out), ignored);
            read(connection);
        });
}

// Checks the words: START, the group, an organisation and the id of this server.
bool FakeServer::isStart(const std::string &line) const
{
    const std::vector<std::string> words = absl::StrSplit(line, ' ');
    return words.size() == 4 && words[1] == "cases" && !words[2].empty() && words[3] == id_;
}

// Returns the answer; if it is empty, the connection is closed instead.
std::string FakeServer::answer(Connection &connection, const std::string &line)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    lines_.push_back(line);
    const auto ready = [&] {
        return std::string("READY ") + connection.state + " 1." + std::to_string(commits_) + "\r\n";
    };
    if (line.rfind("START ", 0) == 0)
        return isStart(line) ? ready() : "ERROR WRONGNODE " + id_ + "\r\n";
    const std::string id = line.substr(6, line.find(' ', 6) - 6);
    std::string text = line.substr(7 + id.size());
    if (text.rfind("AFTER ", 0) == 0)
        text = text.substr(text.find(' ', 6) + 1);
    const bool write = text.rfind("WRITE", 0) == 0 || text.find(" data") != std::string::npos;
    if (text == "STATUS")
        return "DATAROW primary 1 1." + std::to_string(commits_) + " 0 0 0 1\r\nCOMPLETE -\r\n"
            + ready();
    if (text.rfind("BEGIN", 0) == 0)
        connection.state = 'T';
    const bool read = text.find("READ ") != std::string::npos;
    if (read && loseNextRead_) {
        loseNextRead_ = false;
        return std::string();
    }
    if (write && loseNextWrite_) {
        loseNextWrite_ = false;
        return std::string();
    }
    if (text == "COMMIT" || (write && connection.state == 'I'))
        ++commits_;
    if (text == "COMMIT" || text == "ROLLBACK")
        connection.state = 'I';
    const bool reads = text.rfind("READ", 0) == 0;
    // Only statements of callers are signed.
    const std::string signature = id == "-" ? "-" : "sig-" + id;
    return std::string(reads ? "DATAROW row-of-" + text.substr(5) + "\r\n" : "") + "COMPLETE "
        + signature + "\r\n" + ready();
}

} // namespace kelptally::platform
