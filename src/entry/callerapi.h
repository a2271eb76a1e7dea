#pragma once

#include "caller/callerrequest.h"
#include "caller/keyring.h"
#include "caller/problem.h"
#include "decision/sessiontoken.h"
#include "inner/messages.h"
#include "settings/inventory.h"

#include <optional>
#include <string>
#include <variant>

namespace kelptally::entry {

// A caller's request that may go to an owner.
struct AdmittedRequest
{
    // All but the request id, the time left and the age, which belong to one attempt.
    inner::Execute execute;
    decision::SessionToken session;
    // The token as the caller sent it.
    std::string sessionText;
    // Greatest age of the data when it reaches the caller; nothing: newest.
    std::optional<Duration> statedAge;
    // From the arrival of the request.
    Duration deadline {0};
    // Whether doing the work twice does no harm.
    bool repeatable = false;
    // Address in the transaction's id, for the steps of an open transaction.
    std::string transactionOwner;
    // Share of this entry's requests that the caller's team may have in progress, in percent.
    int teamSharePercent = 100;
};

using Admitted = std::variant<AdmittedRequest, caller::Problem>;

// Checks callers' requests against the configuration in force and resolves its rules. No I/O.
class CallerApi
{
public:
    explicit CallerApi(std::string tokenKey) : tokenKey_(std::move(tokenKey)) { }

    void configure(settings::ConfigurationPtr configuration);

    Admitted admit(caller::CallerRequest request) const;

    const std::string &tokenKey() const { return tokenKey_; }

private:
    caller::Problem admitTarget(const caller::CallerRequest &request,
                                AdmittedRequest &admitted) const;
    caller::Problem admitTransaction(const caller::CallerRequest &request,
                                     AdmittedRequest &admitted) const;
    caller::Problem admitGroup(const AdmittedRequest &admitted) const;
    caller::Problem admitSession(caller::CallerRequest &request, AdmittedRequest &admitted) const;
    caller::Problem admitKey(caller::CallerRequest &request, AdmittedRequest &admitted) const;

    const std::string tokenKey_;
    settings::ConfigurationPtr configuration_;
    KeyRing keys_;
};

// Age that a read may have: the smaller of what the caller states and what the kind allows; zero
// and none of both mean the newest data.
std::optional<Duration> effectiveAge(std::optional<Duration> stated, std::optional<Duration> kind);

// What a key stands for, as a digest: a key that comes back with another digest is refused.
std::string keyDigest(const inner::Execute &execute);

} // namespace kelptally::entry
