#include "settings/sectionreader.h"

#include <absl/strings/numbers.h>
#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace kelptally::settings {

namespace {

struct Unit
{
    std::string_view name;
    Duration length;
};

// In descending order, for formatDuration().
constexpr Unit units[] = {
    {"d", std::chrono::hours(24)},        {"h", std::chrono::hours(1)},
    {"m", std::chrono::minutes(1)},       {"s", std::chrono::seconds(1)},
    {"ms", std::chrono::milliseconds(1)}, {"us", std::chrono::microseconds(1)},
};

constexpr int hashLength = 64;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

template <typename T>
std::optional<T> parseInteger(std::string_view text)
{
    T number {};
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return number;
}

// Parses a number without a sign, in any form that JSON allows. A number that is too large for its
// type is infinite.
std::optional<double> parseFigure(std::string_view text)
{
    double number = 0;
    const bool valid = !text.empty() && isDigit(text.front())
        && text.find_first_not_of("0123456789.eE+-") == std::string_view::npos
        && absl::SimpleAtod(absl::string_view(text.data(), text.size()), &number);
    return valid ? std::optional<double>(number) : std::nullopt;
}

// Whether the text is a unit without a figure, as it is rendered for a figure that is missing.
bool lacksFigure(const std::string &text)
{
    return std::any_of(std::begin(units), std::end(units),
                       [&text](const Unit &unit) { return unit.name == text; });
}

bool isPrintable(char c)
{
    return c >= ' ' && c <= '~';
}

bool isNameCharacter(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return letter || isDigit(c) || c == '-' || c == '_' || c == '.';
}

bool isHash(const std::string &text)
{
    return text.size() == hashLength
        && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

std::string lowerCase(std::string text)
{
    for (char &c : text)
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    return text;
}

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const auto &word : words)
        text += (text.empty() ? "" : ", ") + word;
    return text;
}

constexpr char endpointForm[] = "not an address and port; allowed is IPv4:PORT with a port of 1 to"
                                " 65535, such as 127.0.0.1:8080";

} // namespace

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    const auto port = parseInteger<int>(std::string_view(text).substr(colon + 1));
    if (error || !port || *port < 1 || *port > 65535)
        return std::nullopt;
    return Endpoint {address.to_string(), *port};
}

