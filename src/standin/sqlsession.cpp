#include "standin/sqlsession.h"

namespace kelptally::standin {

namespace {

SqlError readOnlyError(const std::string &verb)
{
    return {"25006", "cannot execute " + verb + " in a read-only transaction"};
}

SqlError fencedError(OwnerEpoch fence)
{
    return {"KF001", "stale fencing token: the fence is at epoch " + std::to_string(fence)};
}

std::uint64_t toNumber(const std::vector<std::string> &arguments, std::size_t index)
{
    return index < arguments.size() ? std::strtoull(arguments[index].c_str(), nullptr, 10) : 0;
}

std::string commandTag(const std::string &verb, std::size_t affected)
{
    if (verb == "INSERT" || verb == "REPLACE")
        return "INSERT 0 " + std::to_string(affected);
    if (verb == "UPDATE" || verb == "DELETE")
        return verb + " " + std::to_string(affected);
    if (verb == "CREATE" || verb == "DROP" || verb == "ALTER")
        return verb + " TABLE";
    return "SELECT " + std::to_string(affected);
}

std::vector<std::string> evaluateArguments(const ParsedStatement &statement,
                                           const std::vector<Parameter> &parameters)
{
    std::vector<std::string> values;
    for (const ControlArgument &argument : statement.arguments) {
        const std::size_t index = std::size_t(argument.parameter);
        if (index == 0)
            values.push_back(argument.literal);
        else if (index <= parameters.size())
            values.push_back(parameters[index - 1].value.value_or(""));
    }
    return values;
}

} // namespace

SqlSession::SqlSession(Node &node, std::function<void()> wake) : node_(node)
{
    lockRequester_.wake = std::move(wake);
}

SqlSession::~SqlSession() = default;

char SqlSession::transactionStatus() const
{
    switch (state_) {
    case State::Idle:
        return 'I';
    case State::Explicit:
        return 'T';
    case State::Failed:
        return 'E';
    }
    return 'I';
}

StepStatus SqlSession::describe(const ParsedStatement &statement, std::vector<Column> &columns,
                                SqlError &error)
{
    columns.clear();
    if (statement.kind == StatementKind::Control || statement.kind == StatementKind::Show) {
        columns.push_back({statement.name, 25});
        return StepStatus::Done;
    }
    if (statement.kind != StatementKind::Query)
        return StepStatus::Done;
    SqlStatement *compiled = database().prepare(statement.sql, error);
    if (compiled == nullptr)
        return StepStatus::Failed;
    columns = compiled->columns();
    return StepStatus::Done;
}

StepStatus SqlSession::execute(const ParsedStatement &statement,
                               const std::vector<Parameter> &parameters, const RowSink &sink,
                               std::string &tag, SqlError &error)
{
    tag = statement.verb;
    const bool endsTransaction =
        statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (state_ == State::Failed && !endsTransaction) {
        error = {"25P02", "current transaction is aborted, commands ignored until end of block"};
        return StepStatus::Failed;
    }
    switch (statement.kind) {
    case StatementKind::Empty:
        return StepStatus::Done;
    case StatementKind::Query:
        return executeQuery(statement, parameters, sink, tag, error);
    case StatementKind::Control:
        tag = "SELECT 1";
        return executeControl(statement, parameters, sink, error);
    case StatementKind::Begin:
        return beginTransaction(statement);
    case StatementKind::Commit:
        return endTransaction(true, tag, error);
    case StatementKind::Rollback:
        return endTransaction(false, tag, error);
    case StatementKind::Set:
        if (statement.verb == "SET")
            settings_[statement.name] = statement.value;
        else if (statement.name == "ALL" || statement.name == "all")
            settings_.clear();
        else
            settings_.erase(statement.name);
        return StepStatus::Done;
    case StatementKind::Show:
        sink({std::string_view(settings_[statement.name])});
        return StepStatus::Done;
    case StatementKind::Discard:
        settings_.clear();
        tag = "DISCARD ALL";
        return StepStatus::Done;
    case StatementKind::Unsupported:
        error = {"0A000", "the stand-in does not support " + statement.verb + " in this form"};
        return StepStatus::Failed;
    }
    return StepStatus::Done;
}

StepStatus SqlSession::executeQuery(const ParsedStatement &statement,
                                    const std::vector<Parameter> &parameters, const RowSink &sink,
                                    std::string &tag, SqlError &error)
{
    if (lockRequester_.revoked) {
        error = readOnlyError(statement.verb);
        return StepStatus::Failed;
    }
    SqlStatement *compiled = database().prepare(statement.sql, error);
    if (compiled == nullptr)
        return StepStatus::Failed;
    const bool writes = !compiled->readOnly();
    if (writes) {
        const StepStatus locked = lockForWriting(statement.verb, error);
        if (locked != StepStatus::Done)
            return locked;
        compiled = database().prepare(statement.sql, error);
        if (compiled == nullptr)
            return StepStatus::Failed;
    }
    std::size_t affected = 0;
    if (!database().run(*compiled, parameters, sink, affected, error))
        return StepStatus::Failed;
    if (writes)
        statements_.push_back({statement.sql, parameters});
    tag = commandTag(statement.verb, affected);
    return StepStatus::Done;
}

StepStatus SqlSession::lockForWriting(const std::string &verb, SqlError &error)
{
    if (!node_.acceptsWrites() || readOnly_ || lockRequester_.revoked) {
        error = readOnlyError(verb);
        return StepStatus::Failed;
    }
    if (lockRequester_.timedOut) {
        lockRequester_.timedOut = false;
        error = {"55P03", "canceling statement due to lock timeout"};
        return StepStatus::Failed;
    }
    if (!node_.writerLock().acquire(lockRequester_, lockTimeout_))
        return StepStatus::Pending;
    if (!transactionBegun_)
        node_.beginWriterTransaction();
    transactionBegun_ = true;
    return StepStatus::Done;
}

StepStatus SqlSession::executeControl(const ParsedStatement &statement,
                                      const std::vector<Parameter> &parameters, const RowSink &sink,
                                      SqlError &error)
{
    std::string result;
    const StepStatus status =
        callControlFunction(statement, evaluateArguments(statement, parameters), result, error);
    if (status == StepStatus::Done)
        sink({std::string_view(result)});
    return status;
}

StepStatus SqlSession::callControlFunction(const ParsedStatement &statement,
                                           const std::vector<std::string> &arguments,
                                           std::string &result, SqlError &error)
{
    const std::string &name = statement.name;
    result = arguments.empty() ? std::string() : arguments.back();
    if (name == "kelptally_write_offset") {
        result = std::to_string(node_.endOffset() + (statements_.empty() ? 0 : 1));
        return StepStatus::Done;
    }
    if (name == "kelptally_check_fence")
        return checkFence(toNumber(arguments, 0), error);
    if (name == "kelptally_raise_fence")
        return raiseFence(toNumber(arguments, 0), error);
    bool good = false;
    if (name == "kelptally_prepare")
        good = node_.prepare(toNumber(arguments, 0), error);
    else if (name == "kelptally_promote")
        good = node_.promote(toNumber(arguments, 0), error);
    else if (arguments.size() == 2)
        good = node_.follow(arguments[0], toNumber(arguments, 1), error);
    else
        error = {"42883", name + " takes two arguments"};
    return good ? StepStatus::Done : StepStatus::Failed;
}

// On a primary the check acquires the writer lock, so that the fence can't be raised before the
// transaction ends.
StepStatus SqlSession::checkFence(OwnerEpoch epoch, SqlError &error)
{
    if (node_.acceptsWrites() && !readOnly_) {
        const StepStatus locked = lockForWriting("SELECT", error);
        if (locked != StepStatus::Done)
            return locked;
    }
    const OwnerEpoch fence = node_.fence(database());
    if (fence <= epoch)
        return StepStatus::Done;
    error = fencedError(fence);
    return StepStatus::Failed;
}

StepStatus SqlSession::raiseFence(OwnerEpoch epoch, SqlError &error)
{
    const StepStatus locked = lockForWriting("kelptally_raise_fence", error);
    if (locked != StepStatus::Done)
        return locked;
    const OwnerEpoch fence = node_.fence(database());
    if (fence > epoch) {
        error = fencedError(fence);
        return StepStatus::Failed;
    }
    if (fence == epoch)
        return StepStatus::Done;
    const LoggedStatement update {"UPDATE kelptally_fence SET epoch = $1",
                                  {{std::to_string(epoch), ParameterType::Integer}}};
    if (!database().execute(update.sql, update.parameters, error))
        return StepStatus::Failed;
    statements_.push_back(update);
    return StepStatus::Done;
}

StepStatus SqlSession::beginTransaction(const ParsedStatement &statement)
{
    state_ = State::Explicit;
    readOnly_ = statement.readOnly;
    return StepStatus::Done;
}

StepStatus SqlSession::endTransaction(bool commitRequested, std::string &tag, SqlError &error)
{
    tag = commitRequested && state_ != State::Failed ? "COMMIT" : "ROLLBACK";
    const bool commits = tag == "COMMIT";
    const StepStatus status = commits ? commit(error) : StepStatus::Done;
    rollBack();
    state_ = State::Idle;
    readOnly_ = false;
    return status;
}

StepStatus SqlSession::sync(SqlError &error)
{
    if (state_ != State::Idle)
        return StepStatus::Done;
    const StepStatus status = commit(error);
    rollBack();
    return status;
}

StepStatus SqlSession::commit(SqlError &error)
{
    if (lockRequester_.revoked || (!statements_.empty() && !node_.acceptsWrites())) {
        error = readOnlyError("COMMIT");
        return StepStatus::Failed;
    }
    if (!holdsWriterLock())
        return StepStatus::Done;
    return node_.commitWriterTransaction(std::move(statements_), error) ? StepStatus::Done
                                                                        : StepStatus::Failed;
}

void SqlSession::rollBack()
{
    if (holdsWriterLock() && transactionBegun_)
        node_.rollBackWriterTransaction();
    node_.writerLock().release(lockRequester_);
    lockRequester_.revoked = false;
    lockRequester_.timedOut = false;
    transactionBegun_ = false;
    statements_.clear();
}

void SqlSession::fail()
{
    rollBack();
    if (state_ == State::Explicit)
        state_ = State::Failed;
}

void SqlSession::onClientDisconnected()
{
    rollBack();
    state_ = State::Idle;
}

} // namespace kelptally::standin
