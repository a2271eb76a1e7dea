#include "caller/callerrequest.h"

#include "core/json.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::caller;

namespace {

HttpRequest post(const std::string &path, const std::string &body)
{
    HttpRequest request;
    request.method = HttpMethod::Post;
    request.path = path;
    request.body = body;
    return request;
}

std::vector<ProblemFinding> findingsOf(const HttpRequest &request)
{
    const ParsedRequest parsed = parseCallerRequest(request);
    REQUIRE(parsed.problem);
    CHECK(parsed.problem->reason == Reason::MalformedRequest);
    return parsed.problem->findings;
}

} // namespace

TEST_CASE("A statement request is parsed with its headers and parameters")
{
    HttpRequest request = post("/v1/statement",
                               R"({"group":"offers","kind":"offer","sql":"SELECT $1","parameters":)"
                               R"(["a",12345678901234567890.10,-7,true,null],"statedAgeMs":0,)"
                               R"("deadlineMs":1500})");
    request.authorization = "Bearer secret";
    request.idempotencyKey = "\"key-1\"";
    request.sessionToken = "token";
    const ParsedRequest parsed = parseCallerRequest(request);
    CAPTURE(parsed.problem ? parsed.problem->detail : std::string());
    REQUIRE_FALSE(parsed.problem);
    const CallerRequest &callerRequest = parsed.request;
    CHECK(callerRequest.operation == CallerOperation::Statement);
    CHECK(callerRequest.apiKey == "secret");
    CHECK(callerRequest.idempotencyKey == "key-1");
    CHECK(callerRequest.sessionToken == "token");
    CHECK(callerRequest.group == "offers");
    CHECK(callerRequest.kind == "offer");
    CHECK(callerRequest.sql == "SELECT $1");
    const std::vector<Value> expected = {"a", "12345678901234567890.10", "-7", "true",
                                         std::nullopt};
    CHECK(callerRequest.parameters == expected);
    CHECK(callerRequest.statedAge == std::optional<Duration>(Duration(0)));
    CHECK(callerRequest.deadline == std::optional<Duration>(std::chrono::milliseconds(1500)));
}

TEST_CASE("Paths of transactions select their operation, and unknown paths are refused")
{
    CHECK(parseCallerRequest(post("/v1/transactions", R"({"group":"g","kind":"k"})"))
              .request.operation
          == CallerOperation::Begin);
    const ParsedRequest statement =
        parseCallerRequest(post("/v1/transactions/id.1/statements", R"({"sql":"x"})"));
    CHECK(statement.request.operation == CallerOperation::TransactionStatement);
    CHECK(statement.request.transaction == "id.1");
    CHECK(parseCallerRequest(post("/v1/transactions/id/commit", "")).request.operation
          == CallerOperation::Commit);
    CHECK_FALSE(parseCallerRequest(post("/v1/transactions/id/rollback", "{}")).problem);
    for (const char *path :
         {"/", "/v1", "/v1/transactions/", "/v1/transactions//commit", "/v1/transactions/id",
          "/v1/transactions/a/b/commit", "/v1/transactionsx", "/v1/statement/"})
        CHECK(parseCallerRequest(post(path, "{}")).problem->reason == Reason::UnknownPath);
    HttpRequest get = post("/v1/statement", "");
    get.method = HttpMethod::Get;
    CHECK(parseCallerRequest(get).problem->reason == Reason::UnknownPath);
}

TEST_CASE("All mistakes of a request are reported together")
{
    HttpRequest request = post("/v1/statement",
                               R"({"group":"","kind":7,"parameters":["a",[1]],"statedAgeMs":1.5,)"
                               R"("deadlineMs":0,"extra":1})");
    request.idempotencyKey = "with blank";
    request.authorization = "Basic abc";
    const std::vector<ProblemFinding> findings = findingsOf(request);
    std::vector<std::string> places;
    for (const ProblemFinding &finding : findings)
        places.push_back(finding.place);
    const std::vector<std::string> expected = {"Authorization", "Idempotency-Key", "/group",
                                               "/kind",         "/parameters/1",   "/statedAgeMs",
                                               "/deadlineMs",   "/extra",          "/sql"};
    CHECK(places == expected);
}

TEST_CASE("Bodies that are not a valid JSON document are refused")
{
    CHECK(findingsOf(post("/v1/statement", "")).size() == 1);
    CHECK(findingsOf(post("/v1/statement", "[]")).front().problem.find("object")
          != std::string::npos);
    CHECK(findingsOf(post("/v1/statement", R"({"sql":"a","sql":"b"})")).front().problem
          == "the member \"sql\" is given twice");
    CHECK(findingsOf(post("/v1/statement", R"({"sql":"a" "b"})")).front().problem.find("column")
          != std::string::npos);
    CHECK(findingsOf(post("/v1/statement", "{\"sql\":\"\xff\"}")).size() == 1);
    CHECK(findingsOf(post("/v1/transactions/id/commit", R"({"sql":"a"})")).size() == 1);
}

TEST_CASE("The JSON parser enforces its limits")
{
    CHECK_FALSE(parseJson(std::string(100, '[')).ok());
    std::string many = "[0";
    for (std::size_t i = 0; i < maxJsonValues; ++i)
        many += ",0";
    CHECK(std::string(parseJson(many + "]").status().message()).find("values")
          != std::string::npos);
    CHECK_FALSE(parseJson("1e999").ok());
    CHECK_FALSE(parseJson("{} {}").ok());
    CHECK(parseJson(" [1, {\"a\": \"\\u00e9\"}] ")->items[1].textOf("a") == "\xc3\xa9");
}

TEST_CASE("A response holds rows, age and session token")
{
    CallerAnswer answer;
    answer.rows.columns = {"id", "na\"me"};
    answer.rows.values = {{"1", std::nullopt}, {"2", "\xff\n"}};
    answer.age = std::chrono::microseconds(1500);
    answer.fromReplica = true;
    answer.sessionToken = "t";
    const HttpResponse response = answerResponse(answer);
    CHECK(response.headers.front().name == "Kelptally-Session");
    const JsonValue json = *parseJson(response.body);
    CHECK(json.find("rows")->items[0].items[1].type == JsonType::Null);
    CHECK(json.find("rows")->items[1].items[1].text == "\xef\xbf\xbd\n");
    CHECK(json.find("columns")->items[1].text == "na\"me");
    CHECK(json.textOf("ageMs") == "1.5");
    CHECK(json.find("fromReplica")->boolean);
    CHECK_FALSE(json.find("transaction"));
}

TEST_CASE("A problem document holds reason, executed and retryAfterMs")
{
    for (const ReasonInfo &info : allReasons()) {
        const HttpResponse response = problemResponse(makeProblem(info.reason, "detail \x01"));
        CHECK(response.status == info.httpStatus);
        const JsonValue json = *parseJson(response.body);
        CHECK(json.textOf("reason") == info.name);
        CHECK(json.textOf("executed") == executedName(info.executed));
        CHECK(json.textOf("detail") == "detail \x01");
        CHECK((json.find("retryAfterMs") != nullptr) == info.retryable);
    }
    Problem problem = makeProblem(Reason::QueueFull);
    problem.retryAfter = std::chrono::milliseconds(1200);
    problem.executed = Executed::Unknown;
    const HttpResponse response = problemResponse(problem);
    CHECK(response.headers.front().name == "Retry-After");
    CHECK(response.headers.front().value == "2");
    CHECK(parseJson(response.body)->textOf("retryAfterMs") == "1200.0");
    CHECK(parseJson(response.body)->textOf("executed") == "unknown");
}
