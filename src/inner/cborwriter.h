#pragma once

#include "inner/layout.h"

#include <absl/status/status.h>

#include <cbor/encoding.h>

#include <array>

namespace kelptally::inner {

// Writes records as arrays, field by field; see layout(). Checks the fields against the bounds that
// the reader enforces.
class CborWriter
{
public:
    explicit CborWriter(std::string &bytes) : bytes_(bytes) { }

    // OutOfRange when a bound was exceeded.
    const absl::Status &status() const { return status_; }

    // Writes a message: its type and its fields.
    template <typename T>
    void message(std::size_t type, const T &value)
    {
        writeRecord([&] {
            number(type);
            layout(*this, value, value);
        });
        check(items_ <= maxItems, "the message has too many items");
        check(bytes_.size() <= maxFrameBytes, "the message exceeds the maximum frame size");
    }

    // Whether the optional fields at the end of a record are written.
    bool hasMore(bool isPresent) const { return isPresent; }

    template <typename T>
    void number(T value)
    {
        check(value >= 0, "a number is negative");
        head(cbor_encode_uint, static_cast<std::uint64_t>(value));
    }
    void flag(bool value) { head(cbor_encode_bool, value); }
    void text(std::string_view value, std::size_t maxBytes)
    {
        check(value.size() <= maxBytes, "a text is too long");
        head(cbor_encode_string_start, value.size());
        bytes_.append(value);
    }

    template <typename E>
    void choice(E value, E)
    {
        number(static_cast<unsigned>(value));
    }
    // Written by name, as the numbers of reasons differ between versions.
    void reason(Reason value)
    {
        text(value == Reason::None ? std::string_view() : reasonInfo(value).name, maxNameBytes);
    }

    void duration(Duration value)
    {
        const auto count = static_cast<std::uint64_t>(value.count());
        if (value < Duration(0))
            head(cbor_encode_negint, ~count);
        else
            head(cbor_encode_uint, count);
    }
    void duration(const std::optional<Duration> &value) { value ? duration(*value) : null(); }

    void values(const std::vector<Value> &list, std::size_t maxCount)
    {
        writeList(list, maxCount,
                  [this](const Value &value) { value ? text(*value, maxFrameBytes) : null(); });
    }
    void texts(const std::vector<std::string> &list, std::size_t maxCount, std::size_t maxBytes)
    {
        writeList(list, maxCount,
                  [this, maxBytes](const std::string &value) { text(value, maxBytes); });
    }
    void rows(const std::vector<std::vector<Value>> &list, std::size_t maxCount,
              std::size_t maxColumns)
    {
        writeList(list, maxCount,
                  [this, maxColumns](const std::vector<Value> &row) { values(row, maxColumns); });
    }

    template <typename T>
    void record(const T &value)
    {
        writeRecord([&] { layout(*this, value, value); });
    }
    template <typename T>
    void record(const std::optional<T> &value)
    {
        value ? record(*value) : null();
    }
    template <typename T>
    void records(const std::vector<T> &list, std::size_t maxCount)
    {
        writeList(list, maxCount, [this](const T &value) { record(value); });
    }

private:
    static constexpr std::size_t maxHeadBytes = 9;

    template <typename Encode, typename T>
    void head(Encode encode, T value)
    {
        std::array<unsigned char, maxHeadBytes> buffer;
        const std::size_t size = encode(value, buffer.data(), buffer.size());
        bytes_.append(reinterpret_cast<const char *>(buffer.data()), size);
        ++items_;
        ++fields_;
    }

    void null()
    {
        head(
            [](int, unsigned char *into, std::size_t size) { return cbor_encode_null(into, size); },
            0);
    }

    void check(bool holds, std::string_view what)
    {
        if (!holds && status_.ok())
            status_ = absl::OutOfRangeError(std::string(what));
    }

    // Writes an array and then its number of fields into its head, which has one byte.
    template <typename WriteFields>
    void writeRecord(WriteFields writeFields)
    {
        const std::size_t at = bytes_.size();
        const std::size_t outer = fields_;
        head(cbor_encode_array_start, std::size_t(0));
        fields_ = 0;
        writeFields();
        auto *start = reinterpret_cast<unsigned char *>(&bytes_[at]);
        check(cbor_encode_array_start(fields_, start, 1) == 1, "a record has too many fields");
        fields_ = outer + 1;
    }

    template <typename T, typename WriteElement>
    void writeList(const std::vector<T> &list, std::size_t maxCount, WriteElement writeElement)
    {
        check(list.size() <= maxCount, "a list is too long");
        const std::size_t outer = fields_;
        head(cbor_encode_array_start, list.size());
        for (const T &value : list)
            writeElement(value);
        fields_ = outer + 1;
    }

    std::string &bytes_;
    std::size_t items_ = 0;
    // Fields of the record that is being written.
    std::size_t fields_ = 0;
    absl::Status status_;
};

} // namespace kelptally::inner
