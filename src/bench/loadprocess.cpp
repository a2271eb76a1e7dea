#include "bench/loadprocess.h"

#include <absl/strings/str_cat.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>

namespace kelptally::bench {

namespace {

std::string readProcFile(int processId, const char *name)
{
    std::ifstream file(absl::StrCat("/proc/", processId, "/", name));
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

absl::Status processNotFound(int processId)
{
    return absl::NotFoundError(absl::StrCat("no such process: ", processId));
}

} // namespace

absl::StatusOr<Duration> processorTime(const std::vector<int> &processIds)
{
    Duration sum {0};
    for (const int processId : processIds) {
        const std::string text = readProcFile(processId, "stat");
        // The process name in parentheses may contain blanks, so the fields are counted from the
        // last ')': the next is field 3, utime and stime are fields 14 and 15.
        const std::size_t nameEnd = text.rfind(')');
        if (nameEnd == std::string::npos)
            return processNotFound(processId);
        std::istringstream fields(text.substr(nameEnd + 1));
        std::string skipped;
        for (int field = 3; field < 14; ++field)
            fields >> skipped;
        std::int64_t userTicks = 0;
        std::int64_t systemTicks = 0;
        fields >> userTicks >> systemTicks;
        sum += Duration(std::chrono::seconds(userTicks + systemTicks)) / sysconf(_SC_CLK_TCK);
    }
    return sum;
}

absl::StatusOr<std::int64_t> residentMemory(int processId)
{
    std::istringstream lines(readProcFile(processId, "status"));
    std::string key;
    while (lines >> key) {
        std::int64_t kilobytes = 0;
        if (key == "RssAnon:" && lines >> kilobytes)
            return kilobytes * 1024;
    }
    return processNotFound(processId);
}

} // namespace kelptally::bench
