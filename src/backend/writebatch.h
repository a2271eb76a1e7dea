#pragma once

#include "backend/backendserver.h"
#include "backend/requestrecord.h"
#include "core/types.h"
#include "settings/inventory.h"

#include <optional>
#include <string>
#include <vector>

// Builds the batches of a write.
namespace kelptally::backend {

// Orders all attempts in one group, across its owners.
using AttemptNumber = std::uint64_t;

constexpr int attemptEpochShift = 36;

// Number of the nth attempt of an owner in an epoch.
constexpr AttemptNumber makeAttemptNumber(OwnerEpoch epoch, std::uint64_t nth)
{
    return (epoch << attemptEpochShift) | nth;
}

// A write to run at the primary.
struct WriteRequest
{
    Statement statement;
    // The caller's idempotency key and team. Without a key the write is not recorded.
    std::string key;
    TeamName team;
    // Digest of the request, to detect a key reused for another request.
    std::string keyDigest;
    // Epoch of the sending owner; the server's fence rejects older epochs.
    OwnerEpoch epoch = 0;
    // Higher than that of all earlier attempts (see makeAttemptNumber).
    AttemptNumber attempt = 0;
    // Time of day and retention of records, to detect expired keys.
    WallTime now;
    Duration keyRetention {std::chrono::hours(24)};
};

// SQLSTATEs handled by writes.
constexpr const char *uniqueViolationState = "23505";
constexpr const char *fencedState = "KF001";
constexpr const char *readOnlyState = "25006";

// A batch and the indexes of its statements.
struct WriteBatch
{
    std::vector<Statement> statements;
    std::optional<std::size_t> keyIndex;
    std::optional<std::size_t> workIndex;
    std::optional<std::size_t> offsetIndex;
};

// Whether the write takes a single batch: it is not recorded, or its answer is known in advance (an
// INSERT of one row). Otherwise its transaction takes two: the work, then the recorded answer and
// the commit.
bool fitsSingleBatch(const WriteRequest &request);

// Whether an earlier attempt's void record of the key is deleted first. A void record newer than
// this attempt stays, and the batch fails on it.
enum class VoidRecord {
    Keep,
    Replace,
};

// The whole write, including its commit.
WriteBatch makeSingleBatch(const settings::GroupStatements &statements, const WriteRequest &request,
                           VoidRecord voidRecord);
// Begins a transaction and runs the work in it.
WriteBatch makeWorkBatch(const settings::GroupStatements &statements, const WriteRequest &request,
                         VoidRecord voidRecord);
// Records the answer and commits.
WriteBatch makeRecordBatch(const settings::GroupStatements &statements, const WriteRequest &request,
                           const Rows &answer);
// Commits a caller's transaction, with a record if there is a key.
WriteBatch makeCommitBatch(const settings::GroupStatements &statements,
                           const WriteRequest &request);
// Replaces the recorded answer of a committed write.
WriteBatch makeCorrectionBatch(const settings::GroupStatements &statements,
                               const WriteRequest &request, const Rows &answer);
// Writes a void record: no attempt up to this one can commit any more.
WriteBatch makeVoidBatch(const settings::GroupStatements &statements, const WriteRequest &request);
// Reads the record of the key; first rolls back a failed transaction, if any.
WriteBatch makeLookupBatch(const settings::GroupStatements &statements, const WriteRequest &request,
                           bool inTransaction);
// Deletes, up to the limit, records whose keys have expired for longer than the clocks of two
// owners may differ.
std::vector<Statement> makePurgeBatch(const settings::GroupStatements &statements, OwnerEpoch epoch,
                                      WallTime now, Duration keyRetention, int limit);

// A record as read by a lookup.
struct FoundRecord
{
    std::string digest;
    RequestRecord record;
};
std::optional<FoundRecord> findRecord(const WriteBatch &batch, const BatchResult &result);

// Returns the log offset that the batch read; 0 if it read none.
LogOffset offsetOf(const WriteBatch &batch, const BatchResult &result);

} // namespace kelptally::backend
