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

// A validated request that may be sent to an owner.
struct AdmittedRequest
{
    // The message to the owner, without the fields set per attempt: request id, deadline and age.
    inner::Execute execute;
    decision::SessionToken session;
    // The session token as received from the caller.
    std::string sessionText;
    // Maximum age of the data when it reaches the caller; nullopt requires the newest data.
    std::optional<Duration> statedAge;
    // Relative to the arrival of the request.
    Duration deadline {0};
    // Whether the request may be executed twice.
    bool repeatable = false;
    // Owner address from the transaction id; set for the steps of an open transaction.
    std::string transactionOwner;
    // Maximum share of this entry's request table that the team may use, in percent.
    int teamSharePercent = 100;
};

using AdmissionResult = std::variant<AdmittedRequest, caller::Problem>;

// Authenticates, authorises and validates callers' requests against the active configuration.
// Performs no I/O.
class CallerApi
{
public:
    explicit CallerApi(std::string tokenKey) : tokenKey_(std::move(tokenKey)) { }

    void configure(settings::ConfigurationPtr configuration);

    AdmissionResult admit(caller::CallerRequest request) const;

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

// Returns the maximum age of a read: the smaller of the caller's and the request kind's limit.
// Returns nullopt, which requires the newest data, when it is zero or neither is set.
std::optional<Duration> effectiveAge(std::optional<Duration> stated, std::optional<Duration> kind);

// Returns a digest of the request that an idempotency key belongs to. A key that is reused with
// another digest is refused.
std::string keyDigest(const inner::Execute &execute);

} // namespace kelptally::entry
