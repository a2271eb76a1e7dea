#pragma once

#include "settings/sectionreader.h"

#include <algorithm>
#include <string>

namespace kelptally::settings {

// An allowed or required section of a settings file, and the function that reads it.
template <typename Settings>
struct SectionSchema
{
    const char *type;
    bool required;
    void (*read)(SectionReader &, Settings &);
};

// Reads a file with the given sections. Unknown and missing sections are findings.
template <typename Settings, std::size_t Count>
Settings readSections(const std::string &file, const std::string &text,
                      const SectionSchema<Settings> (&schemas)[Count], Findings &findings)
{
    Settings settings;
    const auto sections = parseIni(file, text, findings);
    for (const IniSection &section : sections) {
        // The section is invalid and was reported by the parser.
        if (section.type.empty())
            continue;
        const auto schema =
            std::find_if(std::begin(schemas), std::end(schemas),
                         [&](const auto &each) { return section.title() == each.type; });
        if (schema == std::end(schemas)) {
            std::string allowed;
            for (const auto &each : schemas)
                allowed += std::string(allowed.empty() ? "" : ", ") + each.type;
            findings.add(file, section.line, section.title(),
                         "unknown section; allowed are " + allowed);
            continue;
        }
        SectionReader reader(file, section, findings);
        schema->read(reader, settings);
        reader.finish();
    }
    for (const auto &schema : schemas) {
        const bool found =
            std::any_of(sections.begin(), sections.end(),
                        [&](const IniSection &section) { return section.title() == schema.type; });
        if (schema.required && !found)
            findings.add(file, 0, schema.type, "the section is required");
    }
    findings.sort();
    return settings;
}

} // namespace kelptally::settings
