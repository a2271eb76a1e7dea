#pragma once

#include "decision/failover.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace kelptally::decision {

// A record of a model server's log. Operation 0: the record that begins a term, or raises the
// fence.
struct Record
{
    Term term = 0;
    std::uint64_t key = 0;
    std::uint64_t attempt = 0;
    // Of the owner that sent it.
    OwnerEpoch epoch = 0;
    // Newest epoch that the fence was raised to.
    OwnerEpoch fence = 0;
    // Says that the key has not run, and keeps it from running.
    bool isVoid = false;
};

using Log = std::vector<Record>;

// What a primary sends to those that follow it: its whole log, which is short in these tests.
struct Replication
{
    ServerName primary;
    Term term = 0;
    Log log;
    std::vector<TermStart> history;
};

enum class WriteResult {
    Done,
    // The key had run, or had been recorded as void, earlier.
    AlreadyExecuted,
    AlreadyVoid,
    Refused,
};

struct WriteAnswer
{
    WriteResult result = WriteResult::Refused;
    Position position;
};

// One server of a database group, reduced to what the decisions can see of it. Without I/O and
// time: the tests carry its messages.
class ModelServer
{
public:
    ModelServer(ServerName name, bool primary);

    bool prepare(Term term);
    bool promote(Term term);
    bool follow(const ServerName &primary, Term term);
    bool raiseFence(OwnerEpoch epoch);
    // Records the key, or that it is void, unless it is there already.
    WriteAnswer write(OwnerEpoch epoch, std::uint64_t key, std::uint64_t attempt, bool isVoid);

    bool takesWrites() const { return primary_ && prepared_ <= term_; }
    Replication replication() const { return {name_, term_, log_, history_}; }
    void onReplication(const Replication &message);

    ServerReport report() const;
    const ServerName &name() const { return name_; }
    const Log &log() const { return log_; }
    const std::vector<TermStart> &history() const { return history_; }
    Position end() const;
    OwnerEpoch fence() const;

private:
    void append(Record record);

    ServerName name_;
    bool primary_ = false;
    // Of the log it leads or follows, and the newest that it promised to.
    Term term_ = 1;
    Term prepared_ = 1;
    ServerName followedPrimary_;
    Log log_;
    std::vector<TermStart> history_;
};

} // namespace kelptally::decision
