#pragma once

#include "core/clock.h"
#include "services/tableservice.h"
#include "settings/findings.h"

#include <optional>
#include <string>
#include <vector>

namespace kelptally::standin {

// Settings of the platform stand-in.
struct PlatformSettings
{
    // Port on 127.0.0.1; unset without a [platform] section.
    std::optional<int> port;
    // Delay until a change of the host list becomes visible.
    Duration hostLag {0};
    // Initial host list.
    std::vector<services::ListedHost> hosts;
};

// Parses the sections [platform] and [host NAME] of the INI document described in docs/STANDIN.md
// and ignores all others. The result is valid only if no findings were added.
PlatformSettings parsePlatformSettings(const std::string &file, const std::string &text,
                                       settings::Findings &findings);

} // namespace kelptally::standin
