#include "decision/membership.h"

#include <openssl/sha.h>

#include <algorithm>
#include <set>
#include <utility>

namespace kelptally::decision {

namespace {

// Finalizer of SplitMix64 (Steele, Lea and Flood 2014): each input bit affects every output bit.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

bool contains(const std::vector<HostName> &names, const HostName &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

std::uint64_t stableHash(const std::string &name)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(name.data()), name.size(), digest);
    std::uint64_t value = 0;
    for (int i = 0; i < 8; ++i)
        value = (value << 8) | digest[i];
    return value;
}

Membership::HostRecord *Membership::find(const std::string &address)
{
    const auto found =
        std::find_if(records_.begin(), records_.end(), [&](const HostRecord &record) {
            return record.member.process.address == address;
        });
    return found == records_.end() ? nullptr : &*found;
}

void Membership::setHosts(const std::vector<settings::Host> &hosts)
{
    std::vector<HostRecord> next;
    for (const settings::Host &host : hosts) {
        if (host.ownerAddress.empty())
            continue;
        const HostRecord *old = find(host.ownerAddress);
        next.push_back(old && old->member.host == host.name ? *old : HostRecord {});
        HostRecord &record = next.back();
        record.member.process.address = host.ownerAddress;
        record.member.host = host.name;
        record.member.zone = host.zone;
        record.hash = stableHash(host.ownerAddress);
        record.leavingByConfig = host.administrativeState == settings::AdministrativeState::Leaving;
        record.member.leaving = record.leavingByConfig || record.leavingByList;
    }
    records_ = std::move(next);
}

void Membership::onPeerUp(Instant, const ProcessId &process)
{
    HostRecord *record = find(process.address);
    if (!record)
        return;
    ProcessId &last = record->member.process;
    if (process.incarnation < last.incarnation)
        return;
    if (last.incarnation != 0 && process.incarnation > last.incarnation)
        deadProcesses_.push_back(last);
    last = process;
    record->member.reachable = true;
    record->reportedDead = false;
}

void Membership::onPeerDown(Instant, const ProcessId &process)
{
    HostRecord *record = find(process.address);
    // A link of an older incarnation may close after the newer one has connected.
    if (record && process.incarnation >= record->member.process.incarnation)
        record->member.reachable = false;
}

void Membership::onHostList(Instant now, const std::vector<HostName> &live,
                            const std::vector<HostName> &leaving)
{
    for (HostRecord &record : records_) {
        const HostName &host = record.member.host;
        record.leavingByList = contains(leaving, host);
        record.member.leaving = record.leavingByConfig || record.leavingByList;
        if (record.leavingByList || contains(live, host)) {
            record.everListed = true;
            record.absentSince.reset();
        } else if (!record.absentSince) {
            record.absentSince = now;
        }
    }
}

std::vector<ProcessId> Membership::takeDeadProcesses(Instant now)
{
    for (HostRecord &record : records_) {
        // A host that was never listed may be too new for the list, and a reachable process is
        // alive even if the list omits it.
        const bool gone = record.everListed && record.absentSince
            && now - *record.absentSince >= absenceTimeout && !record.member.reachable;
        if (gone && !record.reportedDead && record.member.process.incarnation != 0) {
            record.reportedDead = true;
            deadProcesses_.push_back(record.member.process);
        }
    }
    return std::exchange(deadProcesses_, {});
}

bool Membership::isBefore(const WeightedHost &a, const WeightedHost &b)
{
    if (a.weight != b.weight)
        return a.weight > b.weight;
    return a.record->member.process.address < b.record->member.process.address;
}

// Returns the processes that may own groups, unordered.
std::vector<Membership::WeightedHost> Membership::weightedHosts(const GroupName &group,
                                                                bool onlyReachable) const
{
    const std::uint64_t groupHash = mix(stableHash(group));
    std::vector<WeightedHost> weightedHosts;
    for (const HostRecord &record : records_) {
        if ((record.member.reachable || !onlyReachable) && !record.member.leaving)
            weightedHosts.push_back({mix(record.hash ^ groupHash), &record});
    }
    return weightedHosts;
}

// Returns the reachable processes that may own the group, best first.
std::vector<const Membership::HostRecord *> Membership::rankedHosts(const GroupName &group) const
{
    std::vector<WeightedHost> reachable = weightedHosts(group, true);
    std::sort(reachable.begin(), reachable.end(), isBefore);
    std::vector<const HostRecord *> result;
    result.reserve(reachable.size());
    for (const WeightedHost &entry : reachable)
        result.push_back(entry.record);
    return result;
}

std::vector<std::string> Membership::candidates(const GroupName &group, std::size_t count) const
{
    std::vector<WeightedHost> all = weightedHosts(group, false);
    const std::size_t selected = std::min(count, all.size());
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(selected), all.end(),
                      isBefore);
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < selected; ++i)
        addresses.push_back(all[i].record->member.process.address);
    return addresses;
}

std::optional<ProcessId> Membership::preferredOwner(const GroupName &group,
                                                    const ZoneName &primaryZone) const
{
    const std::vector<const HostRecord *> order = rankedHosts(group);
    for (const HostRecord *record : order) {
        if (record->member.zone != primaryZone)
            return record->member.process;
    }
    if (order.empty())
        return std::nullopt;
    return order.front()->member.process;
}

std::vector<ProcessId> Membership::successorCandidates(const GroupName &group,
                                                       const ProcessId &owner) const
{
    ZoneName ownerZone;
    for (const HostRecord &record : records_) {
        if (record.member.process.address == owner.address)
            ownerZone = record.member.zone;
    }
    std::vector<ProcessId> bestPerZone;
    std::vector<ProcessId> otherZones;
    std::vector<ProcessId> ownerZoneProcesses;
    std::set<ZoneName> seenZones;
    for (const HostRecord *record : rankedHosts(group)) {
        const Member &member = record->member;
        if (member.process.address == owner.address)
            continue;
        if (member.zone == ownerZone)
            ownerZoneProcesses.push_back(member.process);
        else if (seenZones.insert(member.zone).second)
            bestPerZone.push_back(member.process);
        else
            otherZones.push_back(member.process);
    }
    bestPerZone.insert(bestPerZone.end(), otherZones.begin(), otherZones.end());
    bestPerZone.insert(bestPerZone.end(), ownerZoneProcesses.begin(), ownerZoneProcesses.end());
    return bestPerZone;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> members;
    members.reserve(records_.size());
    for (const HostRecord &record : records_)
        members.push_back(record.member);
    return members;
}

} // namespace kelptally::decision
