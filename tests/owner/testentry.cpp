#include "testentry.h"

#include "freeport.h"
#include "ownercluster.h"

#include <stdexcept>
#include <thread>
#include <utility>

namespace kelptally::owner {

using namespace std::chrono_literals;

namespace {

constexpr Duration answerTimeout = 20s;
constexpr Duration executeTimeout = 30s;
constexpr Duration retryDelay = 5ms;

} // namespace

inner::PeerLinkOptions entryLinkOptions()
{
    inner::PeerLinkOptions options;
    options.listenAddress = takeFreeAddress();
    options.self = {options.listenAddress, 1};
    options.host = "test";
    options.zone = "lulea-a";
    options.peerKey = testPeerKey;
    return options;
}

TestEntry::TestEntry(std::vector<std::string> owners) : owners_(std::move(owners))
{
    const inner::PeerLinkOptions options = entryLinkOptions();
    auto links = inner::makePeerLinks(options, *this);
    if (!links.ok())
        throw std::runtime_error(std::string(links.status().message()));
    links_ = std::move(*links);
    for (const std::string &owner : owners_)
        links_->connect(owner);
    lastOwner_ = owners_.front();
}

TestEntry::~TestEntry()
{
    links_.reset();
}

std::optional<inner::ExecuteResult> TestEntry::tryOnce(const std::string &owner,
                                                       inner::Execute execute)
{
    std::unique_lock<std::mutex> lock(mutex_);
    const inner::RequestId id = ++lastId_;
    const int disconnectsBefore = disconnects_[owner];
    execute.requestId = id;
    lock.unlock();
    if (!links_->sendTo(owner, std::move(execute)).ok()) {
        inner::ExecuteResult unsent;
        unsent.reason = Reason::OwnerUnreachable;
        return unsent;
    }
    lock.lock();
    arrived_.wait_for(lock, answerTimeout, [&] {
        return results_.count(id) != 0 || disconnects_[owner] != disconnectsBefore;
    });
    const auto found = results_.find(id);
    if (found == results_.end())
        return std::nullopt;
    return found->second;
}

inner::ExecuteResult TestEntry::execute(inner::Execute execute)
{
    const Instant end = BootClock::now() + executeTimeout;
    std::size_t next = 0;
    inner::ExecuteResult last;
    while (BootClock::now() < end) {
        const auto answer = tryOnce(lastOwner_, execute);
        if (answer && answer->reason == Reason::None)
            return *answer;
        if (answer) {
            refusals_.push_back(answer->reason);
            last = *answer;
        }
        const bool again =
            !answer || (answer->executed != Executed::Yes && reasonInfo(answer->reason).retryable);
        if (!again)
            return *answer;
        if (answer && !answer->ownerHint.empty())
            lastOwner_ = answer->ownerHint;
        else
            lastOwner_ = owners_[next++ % owners_.size()];
        std::this_thread::sleep_for(retryDelay);
    }
    return last;
}

std::vector<Reason> TestEntry::takeRefusals()
{
    return std::exchange(refusals_, {});
}

std::optional<inner::OperatorAnswer> TestEntry::operate(const std::string &owner,
                                                        inner::OperatorRequest request)
{
    std::unique_lock<std::mutex> lock(mutex_);
    const inner::RequestId id = ++lastId_;
    request.requestId = id;
    lock.unlock();
    if (!links_->sendTo(owner, std::move(request)).ok())
        return std::nullopt;
    lock.lock();
    arrived_.wait_for(lock, answerTimeout, [&] { return operatorAnswers_.count(id) != 0; });
    const auto found = operatorAnswers_.find(id);
    if (found == operatorAnswers_.end())
        return std::nullopt;
    return found->second;
}

void TestEntry::onPeerUp(inner::LinkId, const inner::Hello &) { }

void TestEntry::onPeerMessage(inner::LinkId, inner::Message message)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (auto *result = std::get_if<inner::ExecuteResult>(&message))
        results_[result->requestId] = std::move(*result);
    else if (auto *answer = std::get_if<inner::OperatorAnswer>(&message))
        operatorAnswers_[answer->requestId] = std::move(*answer);
    arrived_.notify_all();
}

void TestEntry::onPeerDown(inner::LinkId, const std::string &address, const absl::Status &)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++disconnects_[address];
    arrived_.notify_all();
}

} // namespace kelptally::owner
