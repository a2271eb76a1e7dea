#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "group/serverinterface.h"

// Connections to servers whose answers are certain to belong to the commands that were sent.
namespace kelptally::group {

// Connects through another connector. Its connections refuse a second batch while one is running,
// and check that each answer fits its command: a success has a signature exactly if the server owes
// one, and shows the transaction state that the commands so far lead to. An answer that does not
// fit ends the connection and is logged as an error, since nobody can tell any more which command
// an answer belongs to. So does a failed command that prepares the connection for a statement: what
// follows it in the batch ran in an unknown state.
class CheckedConnector : public ServerConnector
{
public:
    struct Parts
    {
        ServerConnector &connector;
        TimerService &timers;
        EventLog &log;
        Metrics &metrics;
    };

    explicit CheckedConnector(const Parts &parts);

    void connect(const ServerAddress &server, const OrganisationName &organisation,
                 Duration timeout, ServerConnectCallback callback) override;

private:
    class Connection;

    const Parts parts_;
    prometheus::Counter &busyErrors_;
    prometheus::Counter &unsignedErrors_;
    prometheus::Counter &signedErrors_;
    prometheus::Counter &stateErrors_;
    prometheus::Counter &unpreparedErrors_;
};

} // namespace kelptally::group
