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

// One database group at this process, as its owner, successor, or on the way there. Joins the
// decisions on ownership and failover to the runners of requests.
class GroupRuntime : private OwnershipListener, private FailoverListener, private HandOverGroup
{
public:
    GroupRuntime(const settings::Group &group, settings::ConfigurationPtr configuration,
                 OwnerPorts &ports, HeartbeatBatch &heartbeats, Responder &responder);
    ~GroupRuntime() override;

    // Called each tickPeriod.
    void tick();
    static constexpr Duration tickPeriod = std::chrono::milliseconds(20);

    void configure(settings::ConfigurationPtr configuration);

    void execute(const RequestPtr &request);
    void cancelTransaction(const std::string &transaction);
    std::optional<inner::GroupHeartbeatAnswer> onHeartbeat(const ProcessId &from,
                                                           const inner::GroupHeartbeat &heartbeat);
    void onHeartbeatAnswer(const ProcessId &from, const inner::GroupHeartbeatAnswer &answer);
    // One of the group's requests was answered.
    void onAnswered();
    // The old owner has named this process in the row.
    void onHandOver(OwnerEpoch newEpoch);
    // Hands the group to a successor once what is in progress has ended. Asked again until the
    // group is not served any more: without a store or a successor nothing happens.
    void beginHandOver();
    void promote(const ServerName &server, bool acceptLoss);

    OwnershipDriver &ownership() { return ownership_; }
    const GroupName &name() const { return context_.group; }
    bool serving() const { return serving_; }
    // Address of the owner as far as known; empty when not.
    std::string ownerAddress() const;
    // Looks at the row again when what is known of it may be out of date.
    void refreshOwner();
    // The group has left the configuration.
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
    // A line when other servers are heard than before.
    void logSilentServers();
    // Gives the group to a successor when this process hears too few of the servers.
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
    // A primary was found since this process began to serve.
    bool primaryFound_ = false;
    // Since then the lease was held and requests were let through.
    bool acceptingRequests_ = false;
    // The lease had lapsed at the last look.
    bool leaseLapsed_ = false;
    Instant servingSince_;
    // This process was told that it becomes owner.
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
    // As of the last line that told it.
    decision::CutOffStep cutOffStep_ = decision::CutOffStep::Serve;
    decision::HandOverWait handOverWait_ = decision::HandOverWait::None;
    Instant rowRequestedAt_;
    // The table service answered with the row, or with the outcome of a write of it.
    Instant rowConfirmedAt_;
    // As of the last line that told them.
    std::vector<ServerName> silentServers_;
    // As successor: when the owner was heard last, and since when without a break.
    Instant lastPromise_;
    Instant promisingSince_;
    // As successor: connections are kept open ahead of need.
    bool reserveOpen_ = false;
    // Notices that arrive after this object is gone are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::owner
