#include "core/logging.h"

#include <glog/logging.h>

#include <algorithm>

namespace kelptally {

namespace {

bool isPlain(char c)
{
    return c > 0x20 && c < 0x7f && c != '"' && c != '=' && c != '\\';
}

} // namespace

void startLogging(const char *program, const std::string &directory, int level)
{
    FLAGS_minloglevel = level;
    FLAGS_logtostderr = directory.empty();
    FLAGS_log_dir = directory;
    // Flushes the log files at least once a second.
    FLAGS_logbufsecs = 1;
    google::InitGoogleLogging(program);
}

void startLibraryLogging(const char *program)
{
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    google::InitGoogleLogging(program);
}

std::string logValue(std::string_view value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain))
        return std::string(value);
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    return text + '"';
}

} // namespace kelptally
