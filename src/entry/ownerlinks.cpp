#include "entry/ownerlinks.h"

#include <algorithm>

namespace kelptally::entry {

void OwnerLinks::setAddresses(const std::vector<std::string> &addresses)
{
    addresses_ = addresses;
    for (auto it = dialled_.begin(); it != dialled_.end();) {
        if (isOwnerProcess(*it)) {
            ++it;
            continue;
        }
        links_.drop(*it);
        it = dialled_.erase(it);
    }
    if (addresses_.size() > maxEagerLinks)
        return;
    for (const std::string &address : addresses_)
        dial(address);
}

bool OwnerLinks::isOwnerProcess(const std::string &address) const
{
    return std::find(addresses_.begin(), addresses_.end(), address) != addresses_.end();
}

void OwnerLinks::dial(const std::string &address)
{
    if (isOwnerProcess(address) && dialled_.insert(address).second)
        links_.connect(address);
}

void OwnerLinks::onUp(inner::LinkId link, const std::string &address)
{
    addressByLink_[link] = address;
    linksByAddress_[address].push_back(link);
}

void OwnerLinks::onDown(inner::LinkId link)
{
    const auto found = addressByLink_.find(link);
    if (found == addressByLink_.end())
        return;
    const auto links = linksByAddress_.find(found->second);
    links->second.erase(std::remove(links->second.begin(), links->second.end(), link),
                        links->second.end());
    if (links->second.empty())
        linksByAddress_.erase(links);
    addressByLink_.erase(found);
}

std::optional<inner::LinkId> OwnerLinks::findOrDial(const std::string &address)
{
    const auto found = linksByAddress_.find(address);
    if (found != linksByAddress_.end())
        return found->second.back();
    dial(address);
    return std::nullopt;
}

absl::Status OwnerLinks::send(inner::LinkId link, inner::Message message)
{
    return links_.sendOn(link, std::move(message));
}

} // namespace kelptally::entry
