#pragma once

#include "core/clock.h"
#include "settings/inidocument.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kelptally::settings {

// An inclusive range of allowed values.
struct NumberRange
{
    int minimum = 0;
    int maximum = 0;
};

struct DurationRange
{
    Duration minimum {0};
    Duration maximum {0};
};

struct FractionRange
{
    double minimum = 0;
    double maximum = 0;
    // Names the range in a finding.
    const char *text = "";
};

// An IPv4 address and a port.
struct Endpoint
{
    std::string address;
    int port = 0;

    std::string toText() const { return address + ":" + std::to_string(port); }
};

// Parses an endpoint such as "127.0.0.1:80"; returns nothing if the text is invalid.
std::optional<Endpoint> parseEndpoint(const std::string &text);

// Parses a duration such as "1500us", "250ms", "6.5s", "1e1s", "2m", "24h" or "7d"; returns nothing
// if the text is invalid, and maxParsedDuration for anything above it.
std::optional<Duration> parseDuration(const std::string &text);
constexpr Duration maxParsedDuration = std::chrono::hours(24 * 365);
std::string formatDuration(Duration duration);

// Reads typed values of the keys of one section; each mistake becomes a finding at its line. A key
// without a fallback is required. Call finish() after all keys have been read.
class SectionReader
{
public:
    SectionReader(std::string file, const IniSection &section, Findings &findings);

    // Printable ASCII, not empty, at most maxTextLength bytes.
    std::string text(const std::string &key);
    std::string text(const std::string &key, const std::string &fallback);
    // Letters, digits, '-', '_' and '.', at most maxNameLength.
    std::string name(const std::string &key);
    // Comma-separated names; empty if the key is missing.
    std::vector<std::string> names(const std::string &key);

    int number(const std::string &key, NumberRange range, std::optional<int> fallback = {});
    // A value outside the range is adjusted to its nearest end, and one without a figure to the
    // fallback.
    Duration duration(const std::string &key, DurationRange range,
                      std::optional<Duration> fallback = {});
    // A number that may have a fraction; outside the range it is adjusted like a duration.
    double fraction(const std::string &key, FractionRange range, double fallback);
    // Returns nothing if the key is missing.
    std::optional<Duration> optionalDuration(const std::string &key, DurationRange range);

    Endpoint endpoint(const std::string &key);
    std::vector<std::string> endpoints(const std::string &key);
    // An IPv4 address without a port.
    std::string address(const std::string &key);

    // Comma-separated SHA-256 hashes in hex, converted to lower case; empty if the key is missing.
    std::vector<std::string> hashes(const std::string &key);

    // Returns the index of the value in the allowed words.
    std::size_t choice(const std::string &key, const std::vector<std::string> &words,
                       std::optional<std::size_t> fallback = {});

    // Adds a finding for a key, at its line or, if it is missing, at the line of the section.
    void add(const std::string &key, const std::string &problem);
    // The same for a value that was replaced by another one, which `used` names.
    void addAdjusted(const std::string &key, const std::string &problem, const std::string &used);
    bool has(const std::string &key) const;
    int lineOf(const std::string &key) const;
    std::string title() const { return section_.title(); }

    // Reports the keys of the section that were not read.
    void finish();

private:
    const IniEntry *find(const std::string &key);
    // Returns the value; null, with a finding, if the key is missing or the value is invalid.
    const std::string *required(const std::string &key);
    bool checkText(const std::string &key, const std::string &value);
    std::vector<std::string> list(const std::string &key);

    const std::string file_;
    const IniSection &section_;
    Findings &findings_;
    std::map<std::string, const IniEntry *> entries_;
    std::set<std::string> requestedKeys_;
};

// Maximum length of a value, in bytes.
constexpr std::size_t maxTextLength = 4096;

// Maximum length of the name of a group, server, host and so on.
constexpr std::size_t maxNameLength = 40;

// Returns what is wrong with a name; empty if it is valid.
std::string nameProblem(const std::string &name);

} // namespace kelptally::settings
