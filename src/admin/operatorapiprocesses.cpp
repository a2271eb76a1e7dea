#include "admin/operatorapi.h"
#include "admin/statusjson.h"
#include "core/logging.h"

#include <glog/logging.h>

#include <algorithm>

// The routes of OperatorApi that act on processes and groups.
namespace kelptally::admin {

namespace {

// Returns why a process failed or refused a request.
std::string problemOf(const absl::StatusOr<inner::OperatorAnswer> &answer)
{
    if (!answer.ok())
        return std::string(answer.status().message());
    return std::string(reasonInfo(answer->reason).name) + " " + answer->detail;
}

} // namespace

void OperatorApi::status(Call call)
{
    const settings::ConfigurationPtr current = parts_.config.current();
    if (!current)
        return call.reply->send(
            caller::jsonResponse(statusToJson({}, 0, [](const GroupName &) { return true; })));
    parts_.calls.gatherStatus(
        current->inventory, [this, call, current](const SystemStatus &status) {
            const GroupFilter visible = [&](const GroupName &group) {
                return mayAccess(call.team, group);
            };
            call.reply->send(caller::jsonResponse(statusToJson(status, current->version, visible)));
        });
}

void OperatorApi::drain(Call call)
{
    if (!checkBody(call, {"host"}, {}))
        return;
    const settings::ConfigurationPtr current = parts_.config.current();
    const std::string name = call.body.textOf("host");
    const settings::Host *host = current ? current->inventory.findHost(name) : nullptr;
    if (!host)
        return refuse(call.reply, Reason::UnknownPath, "there is no host " + name);
    LOG(INFO) << "event=operator_drain host=" << logValue(name)
              << " cause=\"requested by an operator\"";
    inner::OperatorRequest request;
    request.command = inner::OperatorCommand::Drain;
    const std::vector<std::string> addresses = {host->entryAddress, host->ownerAddress};
    parts_.calls.operateAll(
        addresses, request, [this, call, addresses](const OperatorAnswers &answers) {
            const auto accepted = [](const absl::StatusOr<inner::OperatorAnswer> &answer) {
                return answer.ok() && answer->reason == Reason::None;
            };
            if (std::none_of(answers.begin(), answers.end(), accepted))
                return refuse(call.reply, Reason::OwnerUnreachable, problemOf(answers.front()));
            JsonWriter json;
            json.beginObject();
            json.member("accepted", "drain");
            json.key("processes").beginArray();
            for (std::size_t i = 0; i < answers.size(); ++i) {
                json.beginObject();
                json.member("address", addresses[i]);
                json.member("accepted", accepted(answers[i]));
                if (!accepted(answers[i]))
                    json.member("problem", problemOf(answers[i]));
                json.endObject();
            }
            json.endArray();
            json.endObject();
            call.reply->send(caller::jsonResponse(json.take()));
        });
}

// Finds the group's owner by gathering the status of all processes; promotions are rare.
void OperatorApi::promote(Call call)
{
    if (!checkBody(call, {"group", "server"}, {"acceptLoss"}))
        return;
    inner::OperatorRequest request;
    request.command = inner::OperatorCommand::Promote;
    request.group = call.body.textOf("group");
    request.server = call.body.textOf("server");
    const JsonValue *acceptLoss = call.body.find("acceptLoss");
    request.acceptLoss = acceptLoss && acceptLoss->boolean;
    const settings::ConfigurationPtr current = parts_.config.current();
    if (!current || !current->inventory.findGroup(request.group))
        return refuse(call.reply, Reason::UnknownGroup);
    if (!mayAccess(call.team, request.group))
        return refuse(call.reply, Reason::Forbidden);
    LOG(INFO) << "event=operator_promote group=" << request.group
              << " server=" << logValue(request.server) << " accept_loss=" << request.acceptLoss
              << " cause=\"requested by an operator\"";
    parts_.calls.gatherStatus(
        current->inventory, [this, call, request](const SystemStatus &status) {
            for (const inner::GroupStatus &group : status.groups)
                if (group.group == request.group)
                    return parts_.calls.operate(
                        group.owner.address, request,
                        [this, call](const absl::StatusOr<inner::OperatorAnswer> &answer) {
                            onOperatorAnswer(call, "promote", answer);
                        });
            refuse(call.reply, Reason::NoOwner);
        });
}

void OperatorApi::onOperatorAnswer(const Call &call, const char *commandName,
                                   const absl::StatusOr<inner::OperatorAnswer> &answer)
{
    if (!answer.ok())
        return refuse(call.reply, Reason::OwnerUnreachable, std::string(answer.status().message()));
    if (answer->reason != Reason::None)
        return refuse(call.reply, answer->reason, answer->detail);
    JsonWriter json;
    json.beginObject();
    json.member("accepted", commandName);
    if (!answer->detail.empty())
        json.member("detail", answer->detail);
    json.endObject();
    call.reply->send(caller::jsonResponse(json.take()));
}

} // namespace kelptally::admin
