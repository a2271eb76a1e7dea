#include "fuzz/fuzz.h"
#include "inner/codec.h"

using namespace kelptally;

// Every message that decodes can be encoded, and encoding is stable after another round trip.
int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto message = inner::decode(fuzz::textOf(data, size));
    if (!message.ok())
        return 0;
    const auto bytes = inner::encode(*message);
    fuzz::require(bytes.ok());
    const auto decodedAgain = inner::decode(*bytes);
    fuzz::require(decodedAgain.ok() && *inner::encode(*decodedAgain) == *bytes);
    return 0;
}
