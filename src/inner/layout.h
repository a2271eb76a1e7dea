#pragma once

#include "inner/messages.h"

// The fields of each message in the order of its CBOR array, for both directions: the archive is a
// CborWriter or a CborReader. New fields are only added at the end, with a default that keeps the
// behaviour of older versions.
namespace kelptally::inner {

// Bounds of a message, in bytes and elements. An item is a field, a list or an element of a list.
constexpr std::size_t maxItems = 1u << 18;
constexpr std::size_t maxNameBytes = 256;
constexpr std::size_t maxTransactionBytes = 512;
constexpr std::size_t maxTextBytes = 64u << 10;
constexpr std::size_t maxSqlBytes = 1u << 20;
constexpr std::size_t maxDocumentBytes = maxFrameBytes;
constexpr std::size_t maxColumns = 2048;
constexpr std::size_t maxParameters = 65535;
constexpr std::size_t maxRows = 1u << 18;
constexpr std::size_t maxGroups = 8192;
constexpr std::size_t maxServers = 64;
constexpr std::size_t maxTableSubscriptions = 16;
constexpr std::size_t maxTableUpdateRows = 512;
// Names and values of a session together.
constexpr std::size_t maxSessionTexts = 512;

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const Hello &)
{
    archive.number(m.newestVersion);
    archive.number(m.oldestVersion);
    archive.record(m.process);
    archive.text(m.host, maxNameBytes);
    archive.text(m.zone, maxNameBytes);
    archive.number(m.configVersion);
    archive.text(m.nonce, maxNameBytes);
    archive.text(m.proof, maxNameBytes);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const ProcessId &)
{
    archive.text(m.address, maxNameBytes);
    archive.number(m.incarnation);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const Position &)
{
    archive.number(m.term);
    archive.number(m.offset);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const Execute &)
{
    archive.number(m.requestId);
    archive.text(m.group, maxNameBytes);
    archive.text(m.team, maxNameBytes);
    archive.text(m.kind, maxNameBytes);
    archive.choice(m.step, StatementStep::Rollback);
    archive.text(m.transaction, maxTransactionBytes);
    archive.text(m.sql, maxSqlBytes);
    archive.values(m.parameters, maxParameters);
    archive.flag(m.readOnly);
    archive.text(m.key, maxNameBytes);
    archive.text(m.keyDigest, maxNameBytes);
    archive.duration(m.statedAge);
    archive.duration(m.timeLeft);
    archive.record(m.sessionPosition);
    archive.number(m.attempt);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const Rows &)
{
    archive.texts(m.columns, maxColumns, maxNameBytes);
    archive.rows(m.values, maxRows, maxColumns);
    archive.number(m.affected);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const ExecuteResult &)
{
    archive.number(m.requestId);
    archive.reason(m.reason);
    archive.choice(m.executed, Executed::Unknown);
    archive.text(m.detail, maxTextBytes);
    archive.record(m.rows);
    archive.number(m.rowCount);
    archive.number(m.byteLength);
    archive.record(m.position);
    archive.duration(m.age);
    archive.duration(m.ownerTime);
    archive.flag(m.fromReplica);
    archive.text(m.server, maxNameBytes);
    archive.flag(m.replayed);
    archive.text(m.transaction, maxTransactionBytes);
    archive.duration(m.retryAfter);
    archive.text(m.ownerHint, maxNameBytes);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const Cancel &)
{
    archive.number(m.requestId);
    archive.text(m.group, maxNameBytes);
    archive.text(m.transaction, maxTransactionBytes);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const GroupHeartbeat &)
{
    archive.text(m.group, maxNameBytes);
    archive.number(m.epoch);
    archive.number(m.sequence);
    archive.number(m.term);
    archive.text(m.primary, maxNameBytes);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const Heartbeat &)
{
    archive.record(m.from);
    archive.number(m.configVersion);
    archive.records(m.groups, maxGroups);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const GroupHeartbeatAnswer &)
{
    archive.text(m.group, maxNameBytes);
    archive.number(m.epoch);
    archive.number(m.sequence);
    archive.flag(m.promised);
    archive.number(m.knownEpoch);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const HeartbeatAnswer &)
{
    archive.record(m.from);
    archive.number(m.configVersion);
    archive.records(m.groups, maxGroups);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const Locate &)
{
    archive.number(m.requestId);
    archive.text(m.group, maxNameBytes);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const LocateAnswer &)
{
    archive.number(m.requestId);
    archive.record(m.from);
    archive.text(m.group, maxNameBytes);
    archive.number(m.epoch);
    archive.text(m.owner, maxNameBytes);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const HandOver &)
{
    archive.text(m.group, maxNameBytes);
    archive.number(m.newEpoch);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const ConfigNotice &)
{
    archive.number(m.version);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const ConfigRequest &)
{
    archive.number(m.requestId);
    archive.number(m.minVersion);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const ConfigAnswer &)
{
    archive.number(m.requestId);
    archive.number(m.version);
    archive.text(m.document, maxDocumentBytes);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const OperatorRequest &)
{
    archive.number(m.requestId);
    archive.choice(m.command, OperatorCommand::Promote);
    archive.text(m.group, maxNameBytes);
    archive.text(m.server, maxNameBytes);
    archive.flag(m.acceptLoss);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const ServerStatus &)
{
    archive.text(m.server, maxNameBytes);
    archive.text(m.zone, maxNameBytes);
    archive.flag(m.reachable);
    archive.flag(m.primary);
    archive.flag(m.draining);
    archive.record(m.position);
    archive.duration(m.lag);
    archive.number(m.connectionsOpen);
    archive.number(m.slotsBusy);
    archive.number(m.queued);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const GroupStatus &)
{
    archive.text(m.group, maxNameBytes);
    archive.number(m.epoch);
    archive.record(m.owner);
    archive.records(m.successors, maxServers);
    archive.number(m.term);
    archive.text(m.primary, maxNameBytes);
    archive.duration(m.leaseLeft);
    archive.records(m.servers, maxServers);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const OperatorAnswer &)
{
    archive.number(m.requestId);
    archive.reason(m.reason);
    archive.text(m.detail, maxTextBytes);
    archive.number(m.configVersion);
    archive.flag(m.draining);
    archive.records(m.groups, maxGroups);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const RunStatement &)
{
    archive.number(m.requestId);
    archive.text(m.group, maxNameBytes);
    archive.number(m.session);
    archive.choice(m.verb, SessionVerb::Commit);
    archive.flag(m.inTransaction);
    archive.choice(m.begins, TransactionMode::ReadOnly);
    archive.text(m.statementId, maxTextBytes);
    archive.text(m.text, maxSqlBytes);
    archive.text(m.preparedShape, maxTextBytes);
    archive.text(m.arguments, maxSqlBytes);
    archive.texts(m.values, maxSessionTexts, maxTextBytes);
    archive.choice(m.rule, ReadRule::OwnWrites);
    archive.duration(m.maxAge);
    archive.record(m.sessionPosition);
    archive.duration(m.timeLeft);
    archive.duration(m.objective);
    archive.number(m.priority);
    // The fields at the end are left out while they have their defaults.
    const bool hasQuota = m.quotaPerSecond != 0 || m.quotaBurst != 0;
    const bool hasAge = m.operationAge != Duration(0) || hasQuota;
    if (!archive.hasMore(!m.organisation.empty() || hasAge))
        return;
    archive.text(m.organisation, maxNameBytes);
    archive.number(m.organisationVersion);
    if (archive.hasMore(hasAge))
        archive.duration(m.operationAge);
    if (archive.hasMore(hasQuota)) {
        archive.number(m.quotaPerSecond);
        archive.number(m.quotaBurst);
    }
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const StatementDone &)
{
    archive.number(m.requestId);
    archive.reason(m.reason);
    archive.choice(m.executed, Executed::Unknown);
    archive.text(m.detail, maxTextBytes);
    archive.texts(m.rows, maxRows, maxSqlBytes);
    archive.text(m.signature, maxTextBytes);
    archive.record(m.position);
    archive.duration(m.retryAfter);
    archive.number(m.ownerEpoch);
    archive.record(m.logPosition);
    archive.duration(m.logAge);
    archive.number(m.grantedConnections);
    archive.record(m.owner);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const EndTransaction &)
{
    archive.text(m.group, maxNameBytes);
    archive.number(m.session);
    archive.number(m.beginRequestId);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const AliveRequest &)
{
    archive.number(m.sequence);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const AliveAnswer &)
{
    archive.number(m.sequence);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const OwnershipEndRequest &)
{
    archive.text(m.group, maxNameBytes);
    archive.number(m.epoch);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const OwnershipEnded &)
{
    archive.text(m.group, maxNameBytes);
    archive.number(m.epoch);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const TakeOver &)
{
    archive.text(m.group, maxNameBytes);
    archive.number(m.epoch);
    archive.text(m.requiredEndpoint, maxNameBytes);
    archive.flag(m.needsCapacity);
    archive.flag(m.ownerSuspected);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const QuotaRequest &)
{
    archive.text(m.organisation, maxNameBytes);
    archive.number(m.thousandths);
    archive.flag(m.operationWaits);
    archive.flag(m.expires);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const QuotaGrant &)
{
    archive.text(m.organisation, maxNameBytes);
    archive.number(m.thousandths);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const QuotaTransfer &)
{
    archive.text(m.group, maxNameBytes);
    archive.record(m.from);
    archive.number(m.epoch);
    archive.duration(m.unspent);
    archive.records(m.tokens, maxTransferredQuotas);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const TableSubscription &)
{
    archive.text(m.table, maxNameBytes);
    archive.number(m.after);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const SubscribeTables &)
{
    archive.records(m.tables, maxTableSubscriptions);
    archive.flag(m.withRows);
    archive.flag(m.acceptsParts);
    archive.flag(m.isContinuation);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const TableUpdateRow &)
{
    archive.text(m.key, maxNameBytes);
    archive.text(m.value, maxSqlBytes);
    archive.number(m.version);
    archive.flag(m.removed);
    archive.number(m.baseVersion);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const TableUpdate &)
{
    archive.text(m.table, maxNameBytes);
    archive.number(m.after);
    archive.number(m.upTo);
    archive.duration(m.serviceTime);
    archive.records(m.rows, maxTableUpdateRows);
    archive.flag(m.rowsOmitted);
    archive.flag(m.isPartial);
}

template <typename Archive, typename M>
void layout(Archive &archive, M &m, const Stopping &)
{
    archive.record(m.process);
}

} // namespace kelptally::inner
