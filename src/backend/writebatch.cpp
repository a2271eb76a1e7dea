#include "backend/writebatch.h"

#include "backend/sqltraits.h"

#include <cstdlib>

namespace kelptally::backend {

namespace {

// Maximum difference of two owners' clocks: records are kept this much longer than their keys.
constexpr Duration maxClockDifference = std::chrono::hours(1);

constexpr const char *insertSql =
    "INSERT INTO kelptally_request (key, digest, outcome, attempt, at)"
    " VALUES ($1, $2, $3, $4, $5)";
constexpr const char *updateSql = "UPDATE kelptally_request SET outcome = $2 WHERE key = $1";
constexpr const char *deleteVoidSql =
    "DELETE FROM kelptally_request WHERE key = $1 AND outcome = $2 AND attempt < $3";
constexpr const char *lookupSql = "SELECT digest, outcome FROM kelptally_request WHERE key = $1";
constexpr const char *purgeSql = "DELETE FROM kelptally_request WHERE key IN"
                                 " (SELECT key FROM kelptally_request WHERE at < $1 LIMIT $2)";

std::string recordKey(const WriteRequest &request)
{
    return request.team + "/" + request.key;
}

std::int64_t toSeconds(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

// The time encoded in the key; null for a key without one, whose record is never purged.
Value recordTime(const WriteRequest &request)
{
    const auto time = keyTime(request.key);
    return time ? Value(std::to_string(toSeconds(*time))) : Value();
}

RequestRecord makeVoidRecord()
{
    RequestRecord record;
    record.state = RecordState::Void;
    return record;
}

// The answer to an INSERT of one row.
RequestRecord makeOneRowRecord()
{
    RequestRecord record;
    record.rows.affected = 1;
    return record;
}

// Builds a batch statement by statement.
class BatchBuilder
{
public:
    BatchBuilder(const settings::GroupStatements &statements, const WriteRequest &request)
        : statements_(statements), request_(request)
    { }

    BatchBuilder &add(const char *sql)
    {
        batch_.statements.push_back({sql, {}});
        return *this;
    }
    BatchBuilder &addFence()
    {
        batch_.statements.push_back({statements_.checkFence, {std::to_string(request_.epoch)}});
        return *this;
    }
    BatchBuilder &addRecord(const RequestRecord &record, VoidRecord voidRecord)
    {
        const std::string attempt = std::to_string(request_.attempt);
        if (voidRecord == VoidRecord::Replace)
            batch_.statements.push_back(
                {deleteVoidSql, {recordKey(request_), recordToText(makeVoidRecord()), attempt}});
        batch_.keyIndex = batch_.statements.size();
        batch_.statements.push_back({insertSql,
                                     {recordKey(request_), request_.keyDigest, recordToText(record),
                                      attempt, recordTime(request_)}});
        return *this;
    }
    BatchBuilder &addAnswer(const Rows &answer)
    {
        RequestRecord record;
        record.rows = answer;
        batch_.statements.push_back({updateSql, {recordKey(request_), recordToText(record)}});
        return *this;
    }
    BatchBuilder &addWork()
    {
        batch_.workIndex = batch_.statements.size();
        batch_.statements.push_back(request_.statement);
        return *this;
    }
    BatchBuilder &addOffset()
    {
        batch_.offsetIndex = batch_.statements.size();
        batch_.statements.push_back({statements_.writeOffset, {}});
        return *this;
    }
    WriteBatch take() { return std::move(batch_); }

private:
    const settings::GroupStatements &statements_;
    const WriteRequest &request_;
    WriteBatch batch_;
};

} // namespace

bool fitsSingleBatch(const WriteRequest &request)
{
    return request.key.empty() || inspectSql(request.statement.sql).insertsOneRow;
}

// Code that could end the enclosing transaction runs in an explicit one, in which the server
// refuses that. Other work runs in the batch's implicit transaction.
WriteBatch makeSingleBatch(const settings::GroupStatements &statements, const WriteRequest &request,
                           VoidRecord voidRecord)
{
    const bool runsCode = inspectSql(request.statement.sql).runsCode;
    BatchBuilder builder(statements, request);
    if (runsCode)
        builder.add("BEGIN");
    builder.addFence();
    if (!request.key.empty())
        builder.addRecord(makeOneRowRecord(), voidRecord);
    builder.addWork().addOffset();
    if (runsCode)
        builder.add("COMMIT");
    return builder.take();
}

WriteBatch makeWorkBatch(const settings::GroupStatements &statements, const WriteRequest &request,
                         VoidRecord voidRecord)
{
    BatchBuilder builder(statements, request);
    return builder.add("BEGIN").addFence().addRecord({}, voidRecord).addWork().take();
}

WriteBatch makeRecordBatch(const settings::GroupStatements &statements, const WriteRequest &request,
                           const Rows &answer)
{
    BatchBuilder builder(statements, request);
    return builder.addFence().addAnswer(answer).addOffset().add("COMMIT").take();
}

WriteBatch makeCommitBatch(const settings::GroupStatements &statements, const WriteRequest &request)
{
    BatchBuilder builder(statements, request);
    builder.addFence();
    if (!request.key.empty())
        builder.addRecord({}, VoidRecord::Replace);
    return builder.addOffset().add("COMMIT").take();
}

WriteBatch makeCorrectionBatch(const settings::GroupStatements &statements,
                               const WriteRequest &request, const Rows &answer)
{
    BatchBuilder builder(statements, request);
    return builder.addFence().addAnswer(answer).addOffset().take();
}

WriteBatch makeVoidBatch(const settings::GroupStatements &statements, const WriteRequest &request)
{
    BatchBuilder builder(statements, request);
    return builder.addFence().addRecord(makeVoidRecord(), VoidRecord::Replace).addOffset().take();
}

WriteBatch makeLookupBatch(const settings::GroupStatements &statements, const WriteRequest &request,
                           bool inTransaction)
{
    BatchBuilder builder(statements, request);
    if (inTransaction)
        builder.add("ROLLBACK");
    WriteBatch batch = builder.addFence().take();
    batch.keyIndex = batch.statements.size();
    batch.statements.push_back({lookupSql, {recordKey(request)}});
    batch.offsetIndex = batch.statements.size();
    batch.statements.push_back({statements.writeOffset, {}});
    return batch;
}

std::vector<Statement> makePurgeBatch(const settings::GroupStatements &statements, OwnerEpoch epoch,
                                      WallTime now, Duration keyRetention, int limit)
{
    const auto age =
        std::chrono::duration_cast<std::chrono::seconds>(keyRetention + maxClockDifference);
    return {{statements.checkFence, {std::to_string(epoch)}},
            {purgeSql, {std::to_string(toSeconds(now - age)), std::to_string(limit)}}};
}

std::optional<FoundRecord> findRecord(const WriteBatch &batch, const BatchResult &result)
{
    if (!batch.keyIndex || *batch.keyIndex >= result.rows.size())
        return std::nullopt;
    const Rows &rows = result.rows[*batch.keyIndex];
    if (rows.values.empty() || rows.values.front().size() != 2)
        return std::nullopt;
    const auto &row = rows.values.front();
    FoundRecord found;
    found.digest = row[0].value_or("");
    // An unreadable record counts as completed work.
    RequestRecord unreadable;
    unreadable.rowsMissing = true;
    found.record = recordFromText(row[1].value_or("")).value_or(unreadable);
    return found;
}

LogOffset offsetOf(const WriteBatch &batch, const BatchResult &result)
{
    if (!batch.offsetIndex || *batch.offsetIndex >= result.rows.size())
        return 0;
    const Rows &rows = result.rows[*batch.offsetIndex];
    if (rows.values.empty() || rows.values.front().empty() || !rows.values.front().front())
        return 0;
    return std::strtoull(rows.values.front().front()->c_str(), nullptr, 10);
}

} // namespace kelptally::backend
