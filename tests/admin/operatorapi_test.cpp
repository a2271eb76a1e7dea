#include "framefixture.h"

#include "caller/httpclient.h"
#include "caller/selfsigned.h"

using namespace kelptally;
using namespace kelptally::admin;

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

caller::RawAnswer get(const FrameFixture &fixture, const std::string &path,
                      const std::string &headers = {})
{
    caller::RawClient client(fixture.frame.adminPort());
    client.send("GET " + path + " HTTP/1.1\r\nHost: t\r\n" + headers + "\r\n");
    return client.receive();
}

const std::string fileName = "operatorapi_test.ini";

} // namespace

TEST_CASE("An applied document comes into force and appears in the history")
{
    FrameFixture fixture;
    fixture.links.connectPeer(0, "");
    CHECK(get(fixture, "/readyz").status == 503);
    CHECK(get(fixture, "/readyz").body == "no configuration yet\n");
    const TemporaryFile file(fileName, smallConfiguration());
    CHECK(fixture.ctl({"apply", fileName, "--expect", "0", "--author", "Ada", "--wait"})
          == CtlExit::Done);
    CHECK(fixture.out == "accepted as version 1\n");
    CHECK(contains(fixture.err, "version 1: 2 of 2 processes have it"));
    CHECK(fixture.program.waitForVersion(1));
    CHECK(get(fixture, "/readyz").status == 200);
    CHECK(contains(get(fixture, "/metrics").body, "kelptally_config_version 1"));

    CHECK(fixture.ctl({"history"}) == CtlExit::Done);
    CHECK(contains(fixture.out, "1  20"));
    CHECK(contains(fixture.out, "  Ada  "));
    CHECK(fixture.ctl({"show"}) == CtlExit::Done);
    CHECK(fixture.out == smallConfiguration());

    const TemporaryFile changed("operatorapi_test_2.ini",
                                smallConfiguration("deadline = 3s\n[limits]\nqueue-length = 9\n"));
    CHECK(fixture.ctl({"diff", changed.path()}) == CtlExit::Done);
    CHECK(fixture.out == "+ [kind browse] deadline: 3s\n+ [limits]\n");
    CHECK(fixture.ctl({"apply", changed.path(), "--expect", "1"}) == CtlExit::Done);
    CHECK(fixture.program.waitForVersion(2));
    CHECK(fixture.ctl({"show", "--number", "1"}) == CtlExit::Done);
    CHECK(fixture.out == smallConfiguration());
}

TEST_CASE("A second apply on the same version is a conflict")
{
    FrameFixture fixture;
    const TemporaryFile file(fileName, smallConfiguration());
    CHECK(fixture.ctl({"apply", fileName, "--expect", "0"}) == CtlExit::Done);
    CHECK(fixture.ctl({"apply", fileName, "--expect", "0"}) == CtlExit::Conflict);
    CHECK(contains(fixture.err, "version_conflict"));
    CHECK(contains(fixture.err, "the newest version is 1, not 0"));
}

TEST_CASE("An invalid document is refused with the same list of mistakes as check prints")
{
    FrameFixture fixture;
    const TemporaryFile file(fileName, smallConfiguration("deadline = soon\nfoo = 1\n"));
    CHECK(fixture.ctl({"apply", fileName, "--expect", "0"}) == CtlExit::Mistakes);
    const std::string byApply = fixture.err;
    CHECK(contains(byApply, "kind browse/deadline"));
    CHECK(contains(byApply, "kind browse/foo"));
    std::ostringstream out;
    std::ostringstream err;
    CHECK(runCtl({"check", fileName}, out, err) == CtlExit::Mistakes);
    CHECK(err.str() == byApply);

    // The API refuses it too, without the check that kelptallyctl makes.
    caller::RawClient client(fixture.frame.adminPort());
    client.post("/admin/v1/configuration/apply",
                R"({"document":"[zone]","expect":0,"author":"a","changeId":"c"})",
                "Authorization: Bearer root\r\n");
    const caller::RawAnswer answer = client.receive();
    CAPTURE(answer.body);
    CHECK(answer.status == 422);
    CHECK(contains(answer.body, "\"reason\":\"invalid_configuration\""));
    CHECK(contains(answer.body,
                   R"({"place":"line 1: zone/region","problem":"the key is required"})"));
}

