#include "standin/node.h"

#include <glog/logging.h>

#include <algorithm>

namespace kelptally::standin {

namespace {

constexpr Term firstTerm = 1;
constexpr std::size_t maxRecordsPerFetch = 2000;
// Records are not pushed to a replica whose last fetch is older than this.
constexpr Duration replicaTimeout = std::chrono::seconds(2);

// System tables and views of each server. The views show the values of stateValue().
constexpr const char *systemSchema = R"sql(
CREATE TABLE kelptally_fence(epoch BIGINT);
INSERT INTO kelptally_fence VALUES (0);
CREATE TABLE kelptally_request(key TEXT PRIMARY KEY, digest TEXT, outcome TEXT, attempt BIGINT,
                               at BIGINT);
CREATE VIEW kelptally_status AS
    SELECT kelptally_fact('term') AS term, kelptally_fact('role') AS role,
           kelptally_fact('received') AS received, kelptally_fact('applied') AS applied,
           (SELECT epoch FROM kelptally_fence) AS fence,
           kelptally_fact('applied_term') AS applied_term,
           kelptally_fact('received_term') AS received_term;
CREATE VIEW kelptally_history AS
    SELECT json_extract(value, '$[0]') AS term, json_extract(value, '$[1]') AS start
    FROM json_each(kelptally_fact('history'));
)sql";

SqlError staleTermError(const std::string &message)
{
    return {"KT001", message};
}

} // namespace

Node::Node(ServerName name, std::string schema, TimerService &timers, PeerNetwork &network)
    : name_(std::move(name)), schema_(std::move(schema)), timers_(timers), network_(network),
      writerLock_(timers), applyQueue_(timers)
{
    resetDatabases();
}

void Node::resetDatabases()
{
    committedDatabase_ = std::make_unique<SqliteDatabase>();
    writerDatabase_ = std::make_unique<SqliteDatabase>();
    for (SqliteDatabase *database : {committedDatabase_.get(), writerDatabase_.get()})
        database->setStateLookup([this](std::string_view name) { return stateValue(name); });
    SqlError error;
    CHECK(committedDatabase_->executeScript(systemSchema, error)) << error.message;
    if (!committedDatabase_->executeScript(schema_, error))
        LOG(ERROR) << "event=schema-failed server=" << name_ << " cause=\"" << error.message
                   << "\"";
    applied_ = 0;
}

void Node::install(const ServerName &initialPrimary)
{
    preparedTerm_ = firstTerm;
    term_ = firstTerm;
    history_ = {{firstTerm, 1}};
    primary_ = initialPrimary == name_;
    if (primary_)
        writerDatabase_->copyFrom(*committedDatabase_);
    else
        replicationSource_ = ReplicationSource {initialPrimary, firstTerm, false};
}

void Node::eraseState()
{
    stopWriter();
    applyQueue_.clear();
    log_ = {};
    history_.clear();
    term_ = 0;
    preparedTerm_ = 0;
    primary_ = false;
    replicationSource_.reset();
    replicas_.clear();
    resetDatabases();
}

void Node::restart()
{
    stopWriter();
    replicas_.clear();
}

bool Node::prepare(Term term, SqlError &error)
{
    if (term < preparedTerm_ || (term <= term_ && term != preparedTerm_)) {
        error = staleTermError("term " + std::to_string(std::max(preparedTerm_, term_))
                               + " is already prepared");
        return false;
    }
    preparedTerm_ = term;
    if (primary_ && !acceptsWrites())
        stopWriter();
    return true;
}

bool Node::promote(Term term, SqlError &error)
{
    if (primary_ && term_ == term && acceptsWrites())
        return true;
    if (term != preparedTerm_ || term <= term_
        || (replicationSource_ && replicationSource_->term == term)) {
        error = staleTermError("term " + std::to_string(term) + " is not prepared here");
        return false;
    }
    // 1. Apply all received records.
    applyQueue_.clear();
    applyUpTo(endOffset());
    // 2. Start the new term after them. Terms that start later are not in this log.
    const LogOffset start = endOffset() + 1;
    while (!history_.empty() && history_.back().start > start)
        history_.pop_back();
    history_.push_back({term, start});
    // 3. Append an empty first record: a replica that holds it also holds all records of earlier
    // terms, even without further writes.
    auto first = std::make_shared<Record>();
    first->position = {term, start};
    log_.append(first);
    applyUpTo(start);
    // 4. Accept writes.
    writerDatabase_->copyFrom(*committedDatabase_);
    term_ = term;
    primary_ = true;
    replicationSource_.reset();
    replicas_.clear();
    LOG(INFO) << "event=promoted server=" << name_ << " term=" << term << " start=" << start;
    return true;
}

bool Node::follow(const ServerName &primary, Term term, SqlError &error)
{
    const bool leadsTerm = primary_ && term == term_;
    if (term < preparedTerm_ || term < term_ || leadsTerm || primary == name_) {
        error = staleTermError("cannot follow " + primary + " in term " + std::to_string(term));
        return false;
    }
    if (replicationSource_ && replicationSource_->primary == primary
        && replicationSource_->term == term)
        return true;
    stopWriter();
    preparedTerm_ = term;
    primary_ = false;
    replicationSource_ = ReplicationSource {primary, term, false};
    fetch();
    return true;
}

OwnerEpoch Node::fence(SqliteDatabase &database) const
{
    SqlError error;
    OwnerEpoch epoch = 0;
    std::size_t affected = 0;
    SqlStatement *statement = database.prepare("SELECT epoch FROM kelptally_fence", error);
    const RowSink sink = [&](const auto &row) {
        epoch = row[0] ? std::stoull(std::string(*row[0])) : 0;
    };
    CHECK(statement != nullptr && database.run(*statement, {}, sink, affected, error))
        << error.message;
    return epoch;
}

