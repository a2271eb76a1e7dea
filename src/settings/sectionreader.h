#pragma once

#include "core/clock.h"
#include "settings/inidocument.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kelptally::settings {

// An allowed range, both ends included.
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

// An IPv4 address and a port, as "127.0.0.1:80".
struct Endpoint
{
    std::string address;
    int port = 0;

    std::string toText() const { return address + ":" + std::to_string(port); }
};

// An endpoint without a finding; nothing when the text is not one.
std::optional<Endpoint> parseEndpoint(const std::string &text);

// A duration as "1500us", "250ms", "5s", "2m", "24h" or "7d"; nothing when the text is not one.
std::optional<Duration> parseDuration(const std::string &text);
std::string formatDuration(Duration duration);

// Reads the keys of one section with their types; each mistake becomes a finding at its line. A
// key without a fallback is required. After all keys have been asked for, finish() reports those
// that nobody asked for.
class SectionReader
{
public:
    SectionReader(std::string file, const IniSection &section, Findings &findings);

    // Printable ASCII, not empty, at most maxTextLength bytes.
    std::string text(const std::string &key);
    std::string text(const std::string &key, const std::string &fallback);
    // As text, and a name: letters, digits, '-', '_' and '.'.
    std::string name(const std::string &key);
    // Names with commas between them; empty when the key is missing.
    std::vector<std::string> names(const std::string &key);

    int number(const std::string &key, NumberRange range, std::optional<int> fallback = {});
    Duration duration(const std::string &key, DurationRange range,
                      std::optional<Duration> fallback = {});
    // Without a fallback too: nothing when the key is missing.
    std::optional<Duration> optionalDuration(const std::string &key, DurationRange range);

    Endpoint endpoint(const std::string &key);
    std::vector<std::string> endpoints(const std::string &key);
    // An IPv4 address alone.
    std::string address(const std::string &key);

    // Hex SHA-256 sums with commas between them, in lower case; empty when the key is missing.
    std::vector<std::string> hashes(const std::string &key);

    // One of the words; gives its index.
    std::size_t choice(const std::string &key, const std::vector<std::string> &words,
                       std::optional<std::size_t> fallback = {});

    // Reports a mistake of a key, at its line or, when it is missing, at the section's.
    void add(const std::string &key, const std::string &problem);
    bool has(const std::string &key) const;
    int lineOf(const std::string &key) const;
    std::string title() const { return section_.title(); }

    void finish();

private:
    const IniEntry *find(const std::string &key);
    // The value, or nothing after a finding when a required key is missing.
    const std::string *required(const std::string &key);
    bool checkText(const std::string &key, const std::string &value);
    std::vector<std::string> list(const std::string &key);

    const std::string file_;
    const IniSection &section_;
    Findings &findings_;
    std::map<std::string, const IniEntry *> entries_;
    std::set<std::string> requestedKeys_;
};

// Longest value that is allowed, in bytes.
constexpr std::size_t maxTextLength = 4096;

// Longest name of a group, server, host and so on.
constexpr std::size_t maxNameLength = 40;

// What is wrong with a name; empty when nothing is.
std::string nameProblem(const std::string &name);

} // namespace kelptally::settings
