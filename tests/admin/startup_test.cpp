#include "admin/startup.h"

#include "core/logging.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <initializer_list>
#include <iostream>
#include <sstream>

using namespace kelptally;
using namespace kelptally::admin;

namespace {

constexpr const char *goodSettings = "[process]\n"
                                     "host = h1\n"
                                     "zone = lulea-a\n"
                                     "address = 127.0.0.1\n"
                                     "peer-port = 7001\n"
                                     "admin-port = 7002\n"
                                     "[platform]\n"
                                     "table-service = 127.0.0.1:7101\n"
                                     "object-store = 127.0.0.1:7102\n"
                                     "host-list = 127.0.0.1:7103\n"
                                     "[keys]\n"
                                     "peer-key = 0123456789abcdef\n"
                                     "token-key = 0123456789abcdef\n"
                                     "operator-key-hash = "
                                     "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f200"
                                     "15ad\n";

// Creates a file in the working directory and removes it on destruction.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text) { std::ofstream(path()) << text; }
    ~TemporaryFile() { std::remove(path()); }
    const char *path() const { return "startup_test.ini"; }
};

// Captures what is printed to a stream.
class CapturedOutput
{
public:
    explicit CapturedOutput(std::ostream &stream)
        : stream_(stream), before_(stream.rdbuf(text_.rdbuf()))
    { }
    ~CapturedOutput() { stream_.rdbuf(before_); }
    std::string text() const { return text_.str(); }

private:
    std::ostream &stream_;
    std::ostringstream text_;
    std::streambuf *before_;
};

StartupResult startWith(std::initializer_list<const char *> arguments)
{
    std::vector<const char *> argv = {"program"};
    argv.insert(argv.end(), arguments);
    return startUp(static_cast<int>(argv.size()), argv.data(), "A program");
}

} // namespace

TEST_CASE("A valid settings file is accepted")
{
    const TemporaryFile file(goodSettings);
    const StartupResult result = startWith({"--settings", file.path()});
    CHECK_FALSE(result.exitCode);
    CHECK(result.settings.peerAddress() == "127.0.0.1:7001");
    const CapturedOutput out(std::cout);
    CHECK(startWith({"--settings", file.path(), "--check"}).exitCode == exitOk);
    CHECK(out.text() == "startup_test.ini: no mistakes\n");
}

TEST_CASE("All mistakes of a settings file are printed at once")
{
    std::string text = goodSettings;
    text.replace(text.find("7001"), 4, "0000");
    text.replace(text.find("127.0.0.1\n"), 9, "127.0.0.x");
    text.replace(text.find("host-list"), 9, "host-lost");
    text += "[extra]\n[limits]\nmax-request-bytes = x\n";
    const TemporaryFile file(text);
    const CapturedOutput out(std::cerr);
    CHECK(startWith({"--settings", file.path(), "--check"}).exitCode == exitFailed);
    const std::string report = out.text();
    CAPTURE(report);
    for (const char *place : {"process/peer-port", "process/address", "platform/host-lost",
                              "platform/host-list", "extra", "limits/max-request-bytes"})
        CHECK(report.find(place) != std::string::npos);
}

TEST_CASE("A wrong command line and a wrong settings file have different exit codes")
{
    const CapturedOutput out(std::cerr);
    CHECK(startWith({"--settings", "/nowhere/x.ini"}).exitCode == exitFailed);
    CHECK(out.text().find("/nowhere/x.ini") == 0);
    CHECK(startWith({}).exitCode == exitUsage);
    CHECK(startWith({"--no-such-option"}).exitCode == exitUsage);
    const CapturedOutput version(std::cout);
    CHECK(startWith({"--version"}).exitCode == exitOk);
    CHECK(version.text().find(buildVersion()) != std::string::npos);
}

TEST_CASE("A log value with spaces or quotes stays one field")
{
    CHECK(logValue("offers-1") == "offers-1");
    CHECK(logValue("") == "\"\"");
    CHECK(logValue("no answer") == "\"no answer\"");
    CHECK(logValue("a\"b\n=") == "\"a\\\"b =\"");
}