void Node::beginWriterTransaction()
{
    SqlError error;
    CHECK(writerDatabase_->execute("BEGIN", {}, error)) << error.message;
    writerTransactionOpen_ = true;
}

void Node::rollBackWriterTransaction()
{
    if (!writerTransactionOpen_)
        return;
    SqlError error;
    writerDatabase_->execute("ROLLBACK", {}, error);
    writerTransactionOpen_ = false;
}

void Node::stopWriter()
{
    rollBackWriterTransaction();
    writerLock_.revoke();
}

bool Node::commitWriterTransaction(std::vector<LoggedStatement> statements, SqlError &error)
{
    if (statements.empty()) {
        rollBackWriterTransaction();
        return true;
    }
    if (!writerDatabase_->execute("COMMIT", {}, error)) {
        rollBackWriterTransaction();
        return false;
    }
    writerTransactionOpen_ = false;
    const Position before = log_.end();
    auto record = std::make_shared<Record>();
    record->position = {term_, before.offset + 1};
    record->statements = std::move(statements);
    log_.append(record);
    applyUpTo(endOffset());
    pushToReplicas(record, before);
    return true;
}

void Node::pushToReplicas(const RecordPtr &record, Position before)
{
    const Instant now = timers_.now();
    for (const auto &[replica, lastFetch] : replicas_) {
        if (now - lastFetch > replicaTimeout)
            continue;
        AppendMessage message {term_, before, {record}, {}, std::nullopt};
        network_.send(replica, [message](Node &node) { node.onAppend(message); });
    }
}

void Node::onFetch(const FetchMessage &message)
{
    if (!primary_ || message.term != term_)
        return;
    replicas_[message.replica] = timers_.now();
    AppendMessage answer;
    answer.term = term_;
    answer.history = history_;
    answer.fetchedEnd = message.end;
    const LogOffset common = log_.commonOffset(message.termRanges);
    answer.common = log_.positionAt(common);
    const LogOffset last = std::min<LogOffset>(endOffset(), common + maxRecordsPerFetch);
    for (LogOffset offset = common + 1; offset <= last; ++offset)
        answer.records.push_back(log_.record(offset));
    network_.send(message.replica, [answer](Node &node) { node.onAppend(answer); });
}

void Node::onAppend(const AppendMessage &message)
{
    if (!replicationSource_ || message.term != replicationSource_->term
        || message.term < preparedTerm_)
        return;
    if (message.fetchedEnd && *message.fetchedEnd == log_.end()) {
        if (message.common.offset < endOffset())
            truncate(message.common.offset);
        replicationSource_->logsMatch = true;
    }
    if (!replicationSource_->logsMatch || log_.positionAt(message.common.offset) != message.common)
        return;
    term_ = message.term;
    if (!message.history.empty())
        history_ = message.history;
    for (const RecordPtr &record : message.records) {
        if (record->position.offset == endOffset() + 1)
            receive(record);
    }
}

void Node::receive(const RecordPtr &record)
{
    const LogOffset offset = record->position.offset;
    log_.append(record);
    applyQueue_.push(timers_.now() + replicationLag_, [this, offset] { applyUpTo(offset); });
}

void Node::applyUpTo(LogOffset offset)
{
    const LogOffset last = std::min(offset, endOffset());
    while (applied_ < last)
        applyRecord(*log_.record(++applied_));
}

void Node::applyRecord(const Record &record)
{
    SqlError error;
    bool good = committedDatabase_->execute("BEGIN", {}, error);
    for (const LoggedStatement &statement : record.statements)
        good = good && committedDatabase_->execute(statement.sql, statement.parameters, error);
    good = good && committedDatabase_->execute("COMMIT", {}, error);
    if (good)
        return;
    LOG(ERROR) << "event=apply-failed server=" << name_ << " offset=" << record.position.offset
               << " cause=\"" << error.message << "\"";
    committedDatabase_->execute("ROLLBACK", {}, error);
}

void Node::truncate(LogOffset offset)
{
    LOG(INFO) << "event=records-dropped server=" << name_ << " from=" << endOffset()
              << " to=" << offset;
    applyQueue_.clear();
    log_.truncate(offset);
    if (applied_ > offset)
        resetDatabases();
    applyUpTo(offset);
}

void Node::onTick()
{
    if (replicationSource_)
        fetch();
}

void Node::fetch()
{
    FetchMessage message {name_, replicationSource_->term, log_.end(), log_.termRanges()};
    network_.send(replicationSource_->primary, [message](Node &node) { node.onFetch(message); });
}

std::string Node::stateValue(std::string_view name) const
{
    if (name == "term")
        return std::to_string(std::max(preparedTerm_, term_));
    if (name == "role")
        return acceptsWrites() ? "primary" : "replica";
    if (name == "received")
        return std::to_string(endOffset());
    if (name == "applied")
        return std::to_string(applied_);
    if (name == "applied_term")
        return std::to_string(log_.positionAt(applied_).term);
    if (name == "received_term")
        return std::to_string(log_.end().term);
    if (name == "history")
        return historyJson();
    return {};
}

std::string Node::historyJson() const
{
    std::string text = "[";
    for (const TermStart &termStart : history_) {
        text += text.size() > 1 ? "," : "";
        text += "[" + std::to_string(termStart.term) + "," + std::to_string(termStart.start) + "]";
    }
    return text + "]";
}

} // namespace kelptally::standin
