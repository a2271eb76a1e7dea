#include "inner/codec.h"

#include "inner/cborreader.h"
#include "inner/cborwriter.h"

#include <array>
#include <utility>

namespace kelptally::inner {

namespace {

// Most messages fit, which avoids reallocations.
constexpr std::size_t initialCapacity = 512;

template <std::size_t Type>
absl::StatusOr<Message> readFields(CborReader &reader)
{
    Message message(std::in_place_index<Type>);
    reader.message(std::get<Type>(message));
    if (!reader.status().ok())
        return reader.status();
    return message;
}

using ReadFields = absl::StatusOr<Message> (*)(CborReader &);

// The reader of each type, at the type's index.
template <std::size_t... Types>
constexpr std::array<ReadFields, sizeof...(Types)> makeReaders(std::index_sequence<Types...>)
{
    return {&readFields<Types>...};
}

constexpr auto readers = makeReaders(std::make_index_sequence<std::variant_size_v<Message>>());

} // namespace

absl::StatusOr<std::string> encode(const Message &message)
{
    std::string bytes;
    bytes.reserve(initialCapacity);
    CborWriter writer(bytes);
    std::visit([&](const auto &fields) { writer.message(message.index(), fields); }, message);
    if (!writer.status().ok())
        return writer.status();
    return bytes;
}

absl::StatusOr<Message> decode(std::string_view bytes)
{
    if (bytes.size() > maxFrameBytes)
        return absl::InvalidArgumentError("the message exceeds the maximum frame size");
    CborReader reader(bytes);
    const std::size_t type = reader.enterMessage();
    if (!reader.status().ok())
        return reader.status();
    if (type >= readers.size())
        return absl::InvalidArgumentError("the message is of an unknown type");
    return readers[type](reader);
}

} // namespace kelptally::inner
