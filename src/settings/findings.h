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
};

// The mistakes found in a document. A document with findings must not be used.
class Findings
{
public:
    // Beyond maxFindings, adds one finding on the truncation and drops the others.
    void add(std::string file, int line, std::string key, std::string problem);

    // Sorts by line.
    void sort();

    bool empty() const { return findings_.empty(); }
    const std::vector<Finding> &all() const { return findings_; }

    // Returns a line for each finding: "file:line: section/key: problem".
    std::string toText() const;

    static constexpr std::size_t maxFindings = 1000;

private:
    std::vector<Finding> findings_;
};

} // namespace kelptally::settings
