#pragma once

#include "caller/httpmessage.h"
#include "core/digest.h"
#include "core/json.h"
#include "core/manualtimerservice.h"
#include "entry/dispatcher.h"

#include <deque>

// Fakes and test data for the entry's request handling.
namespace kelptally::entry {

constexpr const char *ownerA = "127.0.0.1:7001";
constexpr const char *ownerB = "127.0.0.1:7002";
constexpr const char *callerKey = "caller key";
constexpr const char *tokenKey = "token key";

// Records the messages sent; sending can be made to fail.
class FakePeerLinks : public inner::PeerLinks
{
public:
    struct Sent
    {
        inner::LinkId link;
        inner::Message message;
    };

    void connect(const std::string &address) override { connected.push_back(address); }
    void drop(const std::string &address) override { dropped.push_back(address); }
    void renew(const std::string &) override { }
    void cancelRenewal(const std::string &) override { }
    inner::LinkId linkTo(const std::string &) override { return 0; }
    absl::Status sendTo(const std::string &, inner::Message) override
    {
        return absl::UnimplementedError("not used");
    }
    absl::Status sendOn(inner::LinkId link, inner::Message message) override
    {
        if (!refuseWith.ok())
            return refuseWith;
        sent.push_back({link, std::move(message)});
        return absl::OkStatus();
    }

    // Removes and returns the oldest message, which must be of this type.
    template <typename M>
    M take()
    {
        M message = std::get<M>(sent.at(0).message);
        sent.pop_front();
        return message;
    }

    std::vector<std::string> connected;
    std::vector<std::string> dropped;
    std::deque<Sent> sent;
    absl::Status refuseWith;
};

class FakeOwnershipRowReader : public OwnershipRowReader
{
public:
    void read(const GroupName &, Callback callback) override
    {
        ++reads;
        callback(row);
    }

    absl::StatusOr<std::optional<decision::OwnershipRow>> row {std::nullopt};
    int reads = 0;
};

class FakeReply : public caller::HttpReply
{
public:
    void send(caller::HttpResponse response) override { responses.push_back(std::move(response)); }

    std::string header(const std::string &name) const
    {
        for (const caller::HttpHeader &header : responses.at(0).headers)
            if (header.name == name)
                return header.value;
        return {};
    }
    JsonValue body() const { return parseJson(responses.at(0).body).value(); }

    std::vector<caller::HttpResponse> responses;
};

inline decision::OwnershipRow rowOf(const std::string &owner, OwnerEpoch epoch = 1,
                                    const std::vector<std::string> &successors = {})
{
    decision::OwnershipRow row;
    row.epoch = epoch;
    row.owner = {owner, 1};
    for (const std::string &successor : successors)
        row.successors.push_back({successor, 1});
    return row;
}

inline settings::ConfigurationPtr testConfiguration()
{
    auto configuration = std::make_shared<settings::Configuration>();
    configuration->version = 1;
    settings::Inventory &inventory = configuration->inventory;
    for (const char *address : {ownerA, ownerB}) {
        settings::Host host;
        host.name = address;
        host.ownerAddress = address;
        inventory.hosts.push_back(host);
    }
    settings::Group offers;
    offers.name = "offers";
    offers.team = "lagon";
    settings::Group foreign;
    foreign.name = "tariff";
    foreign.team = "agency";
    inventory.groups = {offers, foreign};
    settings::Team team;
    team.name = "lagon";
    team.keyHashes = {digestToHex(sha256(callerKey))};
    inventory.teams = {team};
    const auto kind = [&](const char *name, bool readOnly, bool repeatable) {
        settings::Kind made;
        made.name = name;
        made.readOnly = readOnly;
        made.repeatable = repeatable;
        made.deadline = std::chrono::seconds(2);
        inventory.kinds.push_back(made);
    };
    kind("browse", true, true);
    inventory.kinds.back().statedAge = std::chrono::seconds(3);
    kind("fresh", true, true);
    kind("edit", false, true);
    kind("offer", false, false);
    kind("other-team", true, true);
    inventory.kinds.back().teams = {"agency"};
    return configuration;
}

inline caller::CallerRequest statementOf(const std::string &kind)
{
    caller::CallerRequest request;
    request.apiKey = callerKey;
    request.group = "offers";
    request.kind = kind;
    request.sql = "SELECT 1";
    return request;
}

} // namespace kelptally::entry