TEST_CASE(
    "A lost answer is reported as unknown, and a retry with the same change id is accepted once")
{
    FrameFixture fixture;
    const TemporaryFile file(fileName, smallConfiguration());
    fixture.faults.loseAnswer = true;
    CHECK(fixture.ctl({"apply", fileName, "--expect", "0", "--change-id", "c1"})
          == CtlExit::Unknown);
    CHECK(contains(fixture.err, "--change-id c1"));
    CHECK(fixture.ctl({"apply", fileName, "--expect", "0", "--change-id", "c1"}) == CtlExit::Done);
    CHECK(fixture.out == "accepted as version 1\n");
    fixture.faults.down = true;
    CHECK(fixture.ctl({"apply", fileName, "--expect", "1"}) == CtlExit::Refused);
    CHECK(contains(fixture.err, "store_unavailable"));
    // The version in force can still be read.
    CHECK(fixture.program.waitForVersion(1));
    CHECK(fixture.ctl({"show"}) == CtlExit::Done);
    CHECK(fixture.out == smallConfiguration());
}

TEST_CASE("An operator's key limits the calls and the groups shown")
{
    FrameFixture fixture;
    const TemporaryFile file(fileName, smallConfiguration());
    REQUIRE(fixture.ctl({"apply", fileName, "--expect", "0"}) == CtlExit::Done);
    REQUIRE(fixture.program.waitForVersion(1));
    CHECK(get(fixture, "/admin/v1/status").status == 401);
    CHECK(get(fixture, "/admin/v1/status", "Authorization: Bearer caller\r\n").status == 401);
    CHECK(get(fixture, "/admin/v1/nothing", "Authorization: Bearer root\r\n").status == 404);

    CHECK(fixture.ctl({"status"}) == CtlExit::Done);
    CHECK(contains(fixture.out, "offers-s1"));
    CHECK(contains(fixture.out, "ledger-s1"));

    fixture.setKey("broker");
    CHECK(fixture.ctl({"status"}) == CtlExit::Done);
    CHECK(contains(fixture.out, "offers-s1"));
    CHECK_FALSE(contains(fixture.out, "ledger"));
    for (const std::vector<std::string> &arguments : {std::vector<std::string> {"show"},
                                                      {"history"},
                                                      {"diff", fileName},
                                                      {"drain", "h1"},
                                                      {"apply", fileName, "--expect", "1"},
                                                      {"promote", "ledger", "ledger-s2"}}) {
        CAPTURE(arguments);
        CHECK(fixture.ctl(arguments) == CtlExit::Refused);
        CHECK(contains(fixture.err, "forbidden"));
    }
    CHECK(fixture.ctl({"promote", "offers", "offers-s2"}) == CtlExit::Done);
    fixture.setKey("wrong");
    CHECK(fixture.ctl({"status"}) == CtlExit::Refused);
    CHECK(contains(fixture.err, "unauthenticated"));
    CHECK_FALSE(contains(fixture.err, "wrong"));
}