std::optional<Duration> parseDuration(const std::string &text)
{
    const auto unitAt = text.find_last_not_of("abcdefghijklmnopqrstuvwxyz") + 1;
    const std::string_view figure = std::string_view(text).substr(0, unitAt);
    for (const Unit &unit : units) {
        if (unit.name != std::string_view(text).substr(unitAt))
            continue;
        const std::optional<double> count = parseFigure(figure);
        if (!count)
            return std::nullopt;
        const std::chrono::duration<double, std::nano> exact = unit.length * *count;
        if (exact >= maxParsedDuration)
            return maxParsedDuration;
        return std::chrono::round<Duration>(exact);
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    for (const Unit &unit : units)
        if (duration.count() != 0 && duration % unit.length == Duration(0))
            return std::to_string(duration / unit.length) + std::string(unit.name);
    return std::to_string(duration / std::chrono::milliseconds(1)) + "ms";
}

std::string nameProblem(const std::string &name)
{
    if (name.empty())
        return "the name is empty";
    if (name.size() > maxNameLength)
        return "the name is longer than " + std::to_string(maxNameLength) + " characters";
    if (!std::all_of(name.begin(), name.end(), isNameCharacter))
        return "not a name; allowed are letters, digits, '-', '_' and '.'";
    return {};
}

SectionReader::SectionReader(std::string file, const IniSection &section, Findings &findings)
    : file_(std::move(file)), section_(section), findings_(findings)
{
    for (const auto &entry : section.entries)
        entries_.emplace(entry.key, &entry);
}

const IniEntry *SectionReader::find(const std::string &key)
{
    requestedKeys_.insert(key);
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : found->second;
}

const std::string *SectionReader::required(const std::string &key)
{
    const IniEntry *entry = find(key);
    if (!entry) {
        add(key, "the key is required");
        return nullptr;
    }
    return checkText(key, entry->value) ? &entry->value : nullptr;
}

bool SectionReader::checkText(const std::string &key, const std::string &value)
{
    if (value.empty())
        add(key, "the value is empty");
    else if (value.size() > maxTextLength)
        add(key, "the value is longer than " + std::to_string(maxTextLength) + " bytes");
    else if (!std::all_of(value.begin(), value.end(), isPrintable))
        add(key, "the value holds a byte that is not printable ASCII");
    else
        return true;
    return false;
}

std::string SectionReader::text(const std::string &key)
{
    const std::string *value = required(key);
    return value ? *value : std::string();
}

std::string SectionReader::text(const std::string &key, const std::string &fallback)
{
    return find(key) ? text(key) : fallback;
}

std::string SectionReader::name(const std::string &key)
{
    const std::string *value = required(key);
    if (!value)
        return {};
    const std::string problem = nameProblem(*value);
    if (!problem.empty())
        add(key, problem);
    return problem.empty() ? *value : std::string();
}

std::vector<std::string> SectionReader::list(const std::string &key)
{
    std::vector<std::string> items;
    if (!find(key))
        return items;
    const std::string *value = required(key);
    for (std::size_t at = 0; value && at <= value->size();) {
        const std::size_t end = std::min(value->find(',', at), value->size());
        const std::string item = value->substr(at, end - at);
        const auto first = item.find_first_not_of(' ');
        items.push_back(first == std::string::npos
                            ? std::string()
                            : item.substr(first, item.find_last_not_of(' ') - first + 1));
        at = end + 1;
    }
    return items;
}

std::vector<std::string> SectionReader::names(const std::string &key)
{
    std::vector<std::string> items = list(key);
    for (const auto &item : items) {
        const std::string problem = nameProblem(item);
        if (!problem.empty())
            add(key, problem);
    }
    return items;
}

int SectionReader::number(const std::string &key, NumberRange range, std::optional<int> fallback)
{
    if (fallback && !find(key))
        return *fallback;
    const std::string *value = required(key);
    if (!value)
        return range.minimum;
    const auto number = parseInteger<int>(*value);
    if (number && *number >= range.minimum && *number <= range.maximum)
        return *number;
    add(key,
        "not a whole number from " + std::to_string(range.minimum) + " to "
            + std::to_string(range.maximum));
    return range.minimum;
}

Duration SectionReader::duration(const std::string &key, DurationRange range,
                                 std::optional<Duration> fallback)
{
    if (fallback && !find(key))
        return *fallback;
    const std::string *value = required(key);
    if (!value)
        return range.minimum;
    const auto duration = parseDuration(*value);
    const std::string problem = "not a duration from " + formatDuration(range.minimum) + " to "
        + formatDuration(range.maximum) + "; the units are ms, s, m, h and d, such as 250ms";
    if (!duration && fallback && lacksFigure(*value)) {
        addAdjusted(key, "the figure is missing", formatDuration(*fallback));
        return *fallback;
    }
    if (!duration) {
        add(key, problem);
        return range.minimum;
    }
    const Duration nearest = std::clamp(*duration, range.minimum, range.maximum);
    if (nearest != *duration)
        addAdjusted(key, problem, formatDuration(nearest));
    return nearest;
}

double SectionReader::fraction(const std::string &key, FractionRange range, double fallback)
{
    if (!find(key))
        return fallback;
    const std::string *value = required(key);
    double number = 0;
    const bool valid = value && absl::SimpleAtod(*value, &number) && std::isfinite(number);
    if (!valid) {
        if (value)
            add(key, range.text);
        return fallback;
    }
    const double nearest = std::clamp(number, range.minimum, range.maximum);
    if (nearest != number)
        addAdjusted(key, range.text, std::to_string(nearest));
    return nearest;
}

std::optional<Duration> SectionReader::optionalDuration(const std::string &key, DurationRange range)
{
    if (!find(key))
        return std::nullopt;
    return duration(key, range);
}

Endpoint SectionReader::endpoint(const std::string &key)
{
    const std::string *value = required(key);
    if (!value)
        return {};
    const auto endpoint = parseEndpoint(*value);
    if (!endpoint)
        add(key, endpointForm);
    return endpoint.value_or(Endpoint {});
}

std::vector<std::string> SectionReader::endpoints(const std::string &key)
{
    std::vector<std::string> items = list(key);
    for (auto &item : items) {
        const auto endpoint = parseEndpoint(item);
        if (!endpoint)
            add(key, endpointForm);
        else
            item = endpoint->toText();
    }
    return items;
}

std::string SectionReader::address(const std::string &key)
{
    const std::string *value = required(key);
    if (!value)
        return {};
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(*value, error);
    if (error)
        add(key, "not an IPv4 address, such as 127.0.0.1");
    return error ? std::string() : address.to_string();
}

std::vector<std::string> SectionReader::hashes(const std::string &key)
{
    std::vector<std::string> items = list(key);
    for (auto &item : items) {
        if (!isHash(item))
            add(key, "not a SHA-256 sum; allowed are 64 hexadecimal digits");
        item = lowerCase(item);
    }
    return items;
}

std::size_t SectionReader::choice(const std::string &key, const std::vector<std::string> &words,
                                  std::optional<std::size_t> fallback)
{
    if (fallback && !find(key))
        return *fallback;
    const std::string *value = required(key);
    if (!value)
        return 0;
    const auto found = std::find(words.begin(), words.end(), *value);
    if (found != words.end())
        return static_cast<std::size_t>(found - words.begin());
    add(key, "unknown value; allowed are " + joined(words));
    return 0;
}

void SectionReader::add(const std::string &key, const std::string &problem)
{
    findings_.add(file_, lineOf(key), section_.title() + "/" + key, problem);
}

void SectionReader::addAdjusted(const std::string &key, const std::string &problem,
                                const std::string &used)
{
    findings_.add(file_, lineOf(key), section_.title() + "/" + key, problem + "; used is " + used,
                  true);
}

bool SectionReader::has(const std::string &key) const
{
    return entries_.count(key) != 0;
}

int SectionReader::lineOf(const std::string &key) const
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? section_.line : found->second->line;
}

void SectionReader::finish()
{
    for (const auto &entry : section_.entries)
        if (requestedKeys_.count(entry.key) == 0)
            add(entry.key,
                "unknown key; allowed are "
                    + joined({requestedKeys_.begin(), requestedKeys_.end()}));
}

} // namespace kelptally::settings
