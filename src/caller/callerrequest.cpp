#include "caller/callerrequest.h"

#include "caller/keyring.h"
#include "core/json.h"

#include <algorithm>

namespace kelptally::caller {

namespace {

constexpr std::size_t maxKeyLength = 128;
constexpr std::size_t maxNameLength = 128;
constexpr std::size_t maxTransactionLength = 512;
// Below the limit of PostgreSQL's protocol, 65535, and within the limit on JSON values.
constexpr std::size_t maxParameters = 16384;
constexpr std::int64_t maxMilliseconds = 24 * 60 * 60 * 1000;

constexpr std::string_view statementPath = "/v1/statement";
constexpr std::string_view transactionsPath = "/v1/transactions";

// The fields that the body of an operation may hold.
struct BodyFields
{
    bool target = false;
    bool statement = false;
    bool statedAge = false;
};

BodyFields bodyFields(CallerOperation operation)
{
    switch (operation) {
    case CallerOperation::Statement:
        return {true, true, true};
    case CallerOperation::Begin:
        return {true, false, false};
    case CallerOperation::TransactionStatement:
        return {false, true, false};
    case CallerOperation::Commit:
    case CallerOperation::Rollback:
        return {};
    }
    return {};
}

// Sets the operation and the transaction id from a path; false for an unknown path.
bool parsePath(const std::string &path, CallerRequest &request)
{
    const std::string_view view = path;
    if (view == statementPath) {
        request.operation = CallerOperation::Statement;
        return true;
    }
    if (view.substr(0, transactionsPath.size()) != transactionsPath)
        return false;
    std::string_view rest = view.substr(transactionsPath.size());
    if (rest.empty()) {
        request.operation = CallerOperation::Begin;
        return true;
    }
    const std::size_t last = rest.rfind('/');
    if (rest.front() != '/' || last < 2)
        return false;
    const std::string_view verb = rest.substr(last + 1);
    if (verb == "statements")
        request.operation = CallerOperation::TransactionStatement;
    else if (verb == "commit")
        request.operation = CallerOperation::Commit;
    else if (verb == "rollback")
        request.operation = CallerOperation::Rollback;
    else
        return false;
    request.transaction = rest.substr(1, last - 1);
    return request.transaction.size() <= maxTransactionLength
        && request.transaction.find('/') == std::string::npos;
}

// Reads the body of one request and collects the mistakes in it.
class BodyReader
{
public:
    explicit BodyReader(CallerRequest &request)
        : request_(request), fields_(bodyFields(request.operation))
    { }

    std::vector<ProblemFinding> take(const std::string &body)
    {
        if (body.empty() && !fields_.target && !fields_.statement)
            return {};
        absl::StatusOr<JsonValue> document = parseJson(body);
        if (!document.ok()) {
            add("", std::string(document.status().message()));
            return std::move(findings_);
        }
        if (document->type != JsonType::Object) {
            add("", "the body must be a JSON object");
            return std::move(findings_);
        }
        for (std::size_t i = 0; i < document->names.size(); ++i)
            readMember(document->names[i], document->items[i]);
        checkPresent(*document);
        return std::move(findings_);
    }

private:
    void add(const std::string &place, std::string problem)
    {
        findings_.push_back({place, std::move(problem)});
    }

    void readMember(const std::string &name, JsonValue &value)
    {
        const std::string place = "/" + name;
        if (fields_.target && name == "group")
            readText(place, value, request_.group, maxNameLength);
        else if (fields_.target && name == "kind")
            readText(place, value, request_.kind, maxNameLength);
        else if (fields_.statement && name == "sql")
            readText(place, value, request_.sql, std::string::npos);
        else if (fields_.statement && name == "parameters")
            readParameters(place, value);
        else if (fields_.statedAge && name == "statedAgeMs")
            readMilliseconds(place, value, request_.statedAge, 0);
        else if (name == "deadlineMs")
            readMilliseconds(place, value, request_.deadline, 1);
        else
            add(place, "unknown field; allowed: " + allowed());
    }

    std::string allowed() const
    {
        std::string names;
        if (fields_.target)
            names += "group, kind, ";
        if (fields_.statement)
            names += "sql, parameters, ";
        if (fields_.statedAge)
            names += "statedAgeMs, ";
        return names + "deadlineMs";
    }

    void readText(const std::string &place, JsonValue &value, std::string &into, std::size_t limit)
    {
        if (value.type != JsonType::String)
            return add(place, "must be a string");
        if (value.text.empty())
            return add(place, "must not be empty");
        if (value.text.size() > limit)
            return add(place, "must be at most " + std::to_string(limit) + " bytes");
        if (value.text.find('\0') != std::string::npos)
            return add(place, "must not hold the character U+0000");
        into = std::move(value.text);
    }

    void readMilliseconds(const std::string &place, const JsonValue &value,
                          std::optional<Duration> &into, std::int64_t minimum)
    {
        const std::int64_t number = value.toInteger(-1);
        if (number < minimum || number > maxMilliseconds)
            return add(place,
                       "must be a whole number of milliseconds from " + std::to_string(minimum)
                           + " to " + std::to_string(maxMilliseconds));
        into = std::chrono::milliseconds(number);
    }