TEST_CASE("Drain is sent to both processes of a host and promote to the owner")
{
    FrameFixture fixture;
    const TemporaryFile file(fileName, smallConfiguration());
    REQUIRE(fixture.ctl({"apply", fileName, "--expect", "0"}) == CtlExit::Done);
    REQUIRE(fixture.program.waitForVersion(1));
    CHECK(fixture.ctl({"drain", "h1"}) == CtlExit::Done);
    CHECK(fixture.out
          == "127.0.0.1:2 is draining; see status\n127.0.0.1:1 is draining; see status\n");
    CHECK(fixture.program.takeRequests(inner::OperatorCommand::Drain).size() == 1);
    CHECK(fixture.ctl({"status", "--json"}) == CtlExit::Done);
    CHECK(contains(fixture.out, R"("role":"entry","address":"127.0.0.1:2","reachable":true)"));
    CHECK(contains(fixture.out, R"("draining":true)"));
    CHECK(fixture.ctl({"drain", "h9"}) == CtlExit::Refused);

    fixture.frame.peers().setLinks(nullptr);
    CHECK(fixture.ctl({"drain", "h1"}) == CtlExit::Refused);
    CHECK(contains(fixture.out, "127.0.0.1:2: "));
    CHECK(contains(fixture.out, "127.0.0.1:1 is draining"));

    CHECK(fixture.ctl({"promote", "ledger", "ledger-s3", "--accept-loss"}) == CtlExit::Done);
    const auto requests = fixture.program.takeRequests(inner::OperatorCommand::Promote);
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].group == "ledger");
    CHECK(requests[0].server == "ledger-s3");
    CHECK(requests[0].acceptLoss);
    CHECK(fixture.ctl({"promote", "nothing", "s"}) == CtlExit::Refused);
    CHECK(contains(fixture.err, "unknown_group"));
}

TEST_CASE("A version that a peer announces is fetched from it and put in force")
{
    FrameFixture fixture;
    fixture.faults.down = true;
    fixture.links.connectPeer(5, smallConfiguration());
    CHECK(fixture.program.waitForVersion(5));
    CHECK(fixture.frame.configuration()->document == smallConfiguration());
}

TEST_CASE("kelptallyctl uses any live proxy and lists those that failed")
{
    FrameFixture fixture;
    std::ostringstream out;
    std::ostringstream err;
    CHECK(runCtl({"status", "-p", "127.0.0.1:1", "-p", fixture.proxy()}, out, err)
          == CtlExit::Done);
    CHECK(runCtl({"status", "-p", "127.0.0.1:1", "-p", "nowhere"}, out, err)
          == CtlExit::Unreachable);
    CHECK(contains(err.str(), "127.0.0.1:1: Connection refused"));
    CHECK(contains(err.str(), "nowhere: must be an IP and a port"));
    CHECK(runCtl({"status"}, out, err) == CtlExit::Usage);
    CHECK(runCtl({"nothing"}, out, err) == CtlExit::Usage);
    CHECK(runCtl({"apply"}, out, err) == CtlExit::Usage);
    CHECK(runCtl({"explain", "no_such"}, out, err) == CtlExit::Usage);
    CHECK(runCtl({"explain", "queue_full"}, out, err) == CtlExit::Done);
}

TEST_CASE("kelptallyctl connects with TLS when a CA is given")
{
    const caller::SelfSigned certificate("operatorapi_test");
    FrameFixture fixture(certificate.files);
    const TemporaryFile options("operatorapi_test_options.ini",
                                "[kelptallyctl]\nproxies = " + fixture.proxy()
                                    + "\nkey = root\nca = " + certificate.files.certificate + "\n");
    unsetenv("KELPTALLY_OPERATOR_KEY");
    std::ostringstream out;
    std::ostringstream err;
    const CtlExit exit = runCtl({"status", "--options", options.path()}, out, err);
    CAPTURE(err.str());
    CHECK(exit == CtlExit::Done);
    CHECK(contains(out.str(), "configuration version 0"));
}

// The API allowed ten times as many versions as the store reads, and returned fewer without a word.
TEST_CASE("A history is limited to what the store reads, with a clear error beyond")
{
    FrameFixture fixture;
    const std::string path = "/admin/v1/configuration/history?limit=";
    const std::string key = "Authorization: Bearer root\r\n";
    CHECK(get(fixture, path + std::to_string(maxHistoryLimit), key).status == 200);
    const auto refused = get(fixture, path + std::to_string(maxHistoryLimit + 1), key);
    CHECK(refused.status == 400);
    CHECK(contains(refused.body, "limit: at most 100"));
}
