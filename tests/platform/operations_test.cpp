#include "core/json.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace kelptally;

namespace {

std::string contentOf(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string sources()
{
    std::string all;
    for (const char *directory : {"src", "platform"})
        for (const auto &entry : std::filesystem::recursive_directory_iterator(
                 SOURCE_DIRECTORY + std::string("/") + directory))
            if (entry.path().extension() == ".cpp")
                all += contentOf(entry.path());
    return all;
}

} // namespace

TEST_CASE("The log examples of the operations page match the code")
{
    const std::string code = sources();
    REQUIRE(code.size() > 100'000);
    std::istringstream page(contentOf(SOURCE_DIRECTORY "/docs/OPERATIONS.md"));
    // Written by the event log itself.
    const std::set<std::string> common = {"time", "level", "host", "event", "reason"};
    int lines = 0;
    for (std::string line; std::getline(page, line);) {
        if (line.rfind("{\"time\"", 0) != 0)
            continue;
        ++lines;
        INFO(line);
        const auto json = parseJson(line);
        REQUIRE(json.ok());
        CHECK(code.find('"' + json->textOf("event") + '"') != std::string::npos);
        for (const std::string &name : json->names) {
            INFO(name);
            CHECK((common.count(name) != 0
                   || code.find(".with(\"" + name + '"') != std::string::npos));
        }
    }
    CHECK(lines >= 8);
}
