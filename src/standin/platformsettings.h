#pragma once

#include "core/clock.h"
#include "services/tableservice.h"
#include "settings/findings.h"

#include <optional>
#include <string>
#include <vector>

namespace kelptally::standin {

// The platform's part of the stand-in's settings.
struct PlatformSettings
{
    // Port on 127.0.0.1; nothing when there is no [platform] section.
    std::optional<int> port;
    // Until a change of the host list shows.
    Duration hostLag {0};
    // The host list at start.
    std::vector<services::ListedHost> hosts;
};

// Reads the sections [platform] and [host NAME] of the INI document described in docs/STANDIN.md
// and leaves the others alone. Use the result only without findings.
PlatformSettings parsePlatformSettings(const std::string &file, const std::string &text,
                                       settings::Findings &findings);

} // namespace kelptally::standin
