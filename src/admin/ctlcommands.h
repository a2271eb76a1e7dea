#pragma once

#include "admin/ctl.h"
#include "admin/ctlclient.h"
#include "core/types.h"

#include <iosfwd>
#include <optional>
#include <string>

// The commands of kelptallyctl, after their command line has been parsed.
namespace kelptally::admin {

struct CtlOutput
{
    std::ostream &out;
    std::ostream &err;
};

struct ApplyOptions
{
    std::string file;
    ConfigVersion expected = 0;
    std::string author;
    // A random id is generated when empty.
    std::string changeId;
    // How long to wait until every process has the version; unset for not at all.
    std::optional<Duration> wait;
};

CtlExit checkFile(const std::string &file, CtlOutput output);
CtlExit explainReason(const std::string &reason, CtlOutput output);

CtlExit showConfiguration(ProxyClient &client, ConfigVersion version, CtlOutput output);
CtlExit diffFile(ProxyClient &client, const std::string &file, CtlOutput output);
CtlExit applyFile(ProxyClient &client, const ApplyOptions &options, CtlOutput output);
CtlExit showHistory(ProxyClient &client, int limit, CtlOutput output);
CtlExit showStatus(ProxyClient &client, bool json, CtlOutput output);
CtlExit drainHost(ProxyClient &client, const std::string &host, CtlOutput output);
CtlExit promoteServer(ProxyClient &client, const std::string &group, const std::string &server,
                      bool acceptLoss, CtlOutput output);

} // namespace kelptally::admin
