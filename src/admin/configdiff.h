#pragma once

#include <optional>
#include <string>
#include <vector>

namespace kelptally::admin {

// One difference between two configuration documents.
struct ConfigChange
{
    // Section title without brackets, as "group offers".
    std::string section;
    // Empty when the whole section was added or removed.
    std::string key;
    // Unset where the key or section does not exist. Passwords are replaced by "(hidden)".
    std::optional<std::string> before;
    std::optional<std::string> after;
};

// Returns the differences between two documents: those of the new document's sections in their
// order, then the removed sections. Comments and the order of sections and keys are ignored.
std::vector<ConfigChange> diffDocuments(const std::string &before, const std::string &after);

// Returns one line for each change, as "+ [group offers]", "~ [group offers] team: a -> b".
std::string changesToText(const std::vector<ConfigChange> &changes);

} // namespace kelptally::admin
