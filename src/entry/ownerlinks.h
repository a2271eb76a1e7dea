#pragma once

#include "inner/peerlink.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kelptally::entry {

// The entry's links to owner processes. Connects only to addresses of the configuration. Used on
// the requests thread.
class OwnerLinks
{
public:
    // Up to this number of owner processes the entry connects to all of them in advance.
    static constexpr std::size_t maxEagerLinks = 16;

    explicit OwnerLinks(inner::PeerLinks &links) : links_(links) { }

    // Sets the addresses of all owner processes and drops links to others.
    void setAddresses(const std::vector<std::string> &addresses);
    const std::vector<std::string> &addresses() const { return addresses_; }
    bool isOwnerProcess(const std::string &address) const;

    void onUp(inner::LinkId link, const std::string &address);
    void onDown(inner::LinkId link);

    // Returns an established link. Otherwise starts to connect and returns nullopt.
    std::optional<inner::LinkId> findOrDial(const std::string &address);
    absl::Status send(inner::LinkId link, inner::Message message);
    std::size_t connectedCount() const { return addressByLink_.size(); }

private:
    void dial(const std::string &address);

    inner::PeerLinks &links_;
    std::vector<std::string> addresses_;
    std::set<std::string> dialled_;
    std::map<inner::LinkId, std::string> addressByLink_;
    // Includes links that were opened by the other process.
    std::map<std::string, std::vector<inner::LinkId>> linksByAddress_;
};

} // namespace kelptally::entry
