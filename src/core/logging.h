#pragma once

#include <string>
#include <string_view>

namespace kelptally {

// Starts glog once for the process: to files in the directory, or to standard error when it is
// empty. Levels: 0 info, 1 warning, 2 error.
void startLogging(const char *program, const std::string &directory, int level);

// Starts glog without any output of its own, for a process whose lines go through a sink.
void startLibraryLogging(const char *program);

// A value for a key=value log line: bare when it is one plain word, else quoted and escaped.
std::string logValue(std::string_view value);

} // namespace kelptally
