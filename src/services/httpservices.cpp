#include "services/httpservices.h"

#include "services/httpclient.h"
#include "services/jsonobject.h"

namespace kelptally::services {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;
constexpr int statusServerError = 500;

// Bounds of the parts of an answer. The client bounds its total size.
constexpr std::size_t maxResponseBytes = 16u << 20;
constexpr std::size_t maxKeyBytes = 1024;
constexpr std::size_t maxListed = 100'000;

std::string statusText(const HttpResponse &response)
{
    return "the service answered " + std::to_string(response.status);
}

// Converts the answer to a read: OK, NotFound or the error.
absl::Status readStatus(const absl::StatusOr<HttpResponse> &response)
{
    if (!response.ok())
        return response.status();
    if (response->status == statusOk)
        return absl::OkStatus();
    if (response->status == statusNotFound)
        return absl::NotFoundError(statusText(*response));
    if (response->status >= statusServerError)
        return absl::UnavailableError(statusText(*response));
    return absl::InvalidArgumentError(statusText(*response));
}

// Wraps the callback of a read: passes errors on and parses other answers.
template <typename T, typename Parse>
HttpCallback onRead(std::function<void(absl::StatusOr<T>)> callback, Parse parse)
{
    return [callback = std::move(callback), parse](absl::StatusOr<HttpResponse> response) {
        const absl::Status status = readStatus(response);
        if (status.ok())
            callback(parse(*std::move(response)));
        else
            callback(status);
    };
}

// As onRead(), for one row: a missing row is not an error.
template <typename Parse>
HttpCallback onRowRead(RowCallback callback, Parse parse)
{
    return onRead<std::optional<TableRow>>(
        [callback = std::move(callback)](absl::StatusOr<std::optional<TableRow>> row) {
            if (absl::IsNotFound(row.status()))
                callback(std::optional<TableRow>());
            else
                callback(std::move(row));
        },
        parse);
}

// Converts the answer to a write. A server error may come after the effect, so that the outcome is
// unknown.
absl::Status writeStatus(const absl::StatusOr<HttpResponse> &response)
{
    if (!response.ok())
        return response.status();
    if (response->status >= statusOk && response->status < statusOk + 100)
        return absl::OkStatus();
    if (response->status == statusPreconditionFailed)
        return absl::FailedPreconditionError(statusText(*response));
    if (response->status >= statusBadRequest && response->status < statusServerError)
        return absl::InvalidArgumentError(statusText(*response));
    return absl::UnknownError(statusText(*response));
}

absl::Status malformedAnswer()
{
    return absl::InternalError("malformed answer from the service");
}

Json parsed(const HttpResponse &response)
{
    return parseJson(response.body, maxResponseBytes);
}

absl::StatusOr<std::optional<TableRow>> parseRow(const HttpResponse &response)
{
    const Json json = parsed(response);
    JsonObject object(json);
    const TableRow row {object.text("key", maxKeyBytes), object.text("value", maxResponseBytes),
                        response.etag};
    if (!object.valid() || row.etag.empty())
        return malformedAnswer();
    return row;
}

absl::StatusOr<std::optional<TableRow>> parseObject(const std::string &key, HttpResponse response)
{
    if (response.etag.empty())
        return malformedAnswer();
    return TableRow {key, std::move(response.body), response.etag};
}

absl::StatusOr<std::vector<TableRow>> parseRows(const HttpResponse &response)
{
    const Json json = parsed(response);
    JsonObject object(json);
    std::vector<TableRow> rows;
    for (const Json &item : object.array("rows", maxListed)) {
        JsonObject row(item);
        rows.push_back({row.text("key", maxKeyBytes), row.text("value", maxResponseBytes),
                        row.text("etag", maxKeyBytes)});
        if (!row.valid())
            return malformedAnswer();
    }
    if (!object.valid())
        return malformedAnswer();
    return rows;
}

// As onRead(), for a write.
template <typename Parse>
HttpCallback onWritten(WriteCallback callback, Parse parse)
{
    return [callback = std::move(callback), parse](absl::StatusOr<HttpResponse> response) {
        const absl::Status status = writeStatus(response);
        if (status.ok())
            callback(parse(*response));
        else
            callback(status);
    };
}

// Parses the new tags of a transaction. A malformed answer leaves the outcome unknown.
absl::StatusOr<std::vector<std::string>> parseTags(const HttpResponse &response, std::size_t count)
{
    const Json json = parsed(response);
    JsonObject object(json);
    std::vector<std::string> tags;
    for (const Json &item : object.array("etags", count))
        if (item.is_string())
            tags.push_back(item.get<std::string>());
    if (!object.valid() || tags.size() != count)
        return absl::UnknownError("malformed answer from the service");
    return tags;
}

absl::StatusOr<std::vector<std::string>> parseTag(const HttpResponse &response)
{
    if (response.etag.empty())
        return absl::UnknownError("the service's answer has no entity tag");
    return std::vector<std::string> {response.etag};
}

absl::StatusOr<std::vector<ListedHost>> parseHosts(const HttpResponse &response)
{
    const Json json = parsed(response);
    JsonObject object(json);
    std::vector<ListedHost> hosts;
    for (const Json &item : object.array("hosts", maxListed)) {
        JsonObject host(item);
        const std::string state = host.text("state", maxKeyBytes);
        hosts.push_back({host.text("name", maxKeyBytes), host.text("address", maxKeyBytes),
                         host.text("zone", maxKeyBytes),
                         state == "live" ? HostState::Live : HostState::Leaving});
        if (!host.valid() || (state != "live" && state != "leaving"))
            return malformedAnswer();
    }
    if (!object.valid())
        return malformedAnswer();
    return hosts;
}

// InvalidArgument for text that is not UTF-8.
absl::StatusOr<std::string> serialized(const Json &json)
{
    try {
        return json.dump();
    } catch (const Json::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

Json toJson(const ConditionalWrite &write)
{
    Json json = {{"table", write.table}, {"key", write.key}, {"value", write.value}};
    if (write.expectedEtag)
        json["expectedEtag"] = *write.expectedEtag;
    else
        json["ifAbsent"] = true;
    return json;
}

class HttpTableService : public TableService
{
public:
    HttpTableService(DutyThread &thread, const std::string &address, Duration timeout)
        : context_(thread.context()), client_(thread, address, timeout)
    { }

    void read(const std::string &table, const std::string &key, RowCallback callback) override
    {
        HttpRequest request;
        request.target = rowsPath(table) + "/" + percentEncoded(key);
        client_.send(std::move(request), onRowRead(std::move(callback), parseRow));
    }

    void list(const std::string &table, const std::string &prefix, RowsCallback callback) override
    {
        HttpRequest request;
        request.target = rowsPath(table) + "?prefix=" + percentEncoded(prefix);
        client_.send(std::move(request),
                     onRead<std::vector<TableRow>>(std::move(callback), parseRows));
    }

    void write(std::vector<ConditionalWrite> writes, WriteCallback callback) override
    {
        Json json = {{"writes", Json::array()}};
        for (const ConditionalWrite &write : writes)
            json["writes"].push_back(toJson(write));
        HttpRequest request;
        request.method = HttpMethod::Post;
        request.target = "/tables/transaction";
        auto body = serialized(json);
        if (!body.ok()) {
            boost::asio::post(context_, [callback = std::move(callback), status = body.status()] {
                callback(status);
            });
            return;
        }
        request.body = *std::move(body);
        client_.send(
            std::move(request),
            onWritten(std::move(callback), [count = writes.size()](const HttpResponse &response) {
                return parseTags(response, count);
            }));
    }

private:
    static std::string rowsPath(const std::string &table)
    {
        return "/tables/" + percentEncoded(table) + "/rows";
    }

    boost::asio::io_context &context_;
    HttpClient client_;
};

class HttpObjectStore : public ObjectStore
{
public:
    HttpObjectStore(DutyThread &thread, const std::string &address, Duration timeout)
        : client_(thread, address, timeout)
    { }

    void get(const std::string &key, RowCallback callback) override
    {
        HttpRequest request;
        request.target = path(key);
        client_.send(std::move(request),
                     onRowRead(std::move(callback), [key](HttpResponse response) {
                         return parseObject(key, std::move(response));
                     }));
    }

    void put(ConditionalWrite object, WriteCallback callback) override
    {
        HttpRequest request;
        request.method = HttpMethod::Put;
        request.target = path(object.key);
        request.body = std::move(object.value);
        request.condition = object.expectedEtag ? HttpCondition::Matches : HttpCondition::Absent;
        request.etag = object.expectedEtag.value_or("");
        client_.send(std::move(request), onWritten(std::move(callback), parseTag));
    }

private:
    static std::string path(const std::string &key) { return "/objects/" + percentEncoded(key); }

    HttpClient client_;
};

class HttpHostList : public HostList
{
public:
    HttpHostList(DutyThread &thread, const std::string &address, Duration timeout)
        : client_(thread, address, timeout)
    { }

    void fetch(HostsCallback callback) override
    {
        HttpRequest request;
        request.target = "/hosts";
        client_.send(std::move(request),
                     onRead<std::vector<ListedHost>>(std::move(callback), parseHosts));
    }

private:
    HttpClient client_;
};

} // namespace

std::unique_ptr<TableService> makeTableService(DutyThread &thread, const std::string &address,
                                               Duration timeout)
{
    return std::make_unique<HttpTableService>(thread, address, timeout);
}

std::unique_ptr<ObjectStore> makeObjectStore(DutyThread &thread, const std::string &address,
                                             Duration timeout)
{
    return std::make_unique<HttpObjectStore>(thread, address, timeout);
}

std::unique_ptr<HostList> makeHostList(DutyThread &thread, const std::string &address,
                                       Duration timeout)
{
    return std::make_unique<HttpHostList>(thread, address, timeout);
}

} // namespace kelptally::services