    void readParameters(const std::string &place, JsonValue &value)
    {
        if (value.type != JsonType::Array)
            return add(place, "must be an array");
        if (value.items.size() > maxParameters)
            return add(place, "must have at most " + std::to_string(maxParameters) + " elements");
        request_.parameters.reserve(value.items.size());
        for (std::size_t i = 0; i < value.items.size(); ++i)
            readParameter(place, i, value.items[i]);
    }

    // Converts a parameter to PostgreSQL's text format.
    void readParameter(const std::string &place, std::size_t index, JsonValue &value)
    {
        switch (value.type) {
        case JsonType::Null:
            request_.parameters.emplace_back(std::nullopt);
            return;
        case JsonType::Boolean:
            request_.parameters.emplace_back(value.boolean ? "true" : "false");
            return;
        case JsonType::Number:
        case JsonType::String:
            if (value.text.find('\0') == std::string::npos) {
                request_.parameters.emplace_back(std::move(value.text));
                return;
            }
            break;
        case JsonType::Array:
        case JsonType::Object:
            break;
        }
        add(place + "/" + std::to_string(index),
            "must be a string without U+0000, a number, a boolean or null");
    }

    void checkPresent(const JsonValue &document)
    {
        for (const char *name : {"group", "kind"})
            if (fields_.target && !document.find(name))
                add(std::string("/") + name, "is missing");
        if (fields_.statement && !document.find("sql"))
            add("/sql", "is missing");
    }

    CallerRequest &request_;
    const BodyFields fields_;
    std::vector<ProblemFinding> findings_;
};

bool isKeyCharacter(char c)
{
    return c > 0x20 && c < 0x7f && c != '"';
}

// Sets the idempotency key from its header, which may be quoted.
void readIdempotencyKey(std::string_view key, CallerRequest &request,
                        std::vector<ProblemFinding> &findings)
{
    if (key.empty())
        return;
    if (key.size() >= 2 && key.front() == '"' && key.back() == '"')
        key = key.substr(1, key.size() - 2);
    if (key.empty() || key.size() > maxKeyLength
        || !std::all_of(key.begin(), key.end(), isKeyCharacter)) {
        findings.push_back({"Idempotency-Key",
                            "must be 1 to " + std::to_string(maxKeyLength)
                                + " printable ASCII characters without blanks and quotes"});
        return;
    }
    request.idempotencyKey = key;
}

void readAuthorization(const std::string &header, CallerRequest &request,
                       std::vector<ProblemFinding> &findings)
{
    if (header.empty())
        return;
    if (const std::optional<std::string_view> key = bearerKey(header))
        request.apiKey = *key;
    else
        findings.push_back({"Authorization", "must be \"Bearer KEY\""});
}

} // namespace

ParsedRequest parseCallerRequest(HttpRequest request)
{
    ParsedRequest parsed;
    CallerRequest &callerRequest = parsed.request;
    callerRequest.connection = request.connection;
    if (request.method != HttpMethod::Post || !parsePath(request.path, callerRequest)) {
        parsed.problem = makeProblem(Reason::UnknownPath);
        return parsed;
    }
    std::vector<ProblemFinding> findings;
    readAuthorization(request.authorization, callerRequest, findings);
    readIdempotencyKey(request.idempotencyKey, callerRequest, findings);
    callerRequest.sessionToken = std::move(request.sessionToken);
    for (ProblemFinding &finding : BodyReader(callerRequest).take(request.body))
        findings.push_back(std::move(finding));
    if (!request.query.empty())
        findings.push_back({"?" + request.query.substr(0, 64), "this path takes no query"});
    if (findings.empty())
        return parsed;
    Problem problem = makeProblem(Reason::MalformedRequest,
                                  findings.front().place + ": " + findings.front().problem);
    problem.findings = std::move(findings);
    parsed.problem = std::move(problem);
    return parsed;
}

HttpResponse answerResponse(const CallerAnswer &answer)
{
    JsonWriter json;
    json.beginObject();
    if (!answer.transaction.empty())
        json.member("transaction", answer.transaction);
    json.key("columns").beginArray();
    for (const std::string &column : answer.rows.columns)
        json.string(column);
    json.endArray();
    json.key("rows").beginArray();
    for (const auto &row : answer.rows.values) {
        json.beginArray();
        for (const Value &value : row)
            value ? json.string(*value) : json.null();
        json.endArray();
    }
    json.endArray();
    json.member("affected", static_cast<std::uint64_t>(answer.rows.affected));
    if (answer.age)
        json.member("ageMs", toMilliseconds(*answer.age));
    json.member("fromReplica", answer.fromReplica);
    json.member("replayed", answer.replayed);
    json.endObject();

    HttpResponse response;
    if (!answer.sessionToken.empty())
        response.headers.push_back({"Kelptally-Session", answer.sessionToken});
    response.body = json.take();
    return response;
}

} // namespace kelptally::caller
