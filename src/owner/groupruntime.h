#pragma once

#include "decision/cutoffpolicy.h"
#include "owner/confirmationwaits.h"
#include "owner/groupcontext.h"
#include "owner/handover.h"
#include "owner/heldrequests.h"
#include "owner/readrunner.h"
#include "owner/recordpurge.h"
#include "owner/transactionrunner.h"
#include "owner/writerunner.h"

namespace kelptally::owner {

// Runs one database group in this process, as owner, as successor or while it is unlisted. Connects
// the ownership and failover decisions to the request runners.
class GroupRuntime : private OwnershipListener, private FailoverListener, private HandOverGroup
{
public:
    GroupRuntime(const settings::Group &group, settings::ConfigurationPtr configuration,
                 OwnerPorts &ports, HeartbeatBatch &heartbeats, Responder &responder);
    ~GroupRuntime() override;

    // Must be called once each tickPeriod.
    void tick();
    static constexpr Duration tickPeriod = std::chrono::milliseconds(20);

    void configure(settings::ConfigurationPtr configuration);

    void execute(const RequestPtr &request);
    void cancelTransaction(const std::string &transaction);
    std::optional<inner::GroupHeartbeatAnswer> onHeartbeat(const ProcessId &from,
                                                           const inner::GroupHeartbeat &heartbeat);
    void onHeartbeatAnswer(const ProcessId &from, const inner::GroupHeartbeatAnswer &answer);
    // Must be called after one of the group's requests was answered.
    void onAnswered();
    // The previous owner has written this process to the row as the new owner.
    void onHandOver(OwnerEpoch newEpoch);
    // Requests a hand-over to a successor. It starts only if the table service answers and a
    // successor is listed, so the caller repeats the call until the group is no longer served.
    void beginHandOver();
    void promote(const ServerName &server, bool acceptLoss);

    OwnershipDriver &ownership() { return ownership_; }
    const GroupName &name() const { return context_.group; }
    bool serving() const { return serving_; }
    // Returns the address of the last known owner; empty if there is none.
    std::string ownerAddress() const;
    // Reads the row again unless this process serves the group or has just read it.
    void refreshOwner();
    // Stops everything, as the group was removed from the configuration.
    void end();
    inner::GroupStatus status() const;

private:
    void onStartServing(const decision::StartServing &start) override;
    void onStopServing(const std::string &stopReason) override;
    void onRowChanged() override;
    void onServerReport(const ServerName &server, Instant sentAt,
                        const decision::ServerReport &report) override;
    void onServerUnreachable(const ServerName &server) override;
    void onPrimaryGone(const decision::PrimaryGone &gone) override;
    void onPrimaryReady(const decision::PrimaryReady &ready) override;
    std::size_t openTransactions() const override { return transactions_.openCount(); }
    std::size_t requestsInProgress() const override;
    void transferOwnership() override;

    void dispatch(const RequestPtr &request);
    bool mustHold(const RequestPtr &request) const;
    void updateHeldRequests();
    void acceptRequestsWhenReady();
    void checkLease();
    void sampleWhenNeeded();
    void stopRunners(const Refusal &refusal);
    void startHandOver();
    void logHandOverWait();
    // Logs the silent servers when they change.
    void logSilentServers();
    // Starts a hand-over when too few servers respond to this process.
    void checkCutOff();
    void updateConnectionShare();
    void updateReserve();
    void updateMetrics();
    Refusal notOwnerRefusal() const;
    Instant now() const { return context_.ports.timers.now(); }

    OwnershipDriver ownership_;
    GroupServers servers_;
    FailoverDriver failover_;
    GroupContext context_;
    ConfirmationWaits confirmations_;
    ReadRunner reads_;
    WriteRunner writes_;
    TransactionRunner transactions_;

    bool serving_ = false;
    // A primary was found since this process started to serve.
    bool primaryFound_ = false;
    // The lease was held after the primary was found; requests are no longer held for the start.
    bool acceptingRequests_ = false;
    // As of the last checkLease().
    bool leaseLapsed_ = false;
    Instant servingSince_;
    // Time of the last notification of a hand-over to this process.
    std::optional<Instant> handOverNotifiedAt_;
    HandOver handOver_ {*this};
    HeldRequests held_;
    RecordPurge purge_;
    Instant lastRequest_;
    Instant lastSample_;
    Instant lastMetrics_;
    Instant lastRefresh_;
    Instant handOverRequestedAt_;
    decision::CutOffPolicy cutOff_;
    // Last logged values.
    decision::CutOffStep cutOffStep_ = decision::CutOffStep::Serve;
    decision::HandOverWait handOverWait_ = decision::HandOverWait::None;
    Instant rowRequestedAt_;
    // Last answer of the table service to a read or write of the row.
    Instant rowConfirmedAt_;
    // Last logged value.
    std::vector<ServerName> silentServers_;
    // As successor: the last promise to the owner, and the first one of the current series.
    Instant lastPromise_;
    Instant promisingSince_;
    // As successor: a reserve of connections is kept open for a takeover.
    bool reserveOpen_ = false;
    // Guards callbacks that may run after this object was destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::owner
