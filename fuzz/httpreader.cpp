#include "caller/httpreader.h"
#include "caller/callerrequest.h"
#include "fuzz/fuzz.h"

using namespace kelptally;
using caller::HttpReader;

namespace {

constexpr std::size_t maxHeaderBytes = 1024;
constexpr std::size_t maxBodyBytes = 1024;

// Takes all complete requests from the reader. Returns false if the connection must be closed.
bool takeRequests(HttpReader &reader)
{
    HttpReader::State state = reader.next();
    for (; state == HttpReader::State::Request; state = reader.next()) {
        caller::HttpRequest request = reader.takeRequest();
        fuzz::require(request.body.size() <= maxBodyBytes);
        const caller::ParsedRequest parsed = caller::parseCallerRequest(std::move(request));
        fuzz::require(!parsed.problem || parsed.problem->reason != Reason::None);
    }
    fuzz::require(state != HttpReader::State::Refused || reader.reason() != Reason::None);
    return state == HttpReader::State::NeedMore;
}

} // namespace

// The rest of the input is fed in pieces whose size is given by the first byte.
int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::size_t piece = std::size_t(1) + data[0];
    std::string_view rest = fuzz::textOf(data, size).substr(1);
    HttpReader reader(maxHeaderBytes, maxBodyBytes);
    while (!rest.empty()) {
        reader.feed(rest.substr(0, piece));
        rest.remove_prefix(std::min(piece, rest.size()));
        if (!takeRequests(reader))
            return 0;
        fuzz::require(reader.buffered() <= maxHeaderBytes + maxBodyBytes + piece);
    }
    return 0;
}
