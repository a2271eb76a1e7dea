#include "decision/lease.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Rounds kept to match late answers. At one heartbeat each 300 ms, promises of older rounds have
// expired.
constexpr std::size_t maxRounds = 8;

} // namespace

void Lease::clear()
{
    promises_.clear();
    rounds_.clear();
}

void Lease::add(const ProcessId &process, std::optional<Instant> startsAt)
{
    if (!contains(process))
        promises_.push_back({process, startsAt, std::nullopt, false});
}

void Lease::remove(const ProcessId &process)
{
    const auto isOfProcess = [&](const Promise &promise) { return promise.process == process; };
    promises_.erase(std::remove_if(promises_.begin(), promises_.end(), isOfProcess),
                    promises_.end());
}

void Lease::keepOnly(const std::vector<ProcessId> &processes)
{
    for (const ProcessId &known : this->processes()) {
        if (std::find(processes.begin(), processes.end(), known) == processes.end())
            remove(known);
    }
}

std::vector<ProcessId> Lease::beginRound(Instant now, std::uint64_t sequence)
{
    std::vector<ProcessId> recipients;
    for (Promise &promise : promises_) {
        if (promise.diedDuringPromise)
            continue;
        if (!promise.unansweredSince)
            promise.unansweredSince = now;
        recipients.push_back(promise.process);
    }
    if (rounds_.size() == maxRounds)
        rounds_.erase(rounds_.begin());
    rounds_.push_back({sequence, now});
    return recipients;
}

void Lease::onPromise(const ProcessId &from, std::uint64_t sequence)
{
    Promise *promise = const_cast<Promise *>(find(from));
    const auto round = std::find_if(rounds_.begin(), rounds_.end(),
                                    [&](const Round &r) { return r.sequence == sequence; });
    if (!promise || round == rounds_.end())
        return;
    if (promise->startsAt && *promise->startsAt >= round->sentAt)
        return;
    promise->startsAt = round->sentAt;
    promise->unansweredSince.reset();
    const auto next = std::next(round);
    if (next != rounds_.end())
        promise->unansweredSince = next->sentAt;
}

void Lease::markDead(Instant now, const std::function<bool(const ProcessId &)> &isDead)
{
    for (Promise &promise : promises_) {
        if (isDead(promise.process) && end(promise) > now)
            promise.diedDuringPromise = true;
    }
}

Instant Lease::end(const Promise &promise) const
{
    if (promise.diedDuringPromise)
        return Instant::max();
    return promise.startsAt ? *promise.startsAt + promiseDuration - driftMargin : Instant::min();
}

Instant Lease::end(const ProcessId &process) const
{
    const Promise *promise = find(process);
    return promise ? end(*promise) : Instant::min();
}

Instant Lease::end(const std::vector<ProcessId> &processes) const
{
    Instant earliest = Instant::max();
    for (const ProcessId &process : processes)
        earliest = std::min(earliest, end(process));
    return earliest;
}

bool Lease::isSilent(Instant now, const ProcessId &process, Duration limit) const
{
    const Promise *promise = find(process);
    if (!promise || promise->diedDuringPromise)
        return true;
    return promise->unansweredSince && now >= *promise->unansweredSince + limit;
}

std::vector<ProcessId> Lease::processes() const
{
    std::vector<ProcessId> result;
    result.reserve(promises_.size());
    for (const Promise &promise : promises_)
        result.push_back(promise.process);
    return result;
}

const Lease::Promise *Lease::find(const ProcessId &process) const
{
    const auto found = std::find_if(promises_.begin(), promises_.end(), [&](const Promise &p) {
        return byIncarnation_ ? p.process == process : p.process.address == process.address;
    });
    return found == promises_.end() ? nullptr : &*found;
}

} // namespace kelptally::decision
