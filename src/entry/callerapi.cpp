#include "entry/callerapi.h"

#include "core/digest.h"
#include "decision/transactions.h"

#include <algorithm>

namespace kelptally::entry {

using caller::CallerOperation;
using caller::makeProblem;
using caller::Problem;

namespace {

// Default deadline of the steps of a transaction, which have no request kind.
constexpr Duration transactionStepDeadline = std::chrono::seconds(5);

inner::StatementStep stepOf(CallerOperation operation)
{
    switch (operation) {
    case CallerOperation::Statement:
        return inner::StatementStep::Single;
    case CallerOperation::Begin:
        return inner::StatementStep::Begin;
    case CallerOperation::TransactionStatement:
        return inner::StatementStep::InTransaction;
    case CallerOperation::Commit:
        return inner::StatementStep::Commit;
    case CallerOperation::Rollback:
        break;
    }
    return inner::StatementStep::Rollback;
}

bool contains(const std::vector<TeamName> &teams, const TeamName &team)
{
    return std::find(teams.begin(), teams.end(), team) != teams.end();
}

bool isRefusal(const Problem &problem)
{
    return problem.reason != Reason::None;
}

const Problem accepted = makeProblem(Reason::None);

void appendField(std::string &text, std::string_view field)
{
    text.append(std::to_string(field.size())).append(1, ':').append(field);
}

} // namespace

std::optional<Duration> effectiveAge(std::optional<Duration> stated, std::optional<Duration> kind)
{
    std::optional<Duration> age = stated ? stated : kind;
    if (stated && kind)
        age = std::min(*stated, *kind);
    if (age && *age <= Duration(0))
        return std::nullopt;
    return age;
}

std::string keyDigest(const inner::Execute &execute)
{
    std::string text;
    appendField(text, execute.step == inner::StatementStep::Single ? "statement" : "commit");
    appendField(text, execute.team);
    appendField(text, execute.group);
    appendField(text, execute.kind);
    appendField(text, execute.sql);
    for (const Value &parameter : execute.parameters) {
        if (parameter)
            appendField(text, *parameter);
        else
            text.append(1, '-');
    }
    return digestToHex(sha256(text));
}

void CallerApi::configure(settings::ConfigurationPtr configuration)
{
    configuration_ = std::move(configuration);
    keys_ = caller::callerKeys(configuration_->inventory);
}

AdmissionResult CallerApi::admit(caller::CallerRequest request) const
{
    if (!configuration_)
        return makeProblem(Reason::StoreUnavailable, "this entry has no configuration yet");

    // 1. Authentication.
    const std::optional<TeamName> team = keys_.organisationOf(request.apiKey);
    if (request.apiKey.empty() || !team)
        return makeProblem(Reason::Unauthenticated);
    AdmittedRequest admitted;
    admitted.execute.team = *team;
    if (const settings::Team *known = configuration_->inventory.findTeam(*team))
        admitted.teamSharePercent = known->sharePercent;

    // 2. Target and authorisation.
    admitted.execute.step = stepOf(request.operation);
    const bool namesTarget = request.operation == CallerOperation::Statement
        || request.operation == CallerOperation::Begin;
    Problem problem =
        namesTarget ? admitTarget(request, admitted) : admitTransaction(request, admitted);
    if (!isRefusal(problem))
        problem = admitGroup(admitted);

    // 3. Session token.
    if (!isRefusal(problem))
        problem = admitSession(request, admitted);

    // 4. Statement and idempotency key.
    admitted.execute.sql = std::move(request.sql);
    admitted.execute.parameters = std::move(request.parameters);
    if (!isRefusal(problem))
        problem = admitKey(request, admitted);
    if (isRefusal(problem))
        return problem;
    return admitted;
}

Problem CallerApi::admitTarget(const caller::CallerRequest &request,
                               AdmittedRequest &admitted) const
{
    const settings::Kind *kind = configuration_->inventory.findKind(request.kind);
    if (!kind)
        return makeProblem(Reason::UnknownKind, "kind " + request.kind);
    const TeamName &team = admitted.execute.team;
    if (!kind->teams.empty() && !contains(kind->teams, team))
        return makeProblem(Reason::Forbidden,
                           "kind " + request.kind + " is not permitted for this team");
    inner::Execute &execute = admitted.execute;
    execute.group = request.group;
    execute.kind = request.kind;
    execute.readOnly = kind->readOnly;
    admitted.deadline = request.deadline.value_or(kind->deadline);
    if (kind->readOnly)
        admitted.statedAge = effectiveAge(request.statedAge, kind->statedAge);
    const bool single = request.operation == CallerOperation::Statement;
    admitted.repeatable = single && (kind->readOnly || kind->repeatable);
    if (single && !admitted.repeatable && request.idempotencyKey.empty())
        return makeProblem(Reason::KeyRequired, "kind " + request.kind);
    return accepted;
}

Problem CallerApi::admitTransaction(const caller::CallerRequest &request,
                                    AdmittedRequest &admitted) const
{
    const auto id = decision::TransactionId::fromText(request.transaction);
    if (!id)
        return makeProblem(Reason::UnknownTransaction, "malformed transaction id");
    const std::vector<settings::Host> &hosts = configuration_->inventory.hosts;
    const bool known = std::any_of(hosts.begin(), hosts.end(), [&](const settings::Host &host) {
        return host.ownerAddress == id->owner;
    });
    if (!known)
        return makeProblem(Reason::UnknownTransaction, "its owner is not a configured host");
    admitted.execute.group = id->group;
    admitted.execute.transaction = request.transaction;
    admitted.transactionOwner = id->owner;
    admitted.deadline = request.deadline.value_or(transactionStepDeadline);
    return accepted;
}

Problem CallerApi::admitGroup(const AdmittedRequest &admitted) const
{
    const GroupName &name = admitted.execute.group;
    const settings::Group *group = configuration_->inventory.findGroup(name);
    if (!group)
        return makeProblem(Reason::UnknownGroup, "group " + name);
    if (!group->team.empty() && group->team != admitted.execute.team)
        return makeProblem(Reason::Forbidden, "group " + name + " is not permitted for this team");
    return accepted;
}

Problem CallerApi::admitSession(caller::CallerRequest &request, AdmittedRequest &admitted) const
{
    auto session = decision::SessionToken::open(request.sessionToken, tokenKey_);
    if (!session.ok()) {
        const bool tooLarge = session.status().code() == absl::StatusCode::kResourceExhausted;
        return makeProblem(tooLarge ? Reason::TokenTooLarge : Reason::TokenInvalid,
                           std::string(session.status().message()));
    }
    inner::Execute &execute = admitted.execute;
    if (!execute.readOnly && !session->hasRoomFor(execute.group))
        return makeProblem(Reason::TokenTooLarge, "the session token covers too many groups");
    if (const Position *position = session->find(execute.group))
        execute.sessionPosition = *position;
    admitted.session = *std::move(session);
    admitted.sessionText = std::move(request.sessionToken);
    return accepted;
}

// Idempotency keys apply to single writes and commits; all others are ignored.
Problem CallerApi::admitKey(caller::CallerRequest &request, AdmittedRequest &admitted) const
{
    inner::Execute &execute = admitted.execute;
    const bool usesKey = execute.step == inner::StatementStep::Commit
        || (execute.step == inner::StatementStep::Single && !execute.readOnly);
    if (!usesKey || request.idempotencyKey.empty())
        return accepted;
    execute.key = std::move(request.idempotencyKey);
    execute.keyDigest = keyDigest(execute);
    return accepted;
}

} // namespace kelptally::entry
