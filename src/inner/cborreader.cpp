#include "inner/cborreader.h"

#include <cbor/streaming.h>

namespace kelptally::inner {

namespace {

void setNumber(void *item, CborItem::Type type, std::uint64_t number)
{
    auto *into = static_cast<CborItem *>(item);
    into->type = type;
    into->number = number;
}

template <typename T>
void onUnsigned(void *item, T value)
{
    setNumber(item, CborItem::Unsigned, value);
}

// The library passes -1 - n as n.
template <typename T>
void onNegative(void *item, T value)
{
    setNumber(item, CborItem::Negative, ~static_cast<std::uint64_t>(value));
}

void onText(void *item, cbor_data data, std::size_t length)
{
    setNumber(item, CborItem::Text, 0);
    static_cast<CborItem *>(item)->text = {reinterpret_cast<const char *>(data), length};
}

// Items of all other types stay Unknown.
cbor_callbacks makeCallbacks()
{
    cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = onUnsigned<std::uint8_t>;
    callbacks.uint16 = onUnsigned<std::uint16_t>;
    callbacks.uint32 = onUnsigned<std::uint32_t>;
    callbacks.uint64 = onUnsigned<std::uint64_t>;
    callbacks.negint8 = onNegative<std::uint8_t>;
    callbacks.negint16 = onNegative<std::uint16_t>;
    callbacks.negint32 = onNegative<std::uint32_t>;
    callbacks.negint64 = onNegative<std::uint64_t>;
    callbacks.string = onText;
    callbacks.array_start = [](void *item, std::size_t count) {
        setNumber(item, CborItem::Array, count);
    };
    callbacks.null = [](void *item) { setNumber(item, CborItem::Null, 0); };
    callbacks.boolean = [](void *item, bool value) { setNumber(item, CborItem::Flag, value); };
    return callbacks;
}

const cbor_callbacks callbacks = makeCallbacks();

} // namespace

bool readCborItem(std::string_view &bytes, CborItem &item)
{
    item = CborItem();
    const auto *data = reinterpret_cast<cbor_data>(bytes.data());
    const cbor_decoder_result result = cbor_stream_decode(data, bytes.size(), &callbacks, &item);
    if (result.status != CBOR_DECODER_FINISHED)
        return false;
    bytes.remove_prefix(result.read);
    return true;
}

} // namespace kelptally::inner
