#include "platform/wire.h"
#include "fuzz/fuzz.h"
#include "platform/documents.h"

using namespace kelptally;

// Splitting into lines doesn't depend on how the bytes are divided, and no parser crashes on any
// line or document.
int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(fuzz::textOf(data, size));
    platform::LineBuffer whole;
    platform::LineBuffer byteWise;
    whole.append(text.data(), text.size());
    std::vector<std::string> lines;
    while (const auto line = whole.next())
        lines.emplace_back(*line);
    std::vector<std::string> linesFromBytes;
    for (const char &byte : text) {
        byteWise.append(&byte, 1);
        while (const auto line = byteWise.next())
            linesFromBytes.emplace_back(*line);
        byteWise.compact();
    }
    fuzz::require(lines == linesFromBytes);
    for (const std::string &line : lines) {
        const platform::CallerMessage message = platform::parseCallerMessage(line);
        if (message.kind == platform::CallerMessage::Kind::Statement)
            fuzz::require(line == "QUERY " + message.statement.id + " " + message.statement.text);
        platform::parseServerMessage(line);
        platform::parseReport(line);
    }
    static_cast<void>(platform::parseCatalogue(text));
    return 0;
}
