#include "decision/sessiontoken.h"

#include "core/digest.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <array>

// Token: base64url (RFC 4648, no padding) of
//   version byte | count | count x (name length, name, term, offset) | 16 bytes of HMAC-SHA256
// with all numbers as LEB128 varints and the groups in strictly ascending order of name.
namespace kelptally::decision {

namespace {

constexpr unsigned char tokenVersion = 1;
constexpr std::size_t macBytes = 16;
constexpr std::size_t maxVarintBytes = 10;
constexpr std::size_t maxGroupNameBytes = 255;
constexpr std::size_t maxRawBytes = maxTokenBytes / 4 * 3;
// Domain separation: a signature made for another purpose with the same key is not a valid token.
constexpr std::string_view macLabel = "kelptally session token:";
constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

using Mac = std::array<unsigned char, macBytes>;

void putVarint(std::string &out, std::uint64_t value)
{
    while (value >= 0x80) {
        out.push_back(static_cast<char>((value & 0x7f) | 0x80));
        value >>= 7;
    }
    out.push_back(static_cast<char>(value));
}

// Bounds-checked sequential reader.
class Reader
{
public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) { }

    bool readByte(unsigned char &value)
    {
        if (bytes_.empty())
            return false;
        value = static_cast<unsigned char>(bytes_.front());
        bytes_.remove_prefix(1);
        return true;
    }

    // Accepts only the shortest encoding of a number.
    bool readVarint(std::uint64_t &value)
    {
        value = 0;
        for (std::size_t i = 0; i < maxVarintBytes; ++i) {
            unsigned char byte = 0;
            if (!readByte(byte))
                return false;
            const std::uint64_t bits = byte & 0x7f;
            if (i == maxVarintBytes - 1 && byte > 1)
                return false;
            value |= bits << (7 * i);
            if (byte < 0x80)
                return byte != 0 || i == 0;
        }
        return false;
    }

    bool readBytes(std::size_t length, std::string_view &value)
    {
        if (length > bytes_.size())
            return false;
        value = bytes_.substr(0, length);
        bytes_.remove_prefix(length);
        return true;
    }

    bool atEnd() const { return bytes_.empty(); }

private:
    std::string_view bytes_;
};

Mac computeMac(std::string_view body, std::string_view key)
{
    std::string input(macLabel);
    input.append(body);
    const Sha256Digest full = hmacSha256(key, input);
    Mac mac;
    std::copy_n(full.begin(), macBytes, mac.begin());
    return mac;
}

std::string toBase64Url(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() * 4 + 2) / 3);
    std::uint32_t bits = 0;
    int count = 0;
    for (const char byte : bytes) {
        bits = (bits << 8) | static_cast<unsigned char>(byte);
        count += 8;
        while (count >= 6) {
            count -= 6;
            text.push_back(alphabet[(bits >> count) & 0x3f]);
        }
    }
    if (count > 0)
        text.push_back(alphabet[(bits << (6 - count)) & 0x3f]);
    return text;
}

int decodeSextet(char c)
{
    if (c >= 'A' && c <= 'Z')
        return c - 'A';
    if (c >= 'a' && c <= 'z')
        return c - 'a' + 26;
    if (c >= '0' && c <= '9')
        return c - '0' + 52;
    if (c == '-')
        return 62;
    return c == '_' ? 63 : -1;
}

// Accepts only the canonical text that toBase64Url() produces.
bool fromBase64Url(std::string_view text, std::string &bytes)
{
    if (text.size() % 4 == 1)
        return false;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        const int sextet = decodeSextet(c);
        if (sextet < 0)
            return false;
        bits = (bits << 6) | static_cast<std::uint32_t>(sextet);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes.push_back(static_cast<char>((bits >> count) & 0xff));
        }
    }
    return (bits & ((1u << count) - 1)) == 0;
}

std::string encodeBody(const std::vector<SessionPosition> &positions)
{
    std::string body;
    body.push_back(static_cast<char>(tokenVersion));
    putVarint(body, positions.size());
    for (const SessionPosition &entry : positions) {
        putVarint(body, entry.group.size());
        body.append(entry.group);
        putVarint(body, entry.position.term);
        putVarint(body, entry.position.offset);
    }
    return body;
}

