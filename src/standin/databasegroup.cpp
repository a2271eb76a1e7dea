#include "standin/databasegroup.h"

namespace kelptally::standin {

// Outgoing network of one server. Delays messages by the sender's replication delay.
class DatabaseGroup::Link : public PeerNetwork
{
public:
    explicit Link(DatabaseGroup &group) : group_(group) { }

    void setSender(DatabaseServer &sender) { sender_ = &sender; }

    void send(const ServerName &to, std::function<void(Node &)> message) override
    {
        if (DatabaseServer *receiver = group_.find(to))
            receiver->deliver(sender_->name(), sender_->limits().replicationDelay,
                              std::move(message));
    }

private:
    DatabaseGroup &group_;
    DatabaseServer *sender_ = nullptr;
};

DatabaseGroup::DatabaseGroup(const DatabaseGroupSettings &settings) : name_(settings.name)
{
    for (const DatabaseServerSettings &server : settings.servers) {
        links_.push_back(std::make_unique<Link>(*this));
        servers_.push_back(
            std::make_unique<DatabaseServer>(server, settings.schema, *links_.back()));
        links_.back()->setSender(*servers_.back());
    }
}

DatabaseGroup::~DatabaseGroup()
{
    stop();
}

void DatabaseGroup::start()
{
    for (const auto &server : servers_)
        server->start(servers_.front()->name());
}

void DatabaseGroup::stop()
{
    for (const auto &server : servers_)
        server->stop();
}

DatabaseServer *DatabaseGroup::find(const ServerName &name) const
{
    for (const auto &server : servers_)
        if (server->name() == name)
            return server.get();
    return nullptr;
}

void DatabaseGroup::setPartitioned(const ServerName &a, const ServerName &b, bool partitioned)
{
    const auto setAt = [&](const ServerName &at, const ServerName &peer) {
        if (DatabaseServer *server = find(at))
            server->callAndWait(
                [&](DatabaseServer &s) { s.setPeerPartitioned(peer, partitioned); });
    };
    setAt(a, b);
    setAt(b, a);
}

} // namespace kelptally::standin
