#include "decision/transactions.h"
#include "entryfixtures.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::entry;
using namespace std::chrono_literals;

namespace {

CallerApi configuredApi()
{
    CallerApi api(tokenKey);
    api.configure(testConfiguration());
    return api;
}

Reason refusal(const caller::CallerRequest &request)
{
    const AdmissionResult admitted = configuredApi().admit(request);
    const auto *problem = std::get_if<caller::Problem>(&admitted);
    return problem ? problem->reason : Reason::None;
}

AdmittedRequest admit(const caller::CallerRequest &request)
{
    return std::get<AdmittedRequest>(configuredApi().admit(request));
}

caller::CallerRequest stepOf(caller::CallerOperation operation, const std::string &owner)
{
    caller::CallerRequest request;
    request.apiKey = callerKey;
    request.operation = operation;
    request.transaction = decision::TransactionId {"offers", owner, 3, 1, 99}.toText();
    return request;
}

} // namespace

TEST_CASE("Each invalid request is refused with its reason")
{
    CHECK(refusal(statementOf("browse")) == Reason::None);
    const auto with = [](auto change) {
        caller::CallerRequest request = statementOf("edit");
        change(request);
        return refusal(request);
    };
    CHECK(with([](auto &r) { r.apiKey = ""; }) == Reason::Unauthenticated);
    CHECK(with([](auto &r) { r.apiKey = "wrong"; }) == Reason::Unauthenticated);
    CHECK(with([](auto &r) { r.group = "none"; }) == Reason::UnknownGroup);
    CHECK(with([](auto &r) { r.group = "tariff"; }) == Reason::Forbidden);
    CHECK(with([](auto &r) { r.kind = "none"; }) == Reason::UnknownKind);
    CHECK(with([](auto &r) { r.kind = "other-team"; }) == Reason::Forbidden);
    CHECK(with([](auto &r) { r.kind = "offer"; }) == Reason::KeyRequired);
    CHECK(with([](auto &r) { r.kind = "offer", r.idempotencyKey = "k"; }) == Reason::None);
    CHECK(with([](auto &r) { r.sessionToken = "forged"; }) == Reason::TokenInvalid);
    CHECK(with([](auto &r) { r.sessionToken.assign(decision::maxTokenBytes + 1, 'x'); })
          == Reason::TokenTooLarge);

    CHECK(CallerApi(tokenKey).admit(statementOf("edit")).index() == 1);
}

TEST_CASE("A session token at the group limit allows reads but no writes")
{
    decision::SessionToken session;
    for (std::size_t i = 0; i < decision::maxTokenGroups; ++i)
        session.advance("g" + std::to_string(i), {1, 1});
    caller::CallerRequest request = statementOf("edit");
    request.sessionToken = session.seal(tokenKey);
    CHECK(refusal(request) == Reason::TokenTooLarge);
    request.kind = "browse";
    CHECK(refusal(request) == Reason::None);
}

TEST_CASE("The rules of the request kind apply to the request")
{
    caller::CallerRequest request = statementOf("browse");
    request.statedAge = 1s;
    request.idempotencyKey = "ignored";
    const AdmittedRequest read = admit(request);
    CHECK(read.execute.readOnly);
    CHECK(read.statedAge == Duration(1s));
    CHECK(read.deadline == Duration(2s));
    CHECK(read.repeatable);
    CHECK(read.execute.key.empty());

    request = statementOf("offer");
    request.deadline = 500ms;
    request.idempotencyKey = "k1";
    const AdmittedRequest write = admit(request);
    CHECK_FALSE(write.execute.readOnly);
    CHECK_FALSE(write.repeatable);
    CHECK(write.deadline == Duration(500ms));
    CHECK(write.execute.key == "k1");
    CHECK(write.execute.keyDigest.size() == 64);
    CHECK(write.execute.team == "lagon");
}

TEST_CASE("The effective age is the smaller limit, and zero requires the newest data")
{
    CHECK_FALSE(effectiveAge(std::nullopt, std::nullopt));
    CHECK(effectiveAge(std::nullopt, Duration(3s)) == Duration(3s));
    CHECK(effectiveAge(Duration(1s), std::nullopt) == Duration(1s));
    CHECK(effectiveAge(Duration(1s), Duration(3s)) == Duration(1s));
    CHECK(effectiveAge(Duration(9s), Duration(3s)) == Duration(3s));
    CHECK_FALSE(effectiveAge(Duration(0), Duration(3s)));
}

TEST_CASE("The session's position in the group is sent with the request")
{
    decision::SessionToken session;
    session.advance("offers", {7, 12});
    session.advance("deposits", {1, 1});
    caller::CallerRequest request = statementOf("browse");
    request.sessionToken = session.seal(tokenKey);
    CHECK(admit(request).execute.sessionPosition == Position {7, 12});
    CHECK_FALSE(admit(statementOf("browse")).execute.sessionPosition);
}

TEST_CASE("The digest of an idempotency key depends on each part of the request")
{
    inner::Execute base;
    base.team = "lagon";
    base.group = "offers";
    base.kind = "offer";
    base.sql = "INSERT";
    base.parameters = {Value("a"), Value("b")};
    const std::string digest = keyDigest(base);
    const auto differs = [&](auto change) {
        inner::Execute other = base;
        change(other);
        return keyDigest(other) != digest;
    };
    CHECK_FALSE(differs([](auto &e) { e.requestId = 9, e.attempt = 2, e.key = "k"; }));
    CHECK(differs([](auto &e) { e.team = "x"; }));
    CHECK(differs([](auto &e) { e.group = "x"; }));
    CHECK(differs([](auto &e) { e.kind = "x"; }));
    CHECK(differs([](auto &e) { e.sql = "x"; }));
    CHECK(differs([](auto &e) { e.parameters = {Value("ab"), Value("")}; }));
    CHECK(differs([](auto &e) { e.parameters = {Value("a"), std::nullopt}; }));
    CHECK(differs([](auto &e) { e.parameters = {Value("a"), Value("b"), Value("")}; }));
    CHECK(differs([](auto &e) { e.step = inner::StatementStep::Commit; }));
}

TEST_CASE("The steps of a transaction are sent to the owner named in its id")
{
    using caller::CallerOperation;
    caller::CallerRequest request = stepOf(CallerOperation::Commit, ownerB);
    request.idempotencyKey = "k";
    const AdmittedRequest commit = admit(request);
    CHECK(commit.transactionOwner == ownerB);
    CHECK(commit.execute.group == "offers");
    CHECK(commit.execute.step == inner::StatementStep::Commit);
    CHECK(commit.execute.transaction == request.transaction);
    CHECK(commit.execute.key == "k");
    CHECK_FALSE(commit.repeatable);

    CHECK(refusal(stepOf(CallerOperation::Rollback, "10.0.0.1:1")) == Reason::UnknownTransaction);
    request.transaction = "nonsense";
    CHECK(refusal(request) == Reason::UnknownTransaction);

    request = statementOf("edit");
    request.operation = CallerOperation::Begin;
    CHECK_FALSE(admit(request).repeatable);
    CHECK(admit(request).transactionOwner.empty());
}
