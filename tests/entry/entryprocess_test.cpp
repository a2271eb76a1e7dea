#include "../inner/linkfixtures.h"
#include "entryfixtures.h"

#include "admin/adminpeers.h"
#include "entry/entryprocess.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::entry;
using boost::asio::ip::tcp;

namespace {

// An owner process that claims all groups and sends the answers that the test chooses.
class FakeOwner : public inner::RecordedEvents
{
public:
    explicit FakeOwner(const std::string &address)
    {
        links_ = inner::makePeerLinks(inner::linkOptions(address), *this).value();
        address_ = address;
    }

    void onPeerMessage(inner::LinkId link, inner::Message message) override
    {
        if (const auto *locate = std::get_if<inner::Locate>(&message)) {
            const ProcessId self {address_, 1};
            links_
                ->sendOn(link,
                         inner::LocateAnswer {locate->requestId, self, locate->group, 1, address_})
                .IgnoreError();
            return;
        }
        inner::RecordedEvents::onPeerMessage(link, std::move(message));
    }

    inner::Execute execute(std::size_t index)
    {
        return std::get<inner::Execute>(messages[index].message);
    }

    void answer(std::size_t index, const std::string &value)
    {
        inner::ExecuteResult result;
        result.requestId = execute(index).requestId;
        result.executed = Executed::Yes;
        result.rows.values = {{Value(value)}};
        result.rowCount = 1;
        result.byteLength = value.size();
        REQUIRE(links_->sendOn(messages[index].link, result).ok());
    }

private:
    std::unique_ptr<inner::PeerLinks> links_;
    std::string address_;
};

class HttpClient
{
public:
    explicit HttpClient(int port) : socket_(context_)
    {
        socket_.connect(
            {boost::asio::ip::make_address(loopbackAddress()), static_cast<std::uint16_t>(port)});
    }

    void post(const std::string &kind)
    {
        const std::string body =
            "{\"group\":\"offers\",\"kind\":\"" + kind + "\",\"sql\":\"SELECT 1\"}";
        const std::string request = "POST /v1/statement HTTP/1.1\r\nHost: entry\r\n"
                                    "Authorization: Bearer "
            + std::string(callerKey) + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
        boost::asio::write(socket_, boost::asio::buffer(request));
    }

    // Reads until the closing brace of the answer's body or the end of the connection.
    std::string read()
    {
        std::string answer;
        char bytes[1024];
        boost::system::error_code error;
        while (!error && (answer.empty() || answer.back() != '}'))
            answer.append(bytes, socket_.read_some(boost::asio::buffer(bytes), error));
        return answer;
    }

    void close() { socket_.close(); }

private:
    boost::asio::io_context context_;
    tcp::socket socket_;
};

settings::ProcessSettings entrySettings()
{
    settings::ProcessSettings settings;
    settings.host = "host";
    settings.zone = "ebene";
    settings.address = loopbackAddress();
    settings.peerPort = takeFreePort();
    // Nothing listens there: the store is unavailable throughout.
    settings.tableService = takeFreeAddress();
    settings.peerKey = "peer key";
    settings.tokenKey = tokenKey;
    return settings;
}

struct Fixture
{
    Fixture()
    {
        adminPeers.setHandlers([](const std::string &, ConfigVersion) {},
                               [] { return settings::ConfigurationPtr(); });
        admin.start();
        REQUIRE(entry.start(adminPeers).ok());
        auto configuration = std::make_shared<settings::Configuration>(*testConfiguration());
        settings::Inventory &inventory = configuration->inventory;
        inventory.hosts.resize(1);
        inventory.hosts[0].ownerAddress = ownerAddress;
        for (settings::Kind &kind : inventory.kinds)
            kind.deadline = std::chrono::duration_cast<Duration>(inner::waitTimeout);
        entry.install(configuration);
        REQUIRE(inner::becomesTrue([this] { return entry.ready(); }));
        REQUIRE(owner.waitForUps(1));
    }
    ~Fixture()
    {
        entry.stop();
        admin.stop();
    }

    const std::string ownerAddress = takeFreeAddress();
    FakeOwner owner {ownerAddress};
    DutyThread admin {"admin"};
    admin::AdminPeers adminPeers {admin};
    Metrics metrics;
    EntryProcess entry {entrySettings(), metrics};
};

} // namespace

TEST_CASE("Answers that arrive out of order are sent to the right callers")
{
    Fixture f;
    HttpClient first(f.entry.callerPort());
    first.post("edit");
    REQUIRE(f.owner.waitForMessages(1));
    HttpClient second(f.entry.callerPort());
    second.post("edit");
    REQUIRE(f.owner.waitForMessages(2));
    f.owner.answer(1, "second");
    f.owner.answer(0, "first");
    CHECK(first.read().find("[[\"first\"]]") != std::string::npos);
    CHECK(second.read().find("[[\"second\"]]") != std::string::npos);
}

TEST_CASE("Draining completes after the requests in flight are answered")
{
    Fixture f;
    HttpClient client(f.entry.callerPort());
    client.post("edit");
    REQUIRE(f.owner.waitForMessages(1));
    f.entry.drain();
    CHECK_FALSE(f.entry.drained());
    f.owner.answer(0, "whole");
    const std::string answer = client.read();
    CHECK(answer.find("200 OK") != std::string::npos);
    CHECK(answer.find("[[\"whole\"]]") != std::string::npos);
    CHECK(inner::becomesTrue([&] { return f.entry.drained(); }));
}

TEST_CASE("The request of a caller that disconnects is cancelled")
{
    Fixture f;
    HttpClient client(f.entry.callerPort());
    client.post("edit");
    REQUIRE(f.owner.waitForMessages(1));
    client.close();
    REQUIRE(f.owner.waitForMessages(2));
    const auto cancel = std::get<inner::Cancel>(f.owner.messages[1].message);
    CHECK(cancel.requestId == f.owner.execute(0).requestId);
}

TEST_CASE("Refusals by the entry are sent as problem documents and counted")
{
    Fixture f;
    HttpClient client(f.entry.callerPort());
    client.post("offer");
    CHECK(client.read().find("\"reason\":\"key_required\"") != std::string::npos);
    CHECK(f.metrics.toText().find("kelptally_refusals_total{reason=\"key_required\"} 1")
          != std::string::npos);
}
