#include "settings/findings.h"

#include <algorithm>

namespace kelptally::settings {

namespace {

// Replaces bytes that are not printable ASCII, as a key may hold any bytes of an invalid file.
std::string printable(std::string text)
{
    for (char &c : text)
        if (c < ' ' || c > '~')
            c = '?';
    return text;
}

} // namespace

void Findings::add(std::string file, int line, std::string key, std::string problem,
                   bool isAdjusted)
{
    if (findings_.size() > maxFindings)
        return;
    if (findings_.size() == maxFindings) {
        problem = "further mistakes are left out";
        isAdjusted = false;
    }
    findings_.push_back(
        {std::move(file), line, printable(std::move(key)), std::move(problem), isAdjusted});
}

bool Findings::hasErrors() const
{
    return std::any_of(findings_.begin(), findings_.end(),
                       [](const Finding &finding) { return !finding.isAdjusted; });
}

void Findings::sort()
{
    std::stable_sort(findings_.begin(), findings_.end(),
                     [](const Finding &a, const Finding &b) { return a.line < b.line; });
}

std::string Findings::toText() const
{
    std::string text;
    for (const Finding &finding : findings_) {
        text += finding.file + ":" + std::to_string(finding.line) + ": ";
        if (!finding.key.empty())
            text += finding.key + ": ";
        text += finding.problem + "\n";
    }
    return text;
}

} // namespace kelptally::settings
