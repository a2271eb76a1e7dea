#pragma once

#include "settings/findings.h"

#include <functional>
#include <string>
#include <vector>

namespace kelptally::settings {

// A "key = value" entry and its line.
struct IniEntry
{
    std::string key;
    std::string value;
    int line = 0;
};

// A section "[type name]" or "[type]" and its entries. Keys are unique: a duplicate is a finding
// and is dropped.
struct IniSection
{
    std::string type;
    std::string name;
    int line = 0;
    std::vector<IniEntry> entries;

    // The text between the brackets.
    std::string title() const { return name.empty() ? type : type + " " + name; }
};

// Maximum size of a file, in bytes: a document with its envelope fits in a frame of 4 MiB between
// processes.
constexpr std::size_t maxDocumentBytes = (4 << 20) - 4096;

// Maximum length of a line, in bytes.
constexpr std::size_t maxLineBytes = 8000;

// Parses an INI text in UTF-8 into its sections, in order. Comments are whole lines that start with
// ';' or '#'. Invalid input becomes findings; the result holds the valid rest for further checks.
std::vector<IniSection> parseIni(const std::string &file, const std::string &text,
                                 Findings &findings);

// The same, with a callback for each section, to save memory for large documents.
using SectionHandler = std::function<void(const IniSection &)>;
void parseIni(const std::string &file, const std::string &text, Findings &findings,
              const SectionHandler &onSection);

// Returns the content of a file; empty, with a finding, if it cannot be read or is too large.
std::string readFile(const std::string &path, Findings &findings);

} // namespace kelptally::settings
