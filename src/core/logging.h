#pragma once

#include <string>
#include <string_view>

namespace kelptally {

// Initialises glog, once per process: logs to files in the directory, or to standard error when it
// is empty. Levels: 0 info, 1 warning, 2 error.
void startLogging(const char *program, const std::string &directory, int level);

// Initialises glog without output of its own, for a process that installs a log sink.
void startLibraryLogging(const char *program);

// Formats a value for a key=value log line: unchanged if it is one plain word, else quoted.
std::string logValue(std::string_view value);

} // namespace kelptally
