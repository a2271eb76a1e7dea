#include "services/textdifference.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

// Format: "SIZE HASH " of the later text, then steps: "cOFFSET,LENGTH;" copies bytes of the earlier
// text, "tLENGTH:BYTES" inserts new bytes.
namespace kelptally::services {

namespace {

// Bounds the memory that a malformed difference can claim.
constexpr std::size_t maxTextBytes = 64u << 20;

std::uint64_t hashOf(absl::string_view text)
{
    std::uint64_t hash = 14695981039346656037ull;
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
    return hash;
}

// Splits after the separators of lists and objects, so that unchanged values give equal pieces.
std::vector<absl::string_view> piecesOf(absl::string_view text)
{
    std::vector<absl::string_view> pieces;
    std::size_t begin = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c != ',' && c != '}' && c != ']' && c != '\n')
            continue;
        pieces.push_back(text.substr(begin, i + 1 - begin));
        begin = i + 1;
    }
    if (begin < text.size())
        pieces.push_back(text.substr(begin));
    return pieces;
}

class Writer
{
public:
    explicit Writer(absl::string_view after)
        : text_(absl::StrCat(after.size(), " ", hashOf(after), " "))
    { }

    void copy(std::size_t offset, std::size_t length)
    {
        endLiteral();
        if (copied_ > 0 && copyFrom_ + copied_ == offset) {
            copied_ += length;
            return;
        }
        endCopy();
        copyFrom_ = offset;
        copied_ = length;
    }
    void add(absl::string_view piece)
    {
        endCopy();
        absl::StrAppend(&literal_, piece);
    }
    std::string finish()
    {
        endCopy();
        endLiteral();
        return std::move(text_);
    }

private:
    void endCopy()
    {
        if (copied_ > 0)
            absl::StrAppend(&text_, "c", copyFrom_, ",", copied_, ";");
        copied_ = 0;
    }
    void endLiteral()
    {
        if (!literal_.empty())
            absl::StrAppend(&text_, "t", literal_.size(), ":", literal_);
        literal_.clear();
    }

    std::string text_;
    std::size_t copyFrom_ = 0;
    std::size_t copied_ = 0;
    std::string literal_;
};

// Consumes a number and the separator after it.
bool takeNumber(absl::string_view &rest, char separator, std::size_t &number)
{
    const std::size_t end = rest.find(separator);
    if (end == absl::string_view::npos || !absl::SimpleAtoi(rest.substr(0, end), &number))
        return false;
    rest.remove_prefix(end + 1);
    return true;
}

// Applies one step; returns false when it is malformed.
bool applyStep(absl::string_view before, absl::string_view &rest, std::string &after)
{
    const char kind = rest[0];
    rest.remove_prefix(1);
    std::size_t offset = 0;
    std::size_t length = 0;
    if (kind == 'c') {
        if (!takeNumber(rest, ',', offset) || !takeNumber(rest, ';', length)
            || offset > before.size() || length > before.size() - offset)
            return false;
        absl::StrAppend(&after, before.substr(offset, length));
        return true;
    }
    if (kind != 't' || !takeNumber(rest, ':', length) || length > rest.size())
        return false;
    absl::StrAppend(&after, rest.substr(0, length));
    rest.remove_prefix(length);
    return true;
}

} // namespace

std::string differenceOf(const std::string &before, const std::string &after)
{
    const std::vector<absl::string_view> old = piecesOf(before);
    std::unordered_map<std::string, std::size_t> indexByPiece;
    for (std::size_t i = 0; i < old.size(); ++i)
        indexByPiece.emplace(std::string(old[i]), i);
    Writer writer(after);
    std::size_t next = 0;
    for (const absl::string_view piece : piecesOf(after)) {
        // 1. The piece equals the next piece of the earlier text.
        if (next < old.size() && old[next] == piece) {
            writer.copy(std::size_t(old[next].data() - before.data()), piece.size());
            ++next;
            continue;
        }
        // 2. The piece is new, and is assumed to replace the next piece of the earlier text, or it
        // equals a piece at another place.
        const auto found = indexByPiece.find(std::string(piece));
        if (found == indexByPiece.end()) {
            writer.add(piece);
            ++next;
            continue;
        }
        writer.copy(std::size_t(old[found->second].data() - before.data()), piece.size());
        next = found->second + 1;
    }
    return writer.finish();
}

absl::StatusOr<std::string> applyDifference(const std::string &before,
                                            const std::string &difference)
{
    absl::string_view rest = difference;
    std::size_t size = 0;
    std::size_t hash = 0;
    if (!takeNumber(rest, ' ', size) || !takeNumber(rest, ' ', hash) || size > maxTextBytes)
        return absl::InvalidArgumentError("the difference has no size or hash");
    std::string after;
    while (!rest.empty())
        if (!applyStep(before, rest, after) || after.size() > size)
            return absl::InvalidArgumentError("the difference is malformed");
    if (after.size() != size || hashOf(after) != hash)
        return absl::FailedPreconditionError("the difference was made from another text");
    return after;
}

} // namespace kelptally::services
