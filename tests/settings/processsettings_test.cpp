#include "settings/inidocument.h"
#include "settings/processsettings.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::settings;
using namespace std::chrono_literals;

TEST_CASE("the process settings of the demonstration are valid")
{
    for (const char *name : {"entry-1", "entry-2", "owner-1", "owner-2", "owner-3"}) {
        Findings findings;
        const std::string path = std::string(DEMO_DIRECTORY) + "/" + name + ".ini";
        const auto settings = parseProcessSettings(path, readFile(path, findings), findings);
        CHECK(findings.toText().empty());
        CHECK(settings.storeTimeout == 2s);
        CHECK(settings.seeds.size() == 3);
    }
}

TEST_CASE("each mistake in process settings gives a finding")
{
    const std::string text = R"([process]
host = entry-1
zone = a
address = localhost
peer-port = 99999
caller-port = 22201
admin-port = 22401
[platform]
table-service = 127.0.0.1:1
object-store = 127.0.0.1:1
host-list = 127.0.0.1:1
store-timeout = 2 seconds
[keys]
peer-key = short
token-key = long-enough-to-pass
operator-key-hash = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
[tsl]
)";
    Findings findings;
    parseProcessSettings("p.ini", text, findings);
    REQUIRE(findings.all().size() == 5);
    CHECK(findings.all()[0].key == "process/address");
    CHECK(findings.all()[1].key == "process/peer-port");
    CHECK(findings.all()[2].key == "platform/store-timeout");
    CHECK(findings.all()[3].key == "keys/peer-key");
    CHECK(findings.all()[4].key == "tsl");
    CHECK(findings.all()[4].line == 17);
}

TEST_CASE("missing sections and keys of process settings are reported")
{
    Findings findings;
    parseProcessSettings("p.ini", "[tls]\ncertificate = x\n", findings);
    const std::string text = findings.toText();
    CHECK_THAT(text, Catch::Contains("p.ini:0: process: the section is required"));
    CHECK_THAT(text, Catch::Contains("p.ini:0: platform: the section is required"));
    CHECK_THAT(text, Catch::Contains("p.ini:0: keys: the section is required"));
    CHECK_THAT(text, Catch::Contains("p.ini:1: tls/key: certificate and key are required"));
}
