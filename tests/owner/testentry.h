#pragma once

#include "inner/websocketlinks.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace kelptally::owner {

// Returns the options of an entry's links, with an address of its own.
inner::PeerLinkOptions entryLinkOptions();

// Simulates an entry: connects to owners, sends requests, follows owner hints and retries requests
// that did not run. Used from any thread but the links' own.
class TestEntry : public inner::PeerEvents
{
public:
    explicit TestEntry(std::vector<std::string> owners);
    ~TestEntry() override;

    // Makes one attempt at one owner; returns nothing if there is no answer before the timeout.
    std::optional<inner::ExecuteResult> tryOnce(const std::string &owner, inner::Execute execute);

    // Retries until the answer is final, that is, not a retryable refusal of work that did not run,
    // or until the timeout.
    inner::ExecuteResult execute(inner::Execute execute);

    // Returns the refusals seen by execute() since the last call.
    std::vector<Reason> takeRefusals();

    std::optional<inner::OperatorAnswer> operate(const std::string &owner,
                                                 inner::OperatorRequest request);

    void onPeerUp(inner::LinkId link, const inner::Hello &peer) override;
    void onPeerMessage(inner::LinkId link, inner::Message message) override;
    void onPeerDown(inner::LinkId link, const std::string &address,
                    const absl::Status &reason) override;

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::map<inner::RequestId, inner::ExecuteResult> results_;
    std::map<inner::RequestId, inner::OperatorAnswer> operatorAnswers_;
    std::map<std::string, int> disconnects_;
    std::vector<Reason> refusals_;
    inner::RequestId lastId_ = 0;
    const std::vector<std::string> owners_;
    std::string lastOwner_;
    std::unique_ptr<inner::PeerLinks> links_;
};

} // namespace kelptally::owner
