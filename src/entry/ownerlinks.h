#pragma once

#include "inner/peerlink.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kelptally::entry {

// The links to owner processes, as the requests thread knows them. Only addresses of the
// configuration are ever dialled.
class OwnerLinks
{
public:
    // With no more owner processes than this the entry holds a link to each ahead of need.
    static constexpr std::size_t maxEagerLinks = 16;

    explicit OwnerLinks(inner::PeerLinks &links) : links_(links) { }

    // Addresses of all owner processes; links to others are dropped.
    void setAddresses(const std::vector<std::string> &addresses);
    const std::vector<std::string> &addresses() const { return addresses_; }
    bool isOwnerProcess(const std::string &address) const;

    void onUp(inner::LinkId link, const std::string &address);
    void onDown(inner::LinkId link);

    // A link that is up; otherwise one is dialled from now on.
    std::optional<inner::LinkId> findOrDial(const std::string &address);
    absl::Status send(inner::LinkId link, inner::Message message);
    std::size_t connectedCount() const { return addressByLink_.size(); }

private:
    void dial(const std::string &address);

    inner::PeerLinks &links_;
    std::vector<std::string> addresses_;
    std::set<std::string> dialled_;
    std::map<inner::LinkId, std::string> addressByLink_;
    // By address, also links that the other end dialled.
    std::map<std::string, std::vector<inner::LinkId>> linksByAddress_;
};

} // namespace kelptally::entry
