#pragma once

#include "inner/layout.h"

#include <absl/status/status.h>

#include <limits>
#include <string_view>
#include <type_traits>
#include <vector>

namespace kelptally::inner {

// One item of a CBOR document. Its text refers to the document's bytes.
struct CborItem
{
    enum Type : std::uint8_t {
        // Any other type, which is not used in messages.
        Unknown,
        Null,
        Flag,
        Unsigned,
        Negative,
        Text,
        Array,
    };
    Type type = Unknown;
    // Flag: 0 or 1; Array: number of elements; Negative: two's complement.
    std::uint64_t number = 0;
    std::string_view text;
};

// Consumes the next item of a document without allocating; of an array, only its head. Returns
// false when it is truncated or not CBOR.
bool readCborItem(std::string_view &bytes, CborItem &item);

// Reads the fields of records; see layout(). Counts and lengths are checked against their bounds
// and the remaining bytes before memory is allocated. Stops at the first error. In a shorter record
// the missing fields keep their defaults; in a longer one the unknown fields are skipped.
class CborReader
{
public:
    explicit CborReader(std::string_view bytes) : bytes_(bytes) { advance(); }

    const absl::Status &status() const { return status_; }

    // Optional fields are always read: missing ones keep their defaults.
    static bool hasMore(bool) { return true; }

    template <typename T>
    void number(T &into)
    {
        CborItem item;
        if (!take(CborItem::Unsigned, item))
            return;
        if (item.number > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
            return fail("a number is too large");
        into = static_cast<T>(item.number);
    }

    void flag(bool &into)
    {
        CborItem item;
        if (take(CborItem::Flag, item))
            into = item.number != 0;
    }

    void text(std::string &into, std::size_t maxBytes)
    {
        CborItem item;
        if (!take(CborItem::Text, item))
            return;
        if (item.text.size() > maxBytes)
            return fail("a text is too long");
        into.assign(item.text);
    }

    template <typename E>
    void choice(E &into, E last)
    {
        unsigned value = static_cast<unsigned>(into);
        number(value);
        if (value > static_cast<unsigned>(last))
            return fail("an enumerator is unknown");
        into = static_cast<E>(value);
    }

    // An unknown reason, as from a newer version, reads as Internal.
    void reason(Reason &into)
    {
        std::string name;
        text(name, maxNameBytes);
        if (name.empty())
            return;
        const Reason known = reasonFromName(name);
        into = known == Reason::None ? Reason::Internal : known;
    }

    void duration(Duration &into)
    {
        const bool negative = hasNext() && next_.type == CborItem::Negative;
        CborItem item;
        if (!take(negative ? CborItem::Negative : CborItem::Unsigned, item))
            return;
        const auto maxNanoseconds = static_cast<std::uint64_t>(Duration::max().count());
        if ((negative ? ~item.number : item.number) > maxNanoseconds)
            return fail("a duration is too long");
        into = Duration(static_cast<Duration::rep>(item.number));
    }
    void duration(std::optional<Duration> &into)
    {
        if (!hasNext() || skipNull())
            return;
        duration(into.emplace());
    }

    void values(std::vector<Value> &into, std::size_t maxCount)
    {
        list(into, maxCount, [this](Value &value) {
            if (!skipNull())
                text(value.emplace(), maxFrameBytes);
        });
    }
    void texts(std::vector<std::string> &into, std::size_t maxCount, std::size_t maxBytes)
    {
        list(into, maxCount, [this, maxBytes](std::string &value) { text(value, maxBytes); });
    }
    void rows(std::vector<std::vector<Value>> &into, std::size_t maxCount, std::size_t maxColumns)
    {
        list(into, maxCount,
             [this, maxColumns](std::vector<Value> &row) { values(row, maxColumns); });
    }

    template <typename T>
    void record(T &into)
    {
        CborItem item;
        if (!take(CborItem::Array, item))
            return;
        const std::uint64_t outer = remaining_;
        remaining_ = item.number;
        readFields(into);
        remaining_ = outer;
    }
    template <typename T>
    void record(std::optional<T> &into)
    {
        if (!hasNext() || skipNull())
            return;
        record(into.emplace());
    }
    template <typename T>
    void records(std::vector<T> &into, std::size_t maxCount)
    {
        list(into, maxCount, [this](T &value) { record(value); });
    }

    // Enters the array of the message and returns the number of its type.
    std::size_t enterMessage()
    {
        std::size_t type = 0;
        CborItem item;
        if (!take(CborItem::Array, item))
            fail("the message is not an array");
        remaining_ = item.number;
        if (remaining_ == 0)
            fail("the message has no type");
        number(type);
        return type;
    }
    template <typename T>
    void message(T &into)
    {
        readFields(into);
        if (next_.type != CborItem::Unknown || !bytes_.empty())
            fail("the message has trailing bytes");
    }

private:
    bool hasNext() const { return status_.ok() && remaining_ != 0; }

    void fail(std::string_view what)
    {
        if (status_.ok())
            status_ = absl::InvalidArgumentError(std::string(what));
    }

    // Decodes the next item into next_.
    void advance()
    {
        next_ = CborItem();
        if (bytes_.empty())
            return;
        if (++items_ > maxItems)
            return fail("the message has too many items");
        if (!readCborItem(bytes_, next_) || next_.type == CborItem::Unknown)
            return fail("the message is truncated or has an unsupported type");
        // Each element takes at least one byte.
        if (next_.type == CborItem::Array && next_.number > bytes_.size())
            return fail("an array is truncated");
    }

    // Consumes the next element of the current array; false at its end or when it has another type.
    bool take(CborItem::Type type, CborItem &item)
    {
        if (!hasNext())
            return false;
        if (next_.type != type) {
            fail(next_.type == CborItem::Unknown ? "the message ends early"
                                                 : "a field has the wrong type");
            return false;
        }
        item = next_;
        --remaining_;
        advance();
        return true;
    }

    bool skipNull()
    {
        CborItem item;
        return hasNext() && next_.type == CborItem::Null && take(CborItem::Null, item);
    }

    template <typename T>
    void readFields(T &into)
    {
        layout(*this, into, into);
        while (hasNext())
            skip();
    }

    // Skips one element with all nested ones.
    void skip()
    {
        --remaining_;
        for (std::uint64_t open = 1; open != 0 && status_.ok(); --open) {
            if (next_.type == CborItem::Unknown)
                return fail("the message ends early");
            if (next_.type == CborItem::Array)
                open += next_.number;
            advance();
        }
    }

    template <typename T, typename Each>
    void list(std::vector<T> &into, std::size_t maxCount, Each each)
    {
        CborItem item;
        if (!take(CborItem::Array, item))
            return;
        if (item.number > maxCount)
            return fail("a list is too long");
        const std::uint64_t outer = remaining_;
        remaining_ = item.number;
        into.resize(item.number);
        for (T &value : into) {
            if (!status_.ok())
                return;
            each(value);
        }
        remaining_ = outer;
    }

    std::string_view bytes_;
    // Next item, not yet consumed; Unknown at the end of the document.
    CborItem next_;
    // Elements of the current array that are not yet read.
    std::uint64_t remaining_ = 1;
    std::size_t items_ = 0;
    absl::Status status_;
};

} // namespace kelptally::inner
