#pragma once

#include "inner/peerlink.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace kelptally::owner {

// Plays an entry: links to owners, sends requests, follows hints and tries again what was not run.
// Used from any thread but the links' own.
class TestEntry : public inner::PeerEvents
{
public:
    explicit TestEntry(std::vector<std::string> owners);
    ~TestEntry() override;

    // One attempt at one owner; nothing when it gave no answer within the time.
    std::optional<inner::ExecuteResult> tryOnce(const std::string &owner, inner::Execute execute);

    // Tries until there is an answer other than a refusal that says "not run" and may be retried,
    // or half a minute has passed.
    inner::ExecuteResult execute(inner::Execute execute);

    // Refusals seen by execute() since they were taken last.
    std::vector<Reason> takeRefusals();

    std::optional<inner::OperatorAnswer> operate(const std::string &owner,
                                                 inner::OperatorRequest request);

    void onPeerUp(inner::LinkId link, const inner::Hello &peer) override;
    void onPeerMessage(inner::LinkId link, inner::Message message) override;
    void onPeerDown(inner::LinkId link, const std::string &address,
                    const absl::Status &why) override;

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
