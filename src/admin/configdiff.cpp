#include "admin/configdiff.h"

#include "settings/inidocument.h"

#include <algorithm>

namespace kelptally::admin {

namespace {

using settings::IniEntry;
using settings::IniSection;

std::vector<IniSection> parseSections(const std::string &document)
{
    settings::Findings ignored;
    return settings::parseIni("document", document, ignored);
}

const IniSection *findSection(const std::vector<IniSection> &sections, const std::string &title)
{
    const auto found =
        std::find_if(sections.begin(), sections.end(),
                     [&](const IniSection &section) { return section.title() == title; });
    return found == sections.end() ? nullptr : &*found;
}

const IniEntry *findEntry(const IniSection &section, const std::string &key)
{
    const auto found = std::find_if(section.entries.begin(), section.entries.end(),
                                    [&](const IniEntry &entry) { return entry.key == key; });
    return found == section.entries.end() ? nullptr : &*found;
}

std::string displayedValue(const IniEntry &entry)
{
    return entry.key == "password" ? "(hidden)" : entry.value;
}

void diffEntries(const IniSection &before, const IniSection &after,
                 std::vector<ConfigChange> &changes)
{
    const std::string title = after.title();
    for (const IniEntry &entry : after.entries) {
        const IniEntry *old = findEntry(before, entry.key);
        if (!old)
            changes.push_back({title, entry.key, std::nullopt, displayedValue(entry)});
        else if (old->value != entry.value)
            changes.push_back({title, entry.key, displayedValue(*old), displayedValue(entry)});
    }
    for (const IniEntry &entry : before.entries)
        if (!findEntry(after, entry.key))
            changes.push_back({title, entry.key, displayedValue(entry), std::nullopt});
}

} // namespace

std::vector<ConfigChange> diffDocuments(const std::string &before, const std::string &after)
{
    const std::vector<IniSection> oldSections = parseSections(before);
    const std::vector<IniSection> newSections = parseSections(after);
    std::vector<ConfigChange> changes;
    for (const IniSection &section : newSections) {
        if (const IniSection *old = findSection(oldSections, section.title()))
            diffEntries(*old, section, changes);
        else
            changes.push_back({section.title(), "", std::nullopt, ""});
    }
    for (const IniSection &section : oldSections)
        if (!findSection(newSections, section.title()))
            changes.push_back({section.title(), "", "", std::nullopt});
    return changes;
}

std::string changesToText(const std::vector<ConfigChange> &changes)
{
    std::string text;
    for (const ConfigChange &change : changes) {
        const char *sign = !change.before ? "+" : !change.after ? "-" : "~";
        text += std::string(sign) + " [" + change.section + "]";
        if (!change.key.empty()) {
            text += " " + change.key + ": ";
            if (change.before)
                text += *change.before;
            if (change.before && change.after)
                text += " -> ";
            if (change.after)
                text += *change.after;
        }
        text += "\n";
    }
    return text;
}

} // namespace kelptally::admin
