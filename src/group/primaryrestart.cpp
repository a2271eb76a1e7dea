#include "group/failovercontroller.h"

// What another run of a server means for finding, watching and replacing the primary.
namespace kelptally::group {

void FailoverController::onRestarted(const ServerName &server)
{
    reportedReplicas_.erase(server);
    stopReports_.erase(server);
    if (step_ == Step::Stopped)
        return;
    // 1. The primary comes back with its log, and leads on or not.
    if (!primary_.empty() && server == primary_)
        return onPrimaryRestarted();
    // 2. A replica may follow nobody yet, and receives again if it had been stopped.
    if (step_ == Step::Leading) {
        unreconciledServers_.insert(server);
        return;
    }
    if (planned_)
        othersStoppedAt_ = Instant();
    // 3. A candidate whose promotion was asked for is not waited for; what it was chosen for,
    // another run had shown.
    const bool promotionSent = step_ == Step::Promoting || step_ == Step::AwaitingLead;
    if (promotionSent && server == candidate_)
        return discardCandidate();
    if (step_ == Step::Recording && (planned_ || server == candidate_))
        enterStep(Step::StoppingReplicas);
}

void FailoverController::onPrimaryRestarted()
{
    GroupServer *server = find(primary_);
    // A connection that was opened after the restart may have shown already that it leads.
    if (step_ == Step::Leading && server != nullptr && server->isConnected())
        return sendCommand(*server, CommandKind::Report, 0, hangTimeout,
                           [this](const ServerReport &report) {
                               if (!report.primary)
                                   abandonPrimary("not_primary");
                           });
    const bool promotionSent = step_ == Step::Promoting || step_ == Step::AwaitingLead;
    if (!promotionSent)
        return abandonPrimary("restarted");
    // The candidate leads soon.
    const ServerName old = primary_;
    primary_.clear();
    events_.onPrimaryLost(old);
}

} // namespace kelptally::group
