#include "core/reason.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

using namespace kelptally;

namespace {

namespace fs = std::filesystem;

std::string textOf(const fs::path &path)
{
    std::ifstream file(path);
    REQUIRE(file.is_open());
    return std::string(std::istreambuf_iterator<char>(file), {});
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || c == '_';
}

// Returns each name between the two texts; spaces, line ends and a quote after the first are
// skipped.
std::set<std::string> namesBetween(const std::string &text, const std::string &before,
                                   const std::string &after)
{
    std::set<std::string> found;
    for (std::size_t at = text.find(before); at != text.npos; at = text.find(before, at)) {
        at += before.size();
        std::size_t begin = text.find_first_not_of(" \n", at);
        if (begin != text.npos && text[begin] == '"')
            ++begin;
        std::size_t end = begin;
        while (end < text.size() && isNameCharacter(text[end]))
            ++end;
        if (end != begin && text.compare(end, after.size(), after) == 0)
            found.insert(text.substr(begin, end - begin));
    }
    return found;
}

std::set<std::string> metricsOf(const std::string &text)
{
    std::set<std::string> found;
    for (const char *call : {"counter(", "gauge(", "histogram("})
        for (const std::string &name : namesBetween(text, call, "\""))
            if (name.rfind("kelptally_", 0) == 0)
                found.insert(name);
    return found;
}

// Returns the concatenated text of all sources below src.
const std::string &sources()
{
    static const std::string all = [] {
        std::string text;
        for (const auto &entry : fs::recursive_directory_iterator(KELPTALLY_SOURCE_DIR "/src"))
            if (entry.path().extension() == ".cpp")
                text += textOf(entry.path());
        return text;
    }();
    return all;
}

const std::string &page()
{
    static const std::string text = textOf(KELPTALLY_SOURCE_DIR "/docs/METRICS.md");
    return text;
}

// Returns the names that are in the first set but not in the second.
std::vector<std::string> missing(const std::set<std::string> &from, const std::set<std::string> &in)
{
    std::vector<std::string> result;
    std::set_difference(from.begin(), from.end(), in.begin(), in.end(), std::back_inserter(result));
    return result;
}

} // namespace

TEST_CASE("The metrics page lists exactly the metrics of the code")
{
    const auto inCode = metricsOf(sources());
    std::set<std::string> onPage;
    for (const std::string &name : namesBetween(page(), "\n| `", "` |"))
        if (name.rfind("kelptally_", 0) == 0)
            onPage.insert(name);
    CHECK(inCode.size() > 20);
    CHECK(missing(inCode, onPage) == std::vector<std::string>());
    CHECK(missing(onPage, inCode) == std::vector<std::string>());
}

TEST_CASE("The metrics page has a row for every reason")
{
    for (const ReasonInfo &info : allReasons()) {
        const std::string row = "| `" + std::string(info.name) + "` | "
            + std::to_string(info.httpStatus) + " | " + std::string(executedName(info.executed))
            + " | " + (info.retryable ? "yes" : "no") + " | " + std::string(info.explanation)
            + " |\n";
        CAPTURE(row);
        CHECK(page().find(row) != std::string::npos);
    }
    const std::size_t begin = page().find("## Reasons");
    const std::string reasons = page().substr(begin, page().find("## Log lines") - begin);
    CHECK(namesBetween(reasons, "\n| `", "` | ").size() == allReasons().size());
}

TEST_CASE("Every log event on the metrics page exists in the code")
{
    const std::string lines = page().substr(page().find("## Log lines"));
    std::set<std::string> onPage = namesBetween(lines, "\n| `", "`");
    for (const std::string &name : namesBetween(lines, ", `", "`"))
        onPage.insert(name);
    const auto inCode = namesBetween(sources(), "event=", "");
    CHECK(onPage.size() > 10);
    CHECK(missing(onPage, inCode) == std::vector<std::string>());
}
