#pragma once

#include <string>
#include <vector>

namespace kelptally::settings {

// A mistake in a settings or configuration file and its location.
struct Finding
{
    std::string file;
    int line = 0;
    // "section/key", or "section".
    std::string key;
    // The mistake and the allowed values.
    std::string problem;
    // Whether the document can be used with another value than the one that it has.
    bool isAdjusted = false;
};

// The mistakes found in a document. A document with errors must not be used; one whose findings are
// all adjusted may be, where it can't be corrected.
class Findings
{
public:
    // Beyond maxFindings, adds one finding on the truncation and drops the others.
    void add(std::string file, int line, std::string key, std::string problem,
             bool isAdjusted = false);

    // Sorts by line.
    void sort();

    bool empty() const { return findings_.empty(); }
    bool hasErrors() const;
    const std::vector<Finding> &all() const { return findings_; }

    // Returns a line for each finding: "file:line: section/key: problem".
    std::string toText() const;

    static constexpr std::size_t maxFindings = 1000;

private:
    std::vector<Finding> findings_;
};

} // namespace kelptally::settings
