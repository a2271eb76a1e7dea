#include "fuzz/fuzz.h"
#include "platform/documents.h"
#include "settings/sectionreader.h"

using namespace kelptally;

// A server's registry entry is either rejected or parsed with all required fields valid.
int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(fuzz::textOf(data, size));
    const auto parsed = platform::parseServer("i-1", text);
    const auto *server = std::get_if<group::ListedServer>(&parsed);
    if (server == nullptr)
        return 0;
    fuzz::require(server->run.id == "i-1");
    fuzz::require(!server->group.empty() && !server->zone.empty() && server->slots > 0);
    fuzz::require(settings::parseEndpoint(server->endpoint).has_value());
    return 0;
}
