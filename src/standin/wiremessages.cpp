#include "standin/databaseserver.h"
#include "standin/wiresession.h"

#include <algorithm>

// Handlers of the frontend messages.
namespace kelptally::standin {

namespace {

const SqlError canceledError {"57014", "canceling statement due to user request"};

// Returns the SQLite type as which a parameter of this PostgreSQL type OID (pg_type) is bound.
ParameterType parameterTypeOf(int oid)
{
    switch (oid) {
    case 20: // int8
    case 21: // int2
    case 23: // int4
        return ParameterType::Integer;
    case 700: // float4
    case 701: // float8
        return ParameterType::Real;
    default:
        return ParameterType::Text;
    }
}

} // namespace

StepStatus WireSession::handle(char type, std::string_view body)
{
    SqlError error;
    StepStatus status = StepStatus::Done;
    if (canceled_ && type != 'S' && type != 'X' && type != 'Q') {
        canceled_ = false;
        error = canceledError;
        status = StepStatus::Failed;
    } else {
        switch (type) {
        case 'P':
            status = handleParse(body, error);
            break;
        case 'B':
            status = handleBind(body, error);
            break;
        case 'D':
            status = handleDescribe(body, error);
            break;
        case 'E':
            status = handleExecute(body, error);
            break;
        case 'C':
            status = handleClose(body, error);
            break;
        case 'H':
            break;
        case 'S':
            return handleSync();
        case 'Q':
            return handleSimpleQuery(body);
        case 'X':
            closeWhenSent_ = true;
            return StepStatus::Done;
        default:
            sendFatalError(protocolError);
            return StepStatus::Done;
        }
    }
    if (status == StepStatus::Failed) {
        writer_.errorResponse("ERROR", error);
        sql_.fail();
        skipToSync_ = true;
    }
    return status;
}

StepStatus WireSession::handleParse(std::string_view body, SqlError &error)
{
    WireReader reader(body);
    const std::string name(reader.readString());
    const std::string sql(reader.readString());
    PreparedStatement prepared;
    const std::size_t count = reader.readInt16();
    for (std::size_t i = 0; i < count && reader.good(); ++i)
        prepared.typeOids.push_back(int(reader.readInt32()));
    if (!reader.good()) {
        error = protocolError;
        return StepStatus::Failed;
    }
    prepared.statement = server_.parse(sql);
    const bool shouldDescribe = sql_.transactionStatus() != 'E';
    std::vector<Column> columns;
    if (shouldDescribe && sql_.describe(*prepared.statement, columns, error) == StepStatus::Failed)
        return StepStatus::Failed;
    preparedStatements_[name] = std::move(prepared);
    writer_.parseComplete();
    return StepStatus::Done;
}

StepStatus WireSession::handleBind(std::string_view body, SqlError &error)
{
    WireReader reader(body);
    const std::string portalName(reader.readString());
    const std::string_view statementName = reader.readString();
    const auto found = preparedStatements_.find(statementName);
    if (found == preparedStatements_.end()) {
        error = {"26000", "prepared statement does not exist"};
        return StepStatus::Failed;
    }
    bool binary = false;
    const std::size_t formats = reader.readInt16();
    for (std::size_t i = 0; i < formats && reader.good(); ++i)
        binary = reader.readInt16() != 0 || binary;
    Portal portal;
    portal.statement = found->second.statement;
    const std::vector<int> &oids = found->second.typeOids;
    const std::size_t count = reader.readInt16();
    for (std::size_t i = 0; i < count && reader.good(); ++i) {
        const std::uint32_t length = reader.readInt32();
        Parameter parameter;
        parameter.type = parameterTypeOf(i < oids.size() ? oids[i] : 0);
        if (length != 0xffffffff)
            parameter.value = std::string(reader.readBytes(length));
        portal.parameters.push_back(std::move(parameter));
    }
    const std::size_t resultFormats = reader.readInt16();
    for (std::size_t i = 0; i < resultFormats && reader.good(); ++i)
        binary = reader.readInt16() != 0 || binary;
    if (!reader.good() || binary) {
        error = binary ? SqlError {"0A000", "the stand-in supports only the text format"}
                       : protocolError;
        return StepStatus::Failed;
    }
    portals_[portalName] = std::move(portal);
    writer_.bindComplete();
    return StepStatus::Done;
}

StepStatus WireSession::handleDescribe(std::string_view body, SqlError &error)
{
    WireReader reader(body);
    const char objectKind = char(reader.readByte());
    const std::string_view name = reader.readString();
    ParsedStatementPtr statement;
    if (objectKind == 'S') {
        const auto found = preparedStatements_.find(name);
        if (found != preparedStatements_.end()) {
            statement = found->second.statement;
            writer_.parameterDescription(found->second.typeOids);
        }
    } else if (const auto found = portals_.find(name); found != portals_.end()) {
        statement = found->second.statement;
    }
    if (!statement) {
        error = {objectKind == 'S' ? "26000" : "34000",
                 "prepared statement or portal does not exist"};
        return StepStatus::Failed;
    }
    std::vector<Column> columns;
    if (sql_.describe(*statement, columns, error) == StepStatus::Failed)
        return StepStatus::Failed;
    if (columns.empty())
        writer_.noData();
    else
        writer_.rowDescription(columns);
    return StepStatus::Done;
}

StepStatus WireSession::handleExecute(std::string_view body, SqlError &error)
{
    WireReader reader(body);
    const auto found = portals_.find(reader.readString());
    if (found == portals_.end()) {
        error = {"34000", "portal does not exist"};
        return StepStatus::Failed;
    }
    return runStatement(*found->second.statement, found->second.parameters, error);
}

StepStatus WireSession::runStatement(const ParsedStatement &statement,
                                     const std::vector<Parameter> &parameters, SqlError &error)
{
    if (reserveServiceTime(statement) == StepStatus::Pending)
        return StepStatus::Pending;
    std::string tag;
    const RowSink sink = [this](const auto &row) { writer_.dataRow(row); };
    const StepStatus status = sql_.execute(statement, parameters, sink, tag, error);
    if (status == StepStatus::Pending)
        return status;
    if (statement.usesServiceTime)
        reservedStatements_ = std::max(0, reservedStatements_ - 1);
    if (status == StepStatus::Failed)
        return status;
    if (tag.empty())
        writer_.emptyQueryResponse();
    else
        writer_.commandComplete(tag);
    return StepStatus::Done;
}

// Reserves the service time of all statements up to the next Sync before the first one runs, so
// that only an explicit transaction holds the writer lock during service time.
StepStatus WireSession::reserveServiceTime(const ParsedStatement &statement)
{
    const Duration service = server_.limits().serviceTime;
    if (service.count() == 0 || reservedStatements_ > 0 || !statement.usesServiceTime)
        return StepStatus::Done;
    reservedStatements_ = simpleQueryActive_ ? int(simpleStatements_.size() - nextSimpleStatement_)
                                             : countBufferedStatements();
    server_.occupySlot(service * reservedStatements_, wakeFunction());
    return StepStatus::Pending;
}

// Counts the buffered statements up to the next Sync that use service time, with the current one.
int WireSession::countBufferedStatements() const
{
    int count = 1;
    std::map<std::string_view, ParsedStatementPtr> parsed;
    ParsedStatementPtr bound;
    std::string_view remaining = std::string_view(inputBuffer_).substr(consumedBytes_);
    std::size_t length = firstInt32(remaining.substr(1)) + 1;
    while (length < remaining.size()) {
        remaining.remove_prefix(length);
        if (remaining.size() < 5 || remaining[0] == 'S')
            break;
        length = firstInt32(remaining.substr(1)) + 1;
        WireReader reader(remaining.substr(5));
        const std::string_view first = reader.readString();
        if (remaining[0] == 'P') {
            parsed[first] = server_.parse(std::string(reader.readString()));
        } else if (remaining[0] == 'B') {
            const std::string_view name = reader.readString();
            const auto known = preparedStatements_.find(name);
            bound = parsed.count(name) != 0          ? parsed[name]
                : known != preparedStatements_.end() ? known->second.statement
                                                     : nullptr;
        } else if (remaining[0] == 'E' && bound && bound->usesServiceTime) {
            ++count;
        }
    }
    return count;
}

StepStatus WireSession::handleClose(std::string_view body, SqlError &error)
{
    WireReader reader(body);
    const char objectKind = char(reader.readByte());
    const std::string name(reader.readString());
    if (!reader.good()) {
        error = protocolError;
        return StepStatus::Failed;
    }
    if (objectKind == 'S')
        preparedStatements_.erase(name);
    else
        portals_.erase(name);
    writer_.closeComplete();
    return StepStatus::Done;
}

StepStatus WireSession::handleSync()
{
    SqlError error;
    if (!skipToSync_ && sql_.sync(error) == StepStatus::Failed)
        writer_.errorResponse("ERROR", error);
    skipToSync_ = false;
    canceled_ = false;
    reservedStatements_ = 0;
    if (sql_.transactionStatus() == 'I')
        portals_.clear();
    writer_.readyForQuery(sql_.transactionStatus());
    return StepStatus::Done;
}

// Runs the statements of a simple query in one implicit transaction, like Parse, Bind and Execute
// of each with a Sync at the end.
StepStatus WireSession::handleSimpleQuery(std::string_view body)
{
    if (!simpleQueryActive_) {
        simpleStatements_ = splitStatements(WireReader(body).readString());
        nextSimpleStatement_ = 0;
        simpleQueryActive_ = true;
        if (simpleStatements_.empty())
            writer_.emptyQueryResponse();
    }
    SqlError error;
    StepStatus status = StepStatus::Done;
    while (nextSimpleStatement_ < simpleStatements_.size() && status == StepStatus::Done) {
        status = canceled_ ? StepStatus::Failed
                           : runSimpleStatement(simpleStatements_[nextSimpleStatement_], error);
        if (status == StepStatus::Pending)
            return status;
        ++nextSimpleStatement_;
    }
    if (status == StepStatus::Failed) {
        writer_.errorResponse("ERROR", canceled_ ? canceledError : error);
        sql_.fail();
        skipToSync_ = true;
    }
    simpleQueryActive_ = false;
    return handleSync();
}

StepStatus WireSession::runSimpleStatement(const std::string &sql, SqlError &error)
{
    const ParsedStatementPtr statement = server_.parse(sql);
    if (reserveServiceTime(*statement) == StepStatus::Pending)
        return StepStatus::Pending;
    std::vector<Column> columns;
    const bool shouldDescribe = sql_.transactionStatus() != 'E';
    if (shouldDescribe && sql_.describe(*statement, columns, error) == StepStatus::Failed)
        return StepStatus::Failed;
    const std::size_t before = writer_.buffer().size();
    if (!columns.empty())
        writer_.rowDescription(columns);
    const StepStatus status = runStatement(*statement, {}, error);
    if (status != StepStatus::Done)
        writer_.buffer().resize(before);
    return status;
}

} // namespace kelptally::standin