bool readPosition(Reader &reader, SessionPosition &entry)
{
    std::uint64_t length = 0;
    std::string_view name;
    if (!reader.readVarint(length) || length == 0 || length > maxGroupNameBytes)
        return false;
    if (!reader.readBytes(length, name))
        return false;
    entry.group = GroupName(name);
    return reader.readVarint(entry.position.term) && reader.readVarint(entry.position.offset);
}

absl::Status invalidToken(std::string_view why)
{
    return absl::InvalidArgumentError(
        std::string("session token: ").append(why.data(), why.size()));
}

absl::StatusOr<std::vector<SessionPosition>> decodeBody(std::string_view body)
{
    Reader reader(body);
    unsigned char version = 0;
    std::uint64_t count = 0;
    if (!reader.readByte(version) || version != tokenVersion)
        return invalidToken("unknown version");
    if (!reader.readVarint(count))
        return invalidToken("truncated");
    if (count > maxTokenGroups)
        return absl::ResourceExhaustedError("session token: too many database groups");
    std::vector<SessionPosition> positions;
    positions.reserve(count);
    for (std::uint64_t i = 0; i < count; ++i) {
        SessionPosition entry;
        if (!readPosition(reader, entry))
            return invalidToken("truncated");
        if (!positions.empty() && entry.group <= positions.back().group)
            return invalidToken("database groups not in ascending order");
        positions.push_back(std::move(entry));
    }
    if (!reader.atEnd())
        return invalidToken("trailing bytes");
    return positions;
}

// Returns the maximum encoded size of an entry of this group.
std::size_t maxEntryBytes(const GroupName &group)
{
    return 2 + group.size() + 2 * maxVarintBytes;
}

bool nameLess(const SessionPosition &entry, const GroupName &group)
{
    return entry.group < group;
}

} // namespace

bool SessionToken::hasRoomFor(const GroupName &group) const
{
    if (find(group) != nullptr)
        return true;
    if (group.empty() || group.size() > maxGroupNameBytes || positions_.size() >= maxTokenGroups)
        return false;
    std::size_t bytes = 1 + maxVarintBytes + macBytes + maxEntryBytes(group);
    for (const SessionPosition &entry : positions_)
        bytes += maxEntryBytes(entry.group);
    return bytes <= maxRawBytes;
}

void SessionToken::advance(const GroupName &group, Position position)
{
    const auto at = std::lower_bound(positions_.begin(), positions_.end(), group, nameLess);
    if (at == positions_.end() || at->group != group)
        positions_.insert(at, {group, position});
    else if (at->position < position)
        at->position = position;
}

const Position *SessionToken::find(const GroupName &group) const
{
    const auto at = std::lower_bound(positions_.begin(), positions_.end(), group, nameLess);
    return at == positions_.end() || at->group != group ? nullptr : &at->position;
}

std::string SessionToken::seal(std::string_view key) const
{
    std::string bytes = encodeBody(positions_);
    const Mac mac = computeMac(bytes, key);
    bytes.append(mac.begin(), mac.end());
    return toBase64Url(bytes);
}

absl::StatusOr<SessionToken> SessionToken::open(std::string_view text, std::string_view key)
{
    // 1. Handle new sessions, and check the size before allocating.
    if (text.empty())
        return SessionToken();
    if (text.size() > maxTokenBytes)
        return absl::ResourceExhaustedError("session token: too long");

    // 2. Decode the text.
    std::string bytes;
    if (!fromBase64Url(text, bytes) || bytes.size() < macBytes + 2)
        return invalidToken("malformed encoding");

    // 3. Verify the signature in constant time before parsing the body.
    const std::string_view body(bytes.data(), bytes.size() - macBytes);
    const Mac mac = computeMac(body, key);
    if (CRYPTO_memcmp(mac.data(), bytes.data() + body.size(), macBytes) != 0)
        return invalidToken("wrong signature");

    // 4. Parse the body.
    auto positions = decodeBody(body);
    if (!positions.ok())
        return positions.status();
    SessionToken token;
    token.positions_ = std::move(*positions);
    return token;
}

} // namespace kelptally::decision
