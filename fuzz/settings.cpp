#include "fuzz/fuzz.h"
#include "settings/inventory.h"
#include "settings/processsettings.h"

using namespace kelptally;

// Parsing never crashes, and each finding states its file and problem.
int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(fuzz::textOf(data, size));
    settings::Findings findings;
    settings::parseProcessSettings("fuzz.ini", text, findings);
    settings::parseInventory("fuzz.ini", text, findings);
    for (const settings::Finding &finding : findings.all())
        fuzz::require(finding.file == "fuzz.ini" && !finding.problem.empty());
    fuzz::require(findings.empty() == findings.toText().empty());
    return 0;
}
