#pragma once

#include "decision/failover.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace kelptally::decision {

// A record in the log of a model server. Key 0 marks the start of a term or a raise of the fence.
struct Record
{
    Term term = 0;
    std::uint64_t key = 0;
    std::uint64_t attempt = 0;
    // Epoch of the owner that sent the record.
    OwnerEpoch epoch = 0;
    // Highest epoch that the fence was raised to.
    OwnerEpoch fence = 0;
    // The key was not executed, and this record prevents it from being executed later.
    bool isVoid = false;
};

using Log = std::vector<Record>;

// Replication message of a primary to its replicas. Contains the whole log, which is short in
// tests.
struct Replication
{
    ServerName primary;
    Term term = 0;
    Log log;
    std::vector<TermStart> history;
};

enum class WriteResult {
    Done,
    // The key had already been executed, or recorded as void.
    AlreadyExecuted,
    AlreadyVoid,
    Refused,
};

struct WriteAnswer
{
    WriteResult result = WriteResult::Refused;
    Position position;
};

// Model of one server of a database group: its log, term and fence. It has no I/O and no clock: the
// tests deliver its messages.
class ModelServer
{
public:
    ModelServer(ServerName name, bool primary);

    bool prepare(Term term);
    bool promote(Term term);
    bool follow(const ServerName &primary, Term term);
    bool raiseFence(OwnerEpoch epoch);
    // Appends a record of the key, void if isVoid is set, unless the log already has one.
    WriteAnswer write(OwnerEpoch epoch, std::uint64_t key, std::uint64_t attempt, bool isVoid);

    bool takesWrites() const { return primary_ && prepared_ <= term_; }
    Replication replication() const { return {name_, term_, log_, history_}; }
    void onReplication(const Replication &message);

    ServerReport report() const;
    const ServerName &name() const { return name_; }
    const Log &log() const { return log_; }
    const std::vector<TermStart> &history() const { return history_; }
    // Returns the position of the newest record.
    Position end() const;
    OwnerEpoch fence() const;

private:
    void append(Record record);

    ServerName name_;
    bool primary_ = false;
    // Term of its log, and the highest term that it was prepared for.
    Term term_ = 1;
    Term prepared_ = 1;
    ServerName followedPrimary_;
    Log log_;
    std::vector<TermStart> history_;
};

} // namespace kelptally::decision
