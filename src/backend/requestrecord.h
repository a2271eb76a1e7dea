#pragma once

#include "core/clock.h"
#include "core/rows.h"

#include <chrono>
#include <optional>
#include <string>

// Record of a request with an idempotency key, which makes it run at most once: a row of the table
// kelptally_request, written in the same transaction as the work. See docs/design/atmostonce.md.
namespace kelptally::backend {

using WallTime = std::chrono::system_clock::time_point;

enum class RecordState {
    // The work is committed; the record holds its answer.
    Done,
    // An attempt was abandoned before it committed and can never commit while the record exists.
    Void,
};

// Content of the column `outcome`, as JSON.
struct RequestRecord
{
    RecordState state = RecordState::Done;
    // Answer of completed work.
    Rows rows;
    // The rows were too large to be recorded.
    bool rowsMissing = false;
};

// Larger answers are recorded without their rows.
constexpr std::size_t maxRecordedBytes = 64u << 10;

std::string recordToText(const RequestRecord &record);
// Returns nothing if the text is not a valid record.
std::optional<RequestRecord> recordFromText(const std::string &text);

// Returns the time encoded in a key, either as a UUID of version 7 (RFC 9562) or as "<Unix time in
// seconds, 10 digits>-<anything>"; nothing for other keys.
std::optional<WallTime> keyTime(const std::string &key);

// Whether a key is older than the retention of its record. A key without a time never expires: its
// record is kept forever.
bool isKeyExpired(const std::string &key, WallTime now, Duration retention);

} // namespace kelptally::backend
