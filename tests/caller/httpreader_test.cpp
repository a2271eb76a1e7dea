#include "caller/httpreader.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace kelptally;
using namespace kelptally::caller;

namespace {

constexpr std::size_t maxHeader = 512;
constexpr std::size_t maxBody = 256;

struct Outcome
{
    std::vector<std::string> requests;
    Reason reason = Reason::None;
    std::size_t maxBuffered = 0;
};

// Feeds the bytes in pieces whose lengths cycle through the given ones.
Outcome readInPieces(const std::string &bytes, const std::vector<std::size_t> &lengths)
{
    HttpReader reader(maxHeader, maxBody);
    Outcome outcome;
    std::size_t at = 0;
    for (std::size_t i = 0; at < bytes.size() && outcome.reason == Reason::None; ++i) {
        const std::size_t length = lengths.empty() ? bytes.size() : lengths[i % lengths.size()];
        reader.feed(std::string_view(bytes).substr(at, length));
        at += length;
        HttpReader::State state = HttpReader::State::NeedMore;
        while ((state = reader.next()) == HttpReader::State::Request) {
            const HttpRequest request = reader.takeRequest();
            outcome.requests.push_back(request.path + "|" + request.sessionToken + "|"
                                       + request.body);
        }
        outcome.maxBuffered = std::max(outcome.maxBuffered, reader.buffered());
        outcome.reason = reader.reason();
    }
    return outcome;
}

rc::Gen<std::vector<std::size_t>> pieceLengths()
{
    return rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 40)));
}

// A request and the expected result of the parser.
struct Sample
{
    std::string bytes;
    std::string expected;
};

Sample makeSample(const std::string &body, bool chunked, int number)
{
    const std::string path = "/p" + std::to_string(number);
    std::string bytes = "POST " + path + " HTTP/1.1\r\nHost: h\r\nkelptally-SESSION: t\r\n";
    if (chunked) {
        bytes += "Transfer-Encoding: chunked\r\n\r\n";
        for (const char c : body)
            bytes += std::string("1\r\n") + c + "\r\n";
        bytes += "0\r\n\r\n";
    } else {
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    return {bytes, path + "|t|" + body};
}

} // namespace

TEST_CASE("Requests are independent of the segmentation of the input")
{
    const bool held = rc::check([] {
        const auto bodies = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
        std::string bytes;
        std::vector<std::string> expected;
        for (const std::string &body : bodies) {
            const Sample sample = makeSample(body.substr(0, maxBody), *rc::gen::arbitrary<bool>(),
                                             static_cast<int>(expected.size()));
            bytes += sample.bytes;
            expected.push_back(sample.expected);
        }
        const Outcome outcome = readInPieces(bytes, *pieceLengths());
        RC_ASSERT(outcome.reason == Reason::None);
        RC_ASSERT(outcome.requests == expected);
    });
    CHECK(held);
}

TEST_CASE("Corrupt input gives the same result for every segmentation")
{
    const bool held = rc::check([] {
        std::string bytes = makeSample("abcdef", *rc::gen::arbitrary<bool>(), 0).bytes
            + makeSample("gh", *rc::gen::arbitrary<bool>(), 1).bytes;
        const int changes = *rc::gen::inRange(1, 4);
        for (int i = 0; i < changes; ++i) {
            const std::size_t at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                bytes[at] = *rc::gen::arbitrary<char>();
                break;
            case 1:
                bytes.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
                break;
            default:
                bytes.insert(at,
                             *rc::gen::element<std::string>("\r\n", "\r\n\r\n", ":", "Host: x",
                                                            "Content-Length: 9", "ffffffff"));
            }
        }
        // Segmented headers are parsed only when their end has been received.
        bytes += "\r\n\r\n";
        const Outcome whole = readInPieces(bytes, {});
        const Outcome pieces = readInPieces(bytes, *pieceLengths());
        RC_ASSERT(whole.requests == pieces.requests);
        RC_ASSERT(whole.reason == pieces.reason);
    });
    CHECK(held);
}

TEST_CASE("The reader buffers at most the header limit and one piece")
{
    const bool held = rc::check([] {
        const std::string unit = *rc::gen::nonEmpty(rc::gen::container<std::string>(
            rc::gen::element('a', ':', ' ', '\r', '\n', '/', '0', 'G', 'E', 'T')));
        std::string bytes = "GET /x HTTP/1.1\r\n";
        while (bytes.size() < 8 * maxHeader)
            bytes += unit;
        const Outcome outcome = readInPieces(bytes, {64});
        RC_ASSERT(outcome.maxBuffered <= maxHeader + 64);
        RC_ASSERT(outcome.reason != Reason::None);
    });
    CHECK(held);
}
