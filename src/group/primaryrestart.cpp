#include "group/failovercontroller.h"

// Handles a restart of a server while the primary is searched for, monitored or replaced.
namespace kelptally::group {

void FailoverController::onRestarted(const ServerName &server)
{
    reportedReplicas_.erase(server);
    stopReports_.erase(server);
    if (step_ == Step::Stopped)
        return;
    // 1. The primary comes back with its log and may or may not lead.
    if (!primary_.empty() && server == primary_)
        return onPrimaryRestarted();
    // 2. A replica may not follow the primary yet; one that was stopped receives again.
    if (step_ == Step::Leading) {
        unreconciledServers_.insert(server);
        return;
    }
    if (planned_)
        othersStoppedAt_ = Instant();
    // 3. Don't wait for a candidate: it was chosen for the log of its previous incarnation.
    const bool promotionSent = step_ == Step::Promoting || step_ == Step::AwaitingLead;
    if (promotionSent && server == candidate_)
        return discardCandidate();
    if (step_ == Step::Recording && (planned_ || server == candidate_))
        enterStep(Step::StoppingReplicas);
}

void FailoverController::onPrimaryRestarted()
{
    GroupServer *server = find(primary_);
    // The connection may be from after the restart, and the server may lead already.
    if (step_ == Step::Leading && server != nullptr && server->isConnected())
        return sendCommand(*server, CommandKind::Report, 0, hangTimeout,
                           [this](const ServerReport &report) {
                               if (!report.primary)
                                   abandonPrimary("not_primary");
                           });
    const bool promotionSent = step_ == Step::Promoting || step_ == Step::AwaitingLead;
    if (!promotionSent)
        return abandonPrimary("restarted");
    // The candidate is about to lead.
    const ServerName old = primary_;
    primary_.clear();
    events_.onPrimaryLost(old);
}

} // namespace kelptally::group
