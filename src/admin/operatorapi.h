#pragma once

#include "admin/configservice.h"
#include "admin/configstore.h"
#include "admin/operatorcalls.h"
#include "caller/httpmessage.h"
#include "caller/keyring.h"
#include "caller/problem.h"
#include "core/json.h"
#include "settings/processsettings.h"

#include <functional>
#include <string>

namespace kelptally::admin {

// Serves the administration API below /admin/v1 (docs/ADMIN.md). Runs on the admin thread.
class OperatorApi
{
public:
    struct Parts
    {
        const settings::ProcessSettings &settings;
        ConfigService &config;
        ConfigStore &store;
        OperatorCalls &calls;
        Metrics &metrics;
    };

    explicit OperatorApi(const Parts &parts);

    void onRequest(caller::HttpRequest request, caller::HttpReplyPtr reply);

private:
    // An authenticated call. An empty team means a key that is not limited to a team.
    struct Call
    {
        TeamName team;
        std::string query;
        JsonValue body;
        caller::HttpReplyPtr reply;
    };
    struct Route;

    static const Route *findRoute(const caller::HttpRequest &request);
    void refuse(const caller::HttpReplyPtr &reply, caller::Problem problem);
    void refuse(const caller::HttpReplyPtr &reply, Reason reason, std::string detail = {});
    // Refuses the call and returns false when the body lacks a required field or has an unknown
    // one.
    bool checkBody(const Call &call, std::initializer_list<const char *> required,
                   std::initializer_list<const char *> optional);
    bool mayAccess(const TeamName &team, const GroupName &group) const;

    void getConfiguration(Call call);
    void checkConfiguration(Call call);
    void diffConfiguration(Call call);
    void applyConfiguration(Call call);
    void history(Call call);
    void status(Call call);
    void drain(Call call);
    void promote(Call call);
    void explain(Call call);

    void sendRecord(const Call &call, const ConfigRecord &record);
    void onApplied(const Call &call, const ConfigRecord &record,
                   const absl::StatusOr<ConfigApplied> &applied);
    void onOperatorAnswer(const Call &call, const char *commandName,
                          const absl::StatusOr<inner::OperatorAnswer> &answer);

    const Parts parts_;
    // The configuration that keys_ was built from.
    settings::ConfigurationPtr keysConfiguration_;
    KeyRing keys_;
};

} // namespace kelptally::admin
