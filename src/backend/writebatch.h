#pragma once

#include "backend/backendserver.h"
#include "backend/requestrecord.h"
#include "core/types.h"
#include "settings/inventory.h"

#include <optional>
#include <string>
#include <vector>

// The batches that a write is made of.
namespace kelptally::backend {

// Orders the attempts at requests of one group, over all its owners.
using AttemptNumber = std::uint64_t;

constexpr int attemptEpochShift = 36;

// The nth attempt that the owner of an epoch makes.
constexpr AttemptNumber makeAttemptNumber(OwnerEpoch epoch, std::uint64_t nth)
{
    return (epoch << attemptEpochShift) | nth;
}

// One write at the primary.
struct WriteRequest
{
    Statement statement;
    // Idempotency key of the caller and the team it belongs to; no key: the write is not recorded.
    std::string key;
    TeamName team;
    // Digest of the request that the key stands for.
    std::string keyDigest;
    // Epoch of the owner that sends it; the fence row refuses older ones.
    OwnerEpoch epoch = 0;
    // Number of this attempt, higher than that of each attempt before it (see makeAttemptNumber).
    AttemptNumber attempt = 0;
    // Time of day, against the time that the key carries, and how long records are kept.
    WallTime now;
    Duration keyRetention {std::chrono::hours(24)};
};

// SQLSTATEs that a write looks for.
constexpr const char *uniqueViolationState = "23505";
constexpr const char *fencedState = "KF001";
constexpr const char *readOnlyState = "25006";

// A batch and the places of its parts.
struct WriteBatch
{
    std::vector<Statement> statements;
    std::optional<std::size_t> keyIndex;
    std::optional<std::size_t> workIndex;
    std::optional<std::size_t> offsetIndex;
};

// Whether the whole write goes out in one batch: it is not recorded, or its answer is known before
// it runs (an INSERT of one row). Else its transaction takes two: the work, and then its recorded
// answer with the commit.
bool fitsSingleBatch(const WriteRequest &request);

// Whether a void record in the place of the key is taken away first, when an earlier attempt left
// it. One that is newer than this attempt stays, and the batch fails on it.
enum class VoidRecord {
    Keep,
    Replace,
};

// The whole write, committed at its end.
WriteBatch makeSingleBatch(const settings::GroupStatements &statements, const WriteRequest &request,
                           VoidRecord voidRecord);
// Begins a transaction and does the work in it.
WriteBatch makeWorkBatch(const settings::GroupStatements &statements, const WriteRequest &request,
                         VoidRecord voidRecord);
// Records the answer and commits.
WriteBatch makeRecordBatch(const settings::GroupStatements &statements, const WriteRequest &request,
                           const Rows &answer);
// Commits a caller's transaction, recorded when there is a key.
WriteBatch makeCommitBatch(const settings::GroupStatements &statements,
                           const WriteRequest &request);
// Corrects the recorded answer of a write that is committed.
WriteBatch makeCorrectionBatch(const settings::GroupStatements &statements,
                               const WriteRequest &request, const Rows &answer);
// Records that no attempt up to this one can ever commit.
WriteBatch makeVoidBatch(const settings::GroupStatements &statements, const WriteRequest &request);
// Reads the record of the key, after the end of a failed transaction when there is one.
WriteBatch makeLookupBatch(const settings::GroupStatements &statements, const WriteRequest &request,
                           bool inTransaction);
// Deletes records whose keys have expired for more than the clocks of two owners may differ, at
// most so many.
std::vector<Statement> makePurgeBatch(const settings::GroupStatements &statements, OwnerEpoch epoch,
                                      WallTime now, Duration keyRetention, int limit);

// The record as the lookup found it.
struct FoundRecord
{
    std::string digest;
    RequestRecord record;
};
std::optional<FoundRecord> findRecord(const WriteBatch &batch, const BatchResult &result);

// The log offset that the batch read; 0 when it did not.
LogOffset offsetOf(const WriteBatch &batch, const BatchResult &result);

} // namespace kelptally::backend
